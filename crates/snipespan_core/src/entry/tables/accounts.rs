//! Client accounts that an entry serves.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::configuration::AccountSpec;
use crate::identity::CredentialDigest;
use crate::keys::AccountKey;
use crate::table::Entity;
use crate::table::Table;

/// Maximum number of client accounts in one configuration.
pub const MAX_ACCOUNTS: usize = 100_000;

/// A client account and the number of its open requests.
#[derive(Debug)]
pub struct Account {
    /// Name of the account.
    pub name: CompactString,
    /// Configuration of the account.
    pub spec: AccountSpec,
    /// Number of its requests that are open in this entry.
    pub open: u32,
}

impl Entity for Account {
    type Key = AccountKey;
}

/// The client accounts, indexed by name and by API key.
#[derive(Debug)]
pub struct Accounts {
    /// The accounts by key.
    pub rows: Table<Account>,
    by_name: BTreeMap<CompactString, AccountKey>,
    by_credential: BTreeMap<CredentialDigest, AccountKey>,
}

impl Default for Accounts {
    fn default() -> Self {
        let rows = Table::new(MAX_ACCOUNTS);
        Self { rows, by_name: BTreeMap::new(), by_credential: BTreeMap::new() }
    }
}

impl Accounts {
    /// Returns the account to which an API key belongs.
    pub fn find_by_credential(&self, credential: CredentialDigest) -> Option<AccountKey> {
        self.by_credential.get(&credential).copied()
    }

    /// Replaces the accounts by those of a configuration and keeps the counts of open requests.
    ///
    /// Accounts beyond [`MAX_ACCOUNTS`] are skipped; their callers are refused as unauthenticated.
    pub fn replace(&mut self, specs: &BTreeMap<CompactString, AccountSpec>) {
        self.remove_missing(specs);
        for (name, spec) in specs {
            self.put_account(name, spec);
        }
        self.by_credential = self.credential_index();
    }

    fn remove_missing(&mut self, specs: &BTreeMap<CompactString, AccountSpec>) {
        let rows = &mut self.rows;
        self.by_name.retain(|name, key| {
            let is_kept = specs.contains_key(name);
            if !is_kept {
                rows.remove(*key);
            }
            is_kept
        });
    }

    fn put_account(&mut self, name: &CompactString, spec: &AccountSpec) {
        let known = self.by_name.get(name).and_then(|key| self.rows.get_mut(*key));
        if let Some(account) = known {
            account.spec.clone_from(spec);
            return;
        }
        let account = Account { name: name.clone(), spec: spec.clone(), open: 0 };
        if let Ok(key) = self.rows.insert(account) {
            self.by_name.insert(name.clone(), key);
        }
    }

    fn credential_index(&self) -> BTreeMap<CredentialDigest, AccountKey> {
        let rows = self.rows.iter();
        rows.flat_map(|(key, row)| row.spec.credentials.iter().map(move |c| (*c, key))).collect()
    }
}
