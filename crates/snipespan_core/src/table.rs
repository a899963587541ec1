//! Tables of entities with a maximum number of rows.

use derive_more::Display;
use derive_more::Error;
use slotmap::SlotMap;

/// A row type with its key type.
pub trait Entity {
    /// Generation-checked key of a row.
    type Key: slotmap::Key;
}

/// Error that the table has reached its maximum number of rows and rejected the insertion.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the table is full")]
pub struct TableFull;

/// Rows of one type of entity, at most `bound` of them.
#[derive(Debug)]
pub struct Table<E: Entity> {
    rows: SlotMap<E::Key, E>,
    bound: usize,
}

impl<E: Entity> Table<E> {
    /// Creates an empty table for at most `bound` rows.
    pub fn new(bound: usize) -> Self {
        Self { rows: SlotMap::with_key(), bound }
    }

    /// Inserts a row and returns its key.
    ///
    /// # Errors
    /// [`TableFull`] if the table already has `bound` rows.
    pub fn insert(&mut self, row: E) -> Result<E::Key, TableFull> {
        if self.is_full() {
            return Err(TableFull);
        }
        Ok(self.rows.insert(row))
    }

    /// Returns whether the table has no free slot, so that the next insertion fails.
    pub fn is_full(&self) -> bool {
        self.rows.len() >= self.bound
    }

    /// Returns the row of `key`, or `None` if it was removed.
    pub fn get(&self, key: E::Key) -> Option<&E> {
        self.rows.get(key)
    }

    /// Returns the row of `key` mutably, or `None` if it was removed.
    pub fn get_mut(&mut self, key: E::Key) -> Option<&mut E> {
        self.rows.get_mut(key)
    }

    /// Removes and returns the row of `key`; `None` if it was removed before.
    pub fn remove(&mut self, key: E::Key) -> Option<E> {
        self.rows.remove(key)
    }

    /// Iterates over all rows with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (E::Key, &E)> {
        self.rows.iter()
    }

    /// Iterates mutably over all rows with their keys.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (E::Key, &mut E)> {
        self.rows.iter_mut()
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the bytes allocated for slots, excluding heap memory that the rows own.
    pub fn slot_bytes(&self) -> usize {
        self.rows.capacity() * (size_of::<E>() + size_of::<u64>())
    }
}
