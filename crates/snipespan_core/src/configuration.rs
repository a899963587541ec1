//! The operators' configuration, the changes to it, and their validation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::identity::CredentialDigest;
use crate::identity::DataCentre;
use crate::identity::VmId;

/// Number of an accepted configuration; 0 before the first change, then 1 more per change.
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
    /// Returns the revision that follows this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Priority of a request, from 0 to [`LOWEST_PRIORITY`]; requests with a lower number are served
/// first.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Priority(pub u8);

/// Lowest priority that an operator may assign.
pub const LOWEST_PRIORITY: Priority = Priority(9);

/// Settings of a client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountSpec {
    /// SHA-256 of each API key that belongs to the account.
    pub credentials: Vec<CredentialDigest>,
    /// Priority of the account's requests.
    pub priority: Priority,
    /// Weight of the account in fair queueing at a backend server, at least 1.
    pub weight: u32,
    /// Maximum number of the account's requests open at one entry at a time, at least 1.
    pub max_open: u32,
    /// Whether all requests of the account are rejected.
    pub disabled: bool,
    /// Names of the regions whose backend servers may get the account's requests, besides the
    /// restriction of the model; empty if all may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<CompactString>,
}

/// Settings of a model; each number is at least 1.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Maximum prompt length in tokens.
    pub max_prompt_tokens: u64,
    /// Maximum answer length in tokens; also the default if the caller sets none.
    pub max_output_tokens: u64,
    /// Maximum time limit in milliseconds; also the default if the caller sets none.
    pub time_limit_ms: u64,
    /// Names of the regions whose backend servers may get the model's requests; empty if all may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<CompactString>,
}

/// Maximum number of home regions of an account or a model; the system is designed for 4 regions.
pub const MAX_HOME_REGIONS: usize = 64;

/// Settings of a plain service; the time limit is at least 1 ms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Maximum time limit in milliseconds; also the default if the caller sets none.
    pub time_limit_ms: u64,
    /// Path prefixes under which POST and PATCH calls are safe to repeat.
    pub repeatable_prefixes: Vec<CompactString>,
}

/// Complete configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Revision of this configuration.
    pub revision: Revision,
    /// Client accounts by name.
    pub accounts: BTreeMap<CompactString, AccountSpec>,
    /// Models by name.
    pub models: BTreeMap<CompactString, ModelSpec>,
    /// Plain services by name.
    pub services: BTreeMap<CompactString, ServiceSpec>,
    /// VMs of the backend servers that operators are draining.
    pub drained: BTreeSet<VmId>,
    /// Data centres that operators have evacuated: their backend servers get no new work. Absent
    /// from the encoding while it is empty, which is that of processes without evacuations.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub evacuated: BTreeSet<DataCentre>,
}

/// Maximum number of evacuated data centres; the system is designed for 15 data centres.
pub const MAX_EVACUATED: usize = 256;

/// Maximum length of the name of a data centre in bytes.
pub const MAX_DATA_CENTRE_NAME_BYTES: usize = 200;

/// A change of the configuration that an operator requests.
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
    /// Stops sending new work to a backend server.
    Drain(VmId),
    /// Resumes sending work to a drained backend server.
    Undrain(VmId),
    /// Stops sending new work to all backend servers of a data centre.
    Evacuate(DataCentre),
    /// Resumes sending work to the backend servers of an evacuated data centre.
    Restore(DataCentre),
}

/// Reason why a change is rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ChangeError {
    /// The entity that the change refers to is not in the configuration.
    #[display("{kind} {name:?} does not exist")]
    NotFound {
        /// Kind of the entity.
        kind: &'static str,
        /// Name of the entity.
        name: CompactString,
    },
    /// The value of a field is outside its allowed range.
    #[display("{field} of {name:?} must be {allowed}")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Name of the entity.
        name: CompactString,
        /// Allowed values.
        allowed: &'static str,
    },
    /// An API key of the account is already assigned to another account.
    #[display("an API key of account {name:?} belongs to account {owner:?} already")]
    CredentialTaken {
        /// Name of the account that the change creates or replaces.
        name: CompactString,
        /// Name of the account that already has the key.
        owner: CompactString,
    },
    /// The data centre to be evacuated has no backend servers that the entry has heard of.
    #[display("data centre {name:?} is not known; known data centres: {known}")]
    UnknownDataCentre {
        /// Name of the data centre.
        name: CompactString,
        /// Names of the known data centres, separated by commas.
        known: CompactString,
    },
    /// The data centre to be restored is not evacuated.
    #[display("data centre {name:?} is not evacuated; evacuated data centres: {evacuated}")]
    NotEvacuated {
        /// Name of the data centre.
        name: CompactString,
        /// Names of the evacuated data centres, separated by commas.
        evacuated: CompactString,
    },
    /// The maximum number of data centres are evacuated.
    #[display("{MAX_EVACUATED} data centres are evacuated already, which is the maximum")]
    TooManyEvacuated,
}

