//! What the checks of a configuration find.

use compact_str::CompactString;
use derive_more::Display;

/// Kind of an item of a configuration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum ItemKind {
    /// A client account.
    #[display("account")]
    Account,
    /// A model.
    #[display("model")]
    Model,
    /// A plain service, or a service that routes lead to.
    #[display("service")]
    Service,
    /// A route.
    #[display("route")]
    Route,
    /// A data centre.
    #[display("data centre")]
    DataCentre,
    /// A VM.
    #[display("VM")]
    Vm,
}

/// An item of a configuration.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{kind} {name:?}", name = name.as_str())]
pub struct Item {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item.
    pub name: CompactString,
}

impl Item {
    /// Names an item.
    pub fn new(kind: ItemKind, name: &str) -> Self {
        Self { kind, name: name.into() }
    }
}

/// What a finding means for operators.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingClass {
    /// A value is not allowed.
    #[display("error")]
    Error,
    /// An item has no effect on any request, or no request of it can be served.
    #[display("never matches")]
    NeverMatches,
    /// Two limits contradict each other.
    #[display("contradiction")]
    Contradiction,
}

/// A finding with its place.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{class}: {item}: {kind}", class = kind.class())]
pub struct Finding {
    /// The item.
    pub item: Item,
    /// What was found there.
    pub kind: FindingKind,
}

/// What was found at an item.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingKind {
    /// A value is outside its allowed range.
    #[display("{_0}")]
    NotAllowed(CompactString),
    /// Another item of the same kind has the same name; the later one is not used.
    #[display("its name is used twice")]
    NameTwice,
    /// An API key belongs to another account as well.
    #[display("an API key belongs to account {other:?} as well", other = other.as_str())]
    KeyTwice {
        /// The other account.
        other: CompactString,
    },
    /// Another route has the same host and prefix, and gets all requests of both.
    #[display(
        "it gets no requests, as route {by:?} has the same host and prefix", by = by.as_str()
    )]
    Shadowed {
        /// The route that gets the requests.
        by: CompactString,
    },
    /// A path prefix matches no path.
    #[display("prefix {prefix:?} matches no path, as paths begin with '/'", prefix = prefix.as_str())]
    PrefixMatchesNothing {
        /// The prefix.
        prefix: CompactString,
    },
    /// A path prefix matches only what a shorter one matches.
    #[display(
        "prefix {prefix:?} changes nothing, as {by:?} matches all its paths",
        prefix = prefix.as_str(), by = by.as_str()
    )]
    PrefixCovered {
        /// The prefix.
        prefix: CompactString,
        /// The shorter prefix.
        by: CompactString,
    },
    /// No route leads to the service.
    #[display("no route leads to it")]
    NoRoute,
    /// No backend server serves it.
    #[display("no backend server serves it")]
    NoBackendServer,
    /// The account has no API key.
    #[display("it has no API key, so no request can be of this account")]
    NoKey,
    /// The weights of a route's traffic split sum to nothing.
    #[display("the weights of its traffic split sum to 0")]
    NoShares,
    /// The route allows no attempt.
    #[display("it allows no attempt, as max_attempts is 0")]
    NoAttempts,
    /// The time limit is shorter than a goal within it.
    #[display("the time limit of {limit_ms} ms is under the {goal} of {goal_ms} ms")]
    LimitUnderGoal {
        /// Name of the goal.
        goal: &'static str,
        /// The time limit in milliseconds.
        limit_ms: u128,
        /// The goal in milliseconds.
        goal_ms: u128,
    },
    /// No data centre is in any of the home regions.
    #[display("no data centre is in its home regions ({regions}), so nothing can serve it")]
    HomesNowhere {
        /// The home regions, separated by commas.
        regions: CompactString,
    },
    /// No data centre is in one of several home regions.
    #[display("no data centre is in its home region {region:?}", region = region.as_str())]
    HomeUnknown {
        /// The region.
        region: CompactString,
    },
    /// All data centres in the home regions are evacuated.
    #[display("all data centres in its home regions ({regions}) are evacuated")]
    HomesEvacuated {
        /// The home regions, separated by commas.
        regions: CompactString,
    },
    /// The account shares no home region with any model or route.
    #[display("its home regions ({regions}) share none with any {with}")]
    HomesDisjoint {
        /// The home regions, separated by commas.
        regions: CompactString,
        /// Kind of the items that were compared.
        with: ItemKind,
    },
    /// No VM is known in the data centre.
    #[display("it is evacuated, but no VM is known there")]
    EvacuatedUnknown,
    /// All data centres are evacuated.
    #[display("all data centres are evacuated, so nothing can serve requests")]
    AllEvacuated,
}

impl FindingKind {
    /// Returns what the finding means for operators.
    pub const fn class(&self) -> FindingClass {
        match self {
            Self::NotAllowed(_) | Self::NameTwice | Self::KeyTwice { .. } => FindingClass::Error,
            Self::Shadowed { .. }
            | Self::PrefixMatchesNothing { .. }
            | Self::PrefixCovered { .. }
            | Self::NoRoute
            | Self::NoBackendServer
            | Self::NoKey
            | Self::EvacuatedUnknown => FindingClass::NeverMatches,
            Self::NoShares
            | Self::NoAttempts
            | Self::LimitUnderGoal { .. }
            | Self::HomesNowhere { .. }
            | Self::HomeUnknown { .. }
            | Self::HomesEvacuated { .. }
            | Self::HomesDisjoint { .. }
            | Self::AllEvacuated => FindingClass::Contradiction,
        }
    }
}
