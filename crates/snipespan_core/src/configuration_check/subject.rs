//! The view of a configuration that the checks read.

use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::configuration_check::finding::Finding;
use crate::configuration_check::finding::Item;
use crate::identity::CredentialDigest;

/// A configuration as the checks read it. What is not known is `None`, and is not checked.
#[derive(Clone, Debug, Default)]
pub struct Subject<'a> {
    /// What was found while the view was filled in, such as values that are not allowed.
    pub findings: Vec<Finding>,
    /// What requests are addressed to: routes, or models and plain services.
    pub targets: Vec<TargetView<'a>>,
    /// Services that routes lead to; empty if targets have backend servers of their own.
    pub services: Vec<Item>,
    /// Client accounts.
    pub accounts: Vec<AccountView<'a>>,
    /// Data centres in which a VM is known.
    pub data_centres: Option<Vec<DataCentreView>>,
    /// Names of the evacuated data centres.
    pub evacuated: BTreeSet<CompactString>,
    /// Targets and services that a backend server serves.
    pub served: Option<BTreeSet<Item>>,
}

/// A route, a model or a plain service.
#[derive(Clone, Debug)]
pub struct TargetView<'a> {
    /// The item.
    pub item: Item,
    /// Host and path prefix of a route.
    pub matches: Option<(&'a str, &'a str)>,
    /// Weight of each service in the traffic split of a route.
    pub shares: Option<Vec<(Item, u32)>>,
    /// Whether it is a backend server's own target, which [`Subject::served`] lists.
    pub is_served_directly: bool,
    /// Whether its requests need an account.
    pub needs_account: bool,
    /// Maximum number of attempts of a request; `None` if it has no such limit.
    pub max_attempts: Option<u32>,
    /// Maximum time of a request.
    pub time_limit: Duration,
    /// Goals that should be reached within the time limit, by name.
    pub goals: Vec<(&'static str, Duration)>,
    /// Path prefixes that mark calls as repeatable.
    pub repeatable_prefixes: &'a [CompactString],
    /// Home regions; `None` if targets of its kind have none.
    pub homes: Option<&'a [CompactString]>,
}

/// A client account.
#[derive(Clone, Debug)]
pub struct AccountView<'a> {
    /// The item.
    pub item: Item,
    /// Digests of its API keys.
    pub keys: Option<&'a [CredentialDigest]>,
    /// Home regions.
    pub homes: &'a [CompactString],
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreView {
    /// Its name.
    pub name: CompactString,
    /// Its region, if it is known.
    pub region: Option<CompactString>,
}
