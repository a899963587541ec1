//! Data centres that the operator has evacuated, by name.

use compact_str::CompactString;

use crate::gateway::event::StoreVersion;
use crate::keys::EvacuationKey;
use crate::table::Entity;
use crate::table::Table;
use crate::time::Timestamp;

/// Maximum number of evacuations in the table; the system is designed for 15 data centres. With the
/// longest names, a message with all of them stays below the 16 KiB that gateways receive at once.
pub const MAX_EVACUATIONS: usize = 64;

/// What was last logged of an evacuation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EvacuationStanding {
    /// Nothing yet: no listing names the data centre, and the listings may not be complete.
    #[default]
    Unchecked,
    /// No listing names the data centre.
    Unknown,
    /// A listing names the data centre.
    InForce,
}

/// An evacuation of one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Name of the data centre, which no listing may name yet.
    pub name: CompactString,
    /// What was last logged of it.
    pub standing: EvacuationStanding,
}

impl Entity for Evacuation {
    type Key = EvacuationKey;
}

/// All evacuations, complete up to a version of the store.
#[derive(Debug)]
pub struct Evacuations {
    /// Rows of the table. A further evacuation is ignored while it is full.
    pub rows: Table<Evacuation>,
    /// Version of the store up to which the table is complete; 0 before it was first read.
    pub version: StoreVersion,
    /// When the set of names last changed; `None` if it never did.
    pub changed: Option<Timestamp>,
    /// Whether the peers are to be notified of a change from this gateway's own feed.
    pub is_unsent: bool,
    /// When the set is next sent again to the peers.
    pub repeat_due: Timestamp,
    /// When a peer last reported the same set.
    pub confirmed: Option<Timestamp>,
}

impl Default for Evacuations {
    fn default() -> Self {
        Self {
            rows: Table::new(MAX_EVACUATIONS),
            version: StoreVersion::default(),
            changed: None,
            is_unsent: false,
            repeat_due: Timestamp::ZERO,
            confirmed: None,
        }
    }
}

impl Evacuations {
    /// Finds an evacuation by the name of the data centre.
    pub fn find(&self, name: &str) -> Option<EvacuationKey> {
        self.rows.iter().find(|(_, row)| row.name == name).map(|(key, _)| key)
    }

    /// Returns the names of the evacuated data centres in ascending order.
    pub fn names(&self) -> Vec<CompactString> {
        let mut names: Vec<_> = self.rows.iter().map(|(_, row)| row.name.clone()).collect();
        names.sort();
        names
    }
}
