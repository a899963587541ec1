//! Comparison of two versions of a configuration.

use std::collections::BTreeMap;

use compact_str::CompactString;
use derive_more::Display;

use crate::configuration_check::finding::Item;

/// An item of a configuration with its fields as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Description {
    /// The item.
    pub item: Item,
    /// Its fields in a fixed order; empty text for a field that is not set.
    pub fields: Vec<(&'static str, CompactString)>,
}

/// What differs at one item.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Difference {
    /// Only the newer version has the item.
    #[display("added: {_0}")]
    Added(Item),
    /// Only the older version has the item.
    #[display("removed: {_0}")]
    Removed(Item),
    /// A field of the item differs.
    #[display("changed: {item}: {field} from {from:?} to {to:?}", from = from.as_str(), to = to.as_str())]
    Changed {
        /// The item.
        item: Item,
        /// Name of the field.
        field: &'static str,
        /// Value in the older version.
        from: CompactString,
        /// Value in the newer version.
        to: CompactString,
    },
}

/// Compares the items of two versions, in ascending order of kind and name.
pub fn compare(older: &[Description], newer: &[Description]) -> Vec<Difference> {
    let older = by_item(older);
    let newer = by_item(newer);
    let mut items: Vec<_> = older.keys().chain(newer.keys()).copied().collect();
    items.sort();
    items.dedup();
    let mut differences = Vec::new();
    for item in items {
        match (older.get(item), newer.get(item)) {
            (Some(older), Some(newer)) => compare_fields(item, older, newer, &mut differences),
            (None, _) => differences.push(Difference::Added(item.clone())),
            (_, None) => differences.push(Difference::Removed(item.clone())),
        }
    }
    differences
}

fn by_item(descriptions: &[Description]) -> BTreeMap<&Item, &Description> {
    descriptions.iter().map(|description| (&description.item, description)).collect()
}

fn compare_fields(
    item: &Item,
    older: &Description,
    newer: &Description,
    differences: &mut Vec<Difference>,
) {
    let pairs = older.fields.iter().zip(&newer.fields);
    differences.extend(pairs.filter(|(from, to)| from.1 != to.1).map(|(from, to)| {
        let (field, from, to) = (from.0, from.1.clone(), to.1.clone());
        Difference::Changed { item: item.clone(), field, from, to }
    }));
}
