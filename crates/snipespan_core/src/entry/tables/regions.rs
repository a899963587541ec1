//! Regions of data centres, and the home regions that restrict where requests may go.

use compact_str::CompactString;

use crate::identity::DataCentre;

/// Maximum number of regions, one for each bit of a [`RegionSet`]; the system is designed for 4.
pub const MAX_REGIONS: usize = 64;

/// Position of a region in [`Regions`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionIndex(u8);

/// A set of regions, one bit for each [`RegionIndex`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionSet(u64);

impl RegionSet {
    /// Adds a region.
    pub const fn insert(&mut self, region: RegionIndex) {
        self.0 |= 1 << region.0;
    }

    /// Returns whether a region is in the set.
    pub const fn contains(self, region: RegionIndex) -> bool {
        self.0 & (1 << region.0) != 0
    }
}

/// Regions whose backend servers may get a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HomeRegions {
    /// All, also data centres whose region is not known.
    #[default]
    Any,
    /// Only these. A data centre whose region is not known is in none of them.
    Only(RegionSet),
}

impl HomeRegions {
    /// Returns whether a backend server in a region may get the request.
    pub const fn allows(self, region: Option<RegionIndex>) -> bool {
        match (self, region) {
            (Self::Any, _) => true,
            (Self::Only(set), Some(region)) => set.contains(region),
            (Self::Only(_), None) => false,
        }
    }

    /// Returns the regions that both allow.
    pub const fn intersection(self, other: Self) -> Self {
        match (self, other) {
            (Self::Any, homes) | (homes, Self::Any) => homes,
            (Self::Only(a), Self::Only(b)) => Self::Only(RegionSet(a.0 & b.0)),
        }
    }
}

/// The regions that the settings name, with their data centres.
#[derive(Clone, Debug, Default)]
pub struct Regions {
    names: Vec<CompactString>,
    data_centres: Vec<(DataCentre, RegionIndex)>,
}

impl Regions {
    /// Creates the table from data centres with their regions; regions beyond [`MAX_REGIONS`] are
    /// skipped, and their data centres are in no region.
    pub fn new(settings: &[(DataCentre, CompactString)]) -> Self {
        let mut regions = Self::default();
        for (data_centre, name) in settings {
            if let Some(index) = regions.find_or_insert(name) {
                regions.data_centres.push((data_centre.clone(), index));
            }
        }
        regions
    }

    fn find_or_insert(&mut self, name: &CompactString) -> Option<RegionIndex> {
        if let Some(index) = self.find(name) {
            return Some(index);
        }
        if self.names.len() == MAX_REGIONS {
            return None;
        }
        self.names.push(name.clone());
        self.find(name)
    }

    fn find(&self, name: &str) -> Option<RegionIndex> {
        let position = self.names.iter().position(|known| known == name)?;
        u8::try_from(position).ok().map(RegionIndex)
    }

    /// Returns the region of a data centre; `None` if the settings do not name it.
    pub fn of_data_centre(&self, data_centre: &DataCentre) -> Option<RegionIndex> {
        let found = self.data_centres.iter().find(|(known, _)| known == data_centre);
        found.map(|(_, region)| *region)
    }

    /// Returns the name of a region.
    pub fn name(&self, region: RegionIndex) -> Option<&CompactString> {
        self.names.get(usize::from(region.0))
    }

    /// Returns the home regions that a list of names means; an empty list allows all regions, and a
    /// name that the settings lack allows none.
    pub fn homes(&self, names: &[CompactString]) -> HomeRegions {
        if names.is_empty() {
            return HomeRegions::Any;
        }
        let mut set = RegionSet::default();
        names.iter().filter_map(|name| self.find(name)).for_each(|region| set.insert(region));
        HomeRegions::Only(set)
    }
}
