//! Data centres that an entry knows from the list of VMs, its settings and the configuration.

use crate::configuration::ChangeError;
use crate::configuration::name_list;
use crate::entry::tables::regions::RegionIndex;
use crate::entry::tables::regions::Regions;
use crate::identity::DataCentre;
use crate::keys::DataCentreKey;
use crate::table::Entity;
use crate::table::Table;
use crate::table::TableFull;

/// Maximum number of data centres in the table; the system is designed for 15. VMs of further ones
/// are skipped, as an evacuation could not be applied to them.
pub const MAX_DATA_CENTRES: usize = 256;

/// A data centre as an entry knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreState {
    /// Name of the data centre.
    pub name: DataCentre,
    /// Whether a VM was listed in it since the process started, or the entry itself runs in it.
    pub was_listed: bool,
    /// Its region; `None` if the settings do not name one.
    pub region: Option<RegionIndex>,
    /// Whether operators have evacuated it: its backend servers get no new work.
    pub is_evacuated: bool,
}

impl Entity for DataCentreState {
    type Key = DataCentreKey;
}

/// All data centres that an entry knows.
#[derive(Debug)]
pub struct DataCentres {
    /// Rows of the table; none is removed.
    pub rows: Table<DataCentreState>,
    /// The regions that the settings name.
    pub regions: Regions,
}

impl DataCentres {
    /// Creates the table with the data centre in which the entry itself runs.
    pub fn new(own: &DataCentre, regions: Regions) -> Self {
        let mut data_centres = Self { rows: Table::new(MAX_DATA_CENTRES), regions };
        // The table has room for the first row.
        if let Ok(key) = data_centres.find_or_insert(own) {
            data_centres.set_listed(key);
        }
        data_centres
    }

    /// Records that a VM is listed in a data centre.
    pub fn set_listed(&mut self, key: DataCentreKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.was_listed = true;
        }
    }

    /// Finds a data centre by name.
    pub fn find(&self, name: &DataCentre) -> Option<DataCentreKey> {
        self.rows.iter().find(|(_, row)| row.name == *name).map(|(key, _)| key)
    }

    /// Finds a data centre by name, and adds it if it is not in the table.
    ///
    /// # Errors
    /// [`TableFull`] if it is not in the table and the table is full.
    pub fn find_or_insert(&mut self, name: &DataCentre) -> Result<DataCentreKey, TableFull> {
        if let Some(key) = self.find(name) {
            return Ok(key);
        }
        let row = DataCentreState {
            name: name.clone(),
            was_listed: false,
            region: self.regions.of_data_centre(name),
            is_evacuated: false,
        };
        self.rows.insert(row)
    }

    /// Returns the region of a data centre; `None` if it is not known.
    pub fn region(&self, key: DataCentreKey) -> Option<RegionIndex> {
        self.rows.get(key)?.region
    }

    /// Returns whether a data centre is evacuated; one that is not in the table is not.
    pub fn is_evacuated(&self, key: DataCentreKey) -> bool {
        self.rows.get(key).is_some_and(|row| row.is_evacuated)
    }

    /// Checks that operators may evacuate a data centre: it was listed, or is evacuated already.
    ///
    /// A data centre whose VMs have left the list stays known, as one that lost power may be
    /// evacuated.
    ///
    /// # Errors
    /// [`ChangeError::UnknownDataCentre`] with the known names.
    pub fn check_known(&self, name: &DataCentre) -> Result<(), ChangeError> {
        let is_known = |row: &DataCentreState| row.was_listed || row.is_evacuated;
        let known = self.rows.iter().filter(|(_, row)| is_known(row)).map(|(_, row)| &row.name);
        let mut known: Vec<_> = known.collect();
        if known.contains(&name) {
            return Ok(());
        }
        known.sort();
        let known = name_list(known.into_iter());
        Err(ChangeError::UnknownDataCentre { name: name.0.clone(), known })
    }
}