impl Configuration {
    /// Returns a copy of the configuration with `change` applied and the revision increased by 1.
    ///
    /// # Errors
    /// [`ChangeError`] if the change refers to a missing entity, has a value out of range, or
    /// assigns an API key of another account.
    pub fn apply(&self, change: &Change) -> Result<Self, ChangeError> {
        let mut next = self.clone();
        next.revision = self.revision.next();
        match change {
            Change::PutAccount(name, spec) => {
                self.check_account(name, spec)?;
                next.accounts.insert(name.clone(), spec.clone());
            }
            Change::RemoveAccount(name) => remove_key("account", &mut next.accounts, name)?,
            Change::PutModel(name, spec) => {
                spec.check_values(name)?;
                next.models.insert(name.clone(), spec.clone());
            }
            Change::RemoveModel(name) => remove_key("model", &mut next.models, name)?,
            Change::PutService(name, spec) => {
                spec.check_values(name)?;
                next.services.insert(name.clone(), spec.clone());
            }
            Change::RemoveService(name) => remove_key("service", &mut next.services, name)?,
            Change::Drain(vm) => {
                next.drained.insert(vm.clone());
            }
            Change::Undrain(vm) => {
                if !next.drained.remove(vm) {
                    return Err(ChangeError::NotFound { kind: "drained VM", name: vm.0.clone() });
                }
            }
            Change::Evacuate(name) => {
                check_data_centre(name)?;
                next.evacuated.insert(name.clone());
                if next.evacuated.len() > MAX_EVACUATED {
                    return Err(ChangeError::TooManyEvacuated);
                }
            }
            Change::Restore(name) => {
                if !next.evacuated.remove(name) {
                    let evacuated = name_list(self.evacuated.iter());
                    return Err(ChangeError::NotEvacuated { name: name.0.clone(), evacuated });
                }
            }
        }
        Ok(next)
    }

    fn check_account(&self, name: &CompactString, spec: &AccountSpec) -> Result<(), ChangeError> {
        spec.check_values(name)?;
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

fn remove_key<V>(
    kind: &'static str,
    specs: &mut BTreeMap<CompactString, V>,
    name: &CompactString,
) -> Result<(), ChangeError> {
    match specs.remove(name) {
        Some(_) => Ok(()),
        None => Err(ChangeError::NotFound { kind, name: name.clone() }),
    }
}

impl AccountSpec {
    /// Checks the name and the values of an account.
    ///
    /// # Errors
    /// [`ChangeError::OutOfRange`] with the first value that is not allowed.
    pub fn check_values(&self, name: &CompactString) -> Result<(), ChangeError> {
        check_name(name)?;
        check_positive("weight", name, u64::from(self.weight))?;
        check_positive("max_open", name, u64::from(self.max_open))?;
        check_home_regions(name, &self.home_regions)?;
        if self.priority > LOWEST_PRIORITY {
            let name = name.clone();
            return Err(ChangeError::OutOfRange { field: "priority", name, allowed: "0 to 9" });
        }
        Ok(())
    }
}

impl ModelSpec {
    /// Checks the name and the values of a model.
    ///
    /// # Errors
    /// [`ChangeError::OutOfRange`] with the first value that is not allowed.
    pub fn check_values(&self, name: &CompactString) -> Result<(), ChangeError> {
        check_name(name)?;
        check_positive("max_prompt_tokens", name, self.max_prompt_tokens)?;
        check_positive("max_output_tokens", name, self.max_output_tokens)?;
        check_home_regions(name, &self.home_regions)?;
        check_positive("time_limit_ms", name, self.time_limit_ms)
    }
}

impl ServiceSpec {
    /// Checks the name and the values of a plain service.
    ///
    /// # Errors
    /// [`ChangeError::OutOfRange`] with the first value that is not allowed.
    pub fn check_values(&self, name: &CompactString) -> Result<(), ChangeError> {
        check_positive("time_limit_ms", name, self.time_limit_ms)?;
        check_name(name)
    }
}

fn check_name(name: &CompactString) -> Result<(), ChangeError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !name.is_empty() && name.len() <= 64 && name.chars().all(is_allowed) {
        return Ok(());
    }
    let allowed = "1 to 64 characters of a-z, A-Z, 0-9, '-', '_', '.'";
    Err(ChangeError::OutOfRange { field: "name", name: name.clone(), allowed })
}

fn check_home_regions(name: &CompactString, regions: &[CompactString]) -> Result<(), ChangeError> {
    if regions.len() <= MAX_HOME_REGIONS && regions.iter().all(|region| check_name(region).is_ok())
    {
        return Ok(());
    }
    let allowed = "at most 64 names, each 1 to 64 characters of a-z, A-Z, 0-9, '-', '_', '.'";
    Err(ChangeError::OutOfRange { field: "home_regions", name: name.clone(), allowed })
}

fn check_data_centre(name: &DataCentre) -> Result<(), ChangeError> {
    if (1..=MAX_DATA_CENTRE_NAME_BYTES).contains(&name.0.len()) {
        return Ok(());
    }
    // The whole name of a request of any length does not belong in an error message.
    let name = name.0.chars().take(32).collect();
    Err(ChangeError::OutOfRange { field: "data centre name", name, allowed: "1 to 200 bytes long" })
}

/// Returns the names of data centres for an error message, "none" if there are none.
pub fn name_list<'a>(names: impl Iterator<Item = &'a DataCentre>) -> CompactString {
    let names: Vec<_> = names.map(|name| name.0.as_str()).collect();
    if names.is_empty() { "none".into() } else { names.join(", ").into() }
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
