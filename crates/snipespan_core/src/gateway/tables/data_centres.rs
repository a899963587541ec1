//! Data centres that listings and settings name.

use compact_str::CompactString;

use crate::keys::DataCentreKey;
use crate::table::Entity;
use crate::table::Table;
use crate::table::TableFull;

/// Maximum number of data centres in the table; the system is designed for 15. Names come from
/// listings, which other writers may also write.
pub const MAX_DATA_CENTRES: usize = 256;

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: CompactString,
    /// Name of its region; `None` if the settings do not name it.
    pub region: Option<CompactString>,
    /// Whether the operator has evacuated it: its backend servers get no new work.
    pub is_evacuated: bool,
}

impl Entity for DataCentre {
    type Key = DataCentreKey;
}

/// All data centres.
#[derive(Debug)]
pub struct DataCentres {
    /// Rows of the table; none is removed.
    pub rows: Table<DataCentre>,
    /// Number of rows to which the settings in force were applied.
    pub settled: usize,
}

impl Default for DataCentres {
    fn default() -> Self {
        Self { rows: Table::new(MAX_DATA_CENTRES), settled: 0 }
    }
}

impl DataCentres {
    /// Finds a data centre by name.
    pub fn find(&self, name: &str) -> Option<DataCentreKey> {
        self.rows.iter().find(|(_, row)| row.name == name).map(|(key, _)| key)
    }

    /// Finds a data centre by name, and adds it if it is not in the table.
    ///
    /// # Errors
    /// [`TableFull`] if it is not in the table and the table is full.
    pub fn find_or_insert(&mut self, name: &str) -> Result<DataCentreKey, TableFull> {
        match self.find(name) {
            Some(key) => Ok(key),
            None => self.rows.insert(DataCentre {
                name: name.into(),
                region: None,
                is_evacuated: false,
            }),
        }
    }
}
