//! The serving configuration: routes, services, client accounts and limits of one version.

use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::From;

use crate::gateway::engine::EngineSpec;

/// The version of a serving configuration; later ones are larger, not always by one.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServingVersion(pub u64);

/// Index of a route in its [`ServingConfiguration`].
#[derive(Clone, Copy, Debug, From, PartialEq, Eq)]
pub struct RouteIndex(pub u32);

/// Index of a service in its [`ServingConfiguration`].
#[derive(Clone, Copy, Debug, From, PartialEq, Eq)]
pub struct ServiceIndex(pub u32);

/// Index of a client account in its [`ServingConfiguration`].
#[derive(Clone, Copy, Debug, From, PartialEq, Eq)]
pub struct AccountIndex(pub u32);

/// How often requests of a route may run, and how they are answered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    #[display("safe")]
    Safe,
    /// A request may run at most once.
    #[display("unsafe")]
    Unsafe,
    /// The answer is a stream of events.
    #[display("streaming")]
    Streaming {
        /// Whether another backend server can resume the stream after a given event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Safe => true,
            Self::Unsafe => false,
            Self::Streaming { is_resumable } => is_resumable,
        }
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// The share of a route's requests that goes to one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficShare {
    /// The service.
    pub service: ServiceIndex,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Time that a message takes between two data centres, in either direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreDelay {
    /// Names of the two data centres.
    pub between: [CompactString; 2],
    /// Time one way.
    pub one_way: Duration,
}

/// How requests of one host and path prefix are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: CompactString,
    /// The host in lower case, without a port.
    pub host: CompactString,
    /// Path prefix; begins and ends with a slash.
    pub prefix: CompactString,
    /// How often its requests may run, and how they are answered.
    pub kind: RouteKind,
    /// Maximum time from the arrival of a request to the end of its answer.
    pub timeout: Duration,
    /// Maximum time from arrival to the first event of a stream, or to the answer of a plain
    /// service, that counts as on time.
    pub latency_goal: Duration,
    /// Maximum pause between the events of a stream that counts as on time; `None` without a goal.
    pub gap_goal: Option<Duration>,
    /// Priority of its requests, 0 first.
    pub priority: u8,
    /// Services that receive its requests, at least one.
    pub traffic_split: Vec<TrafficShare>,
    /// Maximum number of backend servers that one request may run on.
    pub max_attempts: u32,
    /// Whether requests without an API key are accepted.
    pub is_public: bool,
    /// Names of the regions whose backend servers may get its requests; empty if all may.
    pub home_regions: Vec<CompactString>,
}

/// A service that backend servers provide.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: CompactString,
    /// Figures of its model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Requests a second that one of its backend servers takes from all gateways together while it
    /// is cold; `None` if there is no limit.
    pub cold_rate: Option<f64>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the account.
    pub name: CompactString,
    /// Priority that overrides the route's, 0 first.
    pub priority: Option<u8>,
    /// Names of the regions whose backend servers may get its requests, besides the restriction of
    /// the route; empty if all may.
    pub home_regions: Vec<CompactString>,
}

/// Bounds on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time to send a request head.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A complete serving configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingConfiguration {
    version: ServingVersion,
    routes: Vec<Route>,
    services: Vec<Service>,
    accounts: Vec<Account>,
    /// API keys in ascending order, each with its account.
    api_keys: Vec<(CompactString, AccountIndex)>,
    limits: ClientLimits,
    /// Delays between data centres; those that are missing are 0.
    delays: Vec<DataCentreDelay>,
    /// Shortest latency goal of the streaming routes to each service, in the order of `services`.
    shortest_goals: Vec<Option<Duration>>,
}

impl ServingConfiguration {
    /// Creates a configuration; routes and API keys may be in any order.
    pub fn new(
        version: ServingVersion,
        mut routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Vec<Account>,
        mut api_keys: Vec<(CompactString, AccountIndex)>,
        limits: ClientLimits,
    ) -> Self {
        // Longer prefixes of a host come first, so that the first match is the longest one.
        routes.sort_by(|a, b| {
            let by_length = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(by_length).then_with(|| a.prefix.cmp(&b.prefix))
        });
        api_keys.sort_by(|a, b| a.0.cmp(&b.0));
        let delays = Vec::new();
        let shortest_goals = shortest_goals(&routes, services.len());
        Self { version, routes, services, accounts, api_keys, limits, delays, shortest_goals }
    }

    /// Returns this configuration with these delays between data centres; of several for the same
    /// two, the first counts.
    pub fn with_delays(self, delays: Vec<DataCentreDelay>) -> Self {
        Self { delays, ..self }
    }

    /// Returns the time that a message takes one way between two data centres; zero if it is not
    /// known.
    pub fn delay_between(&self, a: &str, b: &str) -> Duration {
        let found = self.delays.iter().find(|delay| {
            let [first, second] = &delay.between;
            (first == a && second == b) || (first == b && second == a)
        });
        found.map(|delay| delay.one_way).unwrap_or_default()
    }

    /// Returns the version of this configuration.
    pub const fn version(&self) -> ServingVersion {
        self.version
    }

    /// Returns the bounds on what a client may send.
    pub const fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns whether requests of routes that are not public need an API key.
    pub const fn needs_api_keys(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Finds the route of `host` with the longest prefix of `path`; ignores the case and port of
    /// `host`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteIndex> {
        let host = host.rsplit_once(':').map_or(host, |(host, _)| host).to_ascii_lowercase();
        let first = self.routes.partition_point(|route| *route.host < *host);
        let of_host = self.routes[first..].iter().take_while(|route| *route.host == *host);
        let found = of_host.enumerate().find(|(_, route)| path.starts_with(&*route.prefix));
        found.map(|(offset, _)| RouteIndex((first + offset) as u32))
    }

    /// Finds the account of an API key.
    pub fn find_account(&self, api_key: &str) -> Option<AccountIndex> {
        let found = self.api_keys.binary_search_by(|(key, _)| (**key).cmp(api_key)).ok()?;
        Some(self.api_keys[found].1)
    }

    /// Finds a route by name.
    pub fn find_route_by_name(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Finds an account by name.
    pub fn find_account_by_name(&self, name: &str) -> Option<&Account> {
        self.accounts.iter().find(|account| account.name == name)
    }

    /// Returns the route at an index of this configuration.
    pub fn route(&self, index: RouteIndex) -> Option<&Route> {
        self.routes.get(index.0 as usize)
    }

    /// Returns the service at an index of this configuration.
    pub fn service(&self, index: ServiceIndex) -> Option<&Service> {
        self.services.get(index.0 as usize)
    }

    /// Finds a service by name.
    pub fn find_service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the shortest latency goal of the streaming routes to a service; `None` if no such
    /// route leads there.
    pub fn shortest_latency_goal(&self, service: &str) -> Option<Duration> {
        let index = self.services.iter().position(|row| row.name == service)?;
        self.shortest_goals.get(index).copied().flatten()
    }

    /// Returns the account at an index of this configuration.
    pub fn account(&self, index: AccountIndex) -> Option<&Account> {
        self.accounts.get(index.0 as usize)
    }
}

fn shortest_goals(routes: &[Route], services: usize) -> Vec<Option<Duration>> {
    let mut shortest: Vec<Option<Duration>> = vec![None; services];
    for route in routes.iter().filter(|route| route.kind.is_streaming()) {
        for share in &route.traffic_split {
            if let Some(goal) = shortest.get_mut(share.service.0 as usize) {
                *goal = Some(goal.map_or(route.latency_goal, |goal| goal.min(route.latency_goal)));
            }
        }
    }
    shortest
}
