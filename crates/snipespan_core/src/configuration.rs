//! The operators' configuration: its parts, its changes, and how a change applies.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::identity::CredentialDigest;
use crate::identity::VmId;

/// The ordinal of an accepted configuration, 0 before the first change.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision that follows this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// How much a request matters beside others; a lower number goes first.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Priority(pub u8);

/// The lowest priority that an operator may give.
pub const LOWEST_PRIORITY: Priority = Priority(9);

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountSpec {
    /// SHA-256 of each API key that belongs to the account.
    pub credentials: Vec<CredentialDigest>,
    /// Priority of its requests.
    pub priority: Priority,
    /// Its weight in the fair shares at a backend server, from 1.
    pub weight: u32,
    /// Most requests that one entry keeps open for it.
    pub max_open: u32,
    /// Whether its requests are refused.
    pub disabled: bool,
}

/// How a model is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Longest prompt in tokens.
    pub max_prompt_tokens: u64,
    /// Answer length in tokens when the caller gives none; also the most allowed.
    pub max_output_tokens: u64,
    /// Time limit in milliseconds when the caller gives none; also the most allowed.
    pub time_limit_ms: u64,
}

/// How a plain service is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Time limit in milliseconds when the caller gives none; also the most allowed.
    pub time_limit_ms: u64,
    /// Path prefixes whose POST and PATCH calls may be repeated.
    pub repeatable_prefixes: Vec<CompactString>,
}

/// All that operators have configured, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Which accepted state this is.
    pub revision: Revision,
    /// Client accounts by name.
    pub accounts: BTreeMap<CompactString, AccountSpec>,
    /// Models by name.
    pub models: BTreeMap<CompactString, ModelSpec>,
    /// Plain services by name.
    pub services: BTreeMap<CompactString, ServiceSpec>,
    /// Backend servers that operators are draining.
    pub drained: BTreeSet<VmId>,
}

/// One change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Creates or replaces a client account.
    PutAccount(CompactString, AccountSpec),
    /// Removes a client account.
    RemoveAccount(CompactString),
    /// Creates or replaces a model.
    PutModel(CompactString, ModelSpec),
    /// Removes a model.
    RemoveModel(CompactString),
    /// Creates or replaces a plain service.
    PutService(CompactString, ServiceSpec),
    /// Removes a plain service.
    RemoveService(CompactString),
    /// Sends a backend server no new work.
    Drain(VmId),
    /// Ends the draining of a backend server.
    Undrain(VmId),
}

/// Why a change cannot be applied.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ChangeError {
    /// A name that the change refers to is not in the configuration.
    #[display("{kind} {name:?} does not exist")]
    NotFound {
        /// Kind of entity.
        kind: &'static str,
        /// Its name.
        name: CompactString,
    },
    /// A field has a value outside its range.
    #[display("{field} of {name:?} must be {allowed}")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// Name of the entity.
        name: CompactString,
        /// What is allowed.
        allowed: &'static str,
    },
    /// An API key belongs to another account already.
    #[display("an API key of account {name:?} belongs to account {owner:?} already")]
    CredentialTaken {
        /// The account of the change.
        name: CompactString,
        /// The account that has the key.
        owner: CompactString,
    },
}

impl Configuration {
    /// The configuration after `change`, one revision on.
    ///
    /// # Errors
    /// [`ChangeError`] when the change is not valid here; nothing is changed then.
    pub fn apply(&self, change: &Change) -> Result<Self, ChangeError> {
        let mut next = self.clone();
        next.revision = self.revision.next();
        match change {
            Change::PutAccount(name, spec) => {
                self.check_account(name, spec)?;
                next.accounts.insert(name.clone(), spec.clone());
            }
            Change::RemoveAccount(name) => remove_entry("account", &mut next.accounts, name)?,
            Change::PutModel(name, spec) => {
                check_model(name, spec)?;
                next.models.insert(name.clone(), spec.clone());
            }
            Change::RemoveModel(name) => remove_entry("model", &mut next.models, name)?,
            Change::PutService(name, spec) => {
                check_positive("time_limit_ms", name, spec.time_limit_ms)?;
                check_name(name)?;
                next.services.insert(name.clone(), spec.clone());
            }
            Change::RemoveService(name) => remove_entry("service", &mut next.services, name)?,
            Change::Drain(vm) => {
                next.drained.insert(vm.clone());
            }
            Change::Undrain(vm) => {
                if !next.drained.remove(vm) {
                    return Err(ChangeError::NotFound { kind: "drained VM", name: vm.0.clone() });
                }
            }
        }
        Ok(next)
    }

    fn check_account(&self, name: &CompactString, spec: &AccountSpec) -> Result<(), ChangeError> {
        check_name(name)?;
        check_positive("weight", name, u64::from(spec.weight))?;
        check_positive("max_open", name, u64::from(spec.max_open))?;
        if spec.priority > LOWEST_PRIORITY {
            let name = name.clone();
            return Err(ChangeError::OutOfRange { field: "priority", name, allowed: "0 to 9" });
        }
        let owner_of_key = self.accounts.iter().find(|(other, owner)| {
            *other != name && owner.credentials.iter().any(|c| spec.credentials.contains(c))
        });
        match owner_of_key {
            Some((owner, _)) => {
                Err(ChangeError::CredentialTaken { name: name.clone(), owner: owner.clone() })
            }
            None => Ok(()),
        }
    }
}

fn remove_entry<V>(
    kind: &'static str,
    specs: &mut BTreeMap<CompactString, V>,
    name: &CompactString,
) -> Result<(), ChangeError> {
    match specs.remove(name) {
        Some(_) => Ok(()),
        None => Err(ChangeError::NotFound { kind, name: name.clone() }),
    }
}

fn check_model(name: &CompactString, spec: &ModelSpec) -> Result<(), ChangeError> {
    check_name(name)?;
    check_positive("max_prompt_tokens", name, spec.max_prompt_tokens)?;
    check_positive("max_output_tokens", name, spec.max_output_tokens)?;
    check_positive("time_limit_ms", name, spec.time_limit_ms)
}

fn check_name(name: &CompactString) -> Result<(), ChangeError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !name.is_empty() && name.len() <= 64 && name.chars().all(is_allowed) {
        return Ok(());
    }
    let allowed = "1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'";
    Err(ChangeError::OutOfRange { field: "name", name: name.clone(), allowed })
}

fn check_positive(
    field: &'static str,
    name: &CompactString,
    value: u64,
) -> Result<(), ChangeError> {
    if value > 0 {
        return Ok(());
    }
    Err(ChangeError::OutOfRange { field, name: name.clone(), allowed: "at least 1" })
}
