//! State of the record of blocked parts in the store.

use crate::time::Timestamp;

/// What this gateway knows of the record, and when it reads it next.
#[derive(Debug, Default)]
pub struct PartRecord {
    /// Whether a read or a write is in progress.
    pub is_calling: bool,
    /// Whether the record named a part when it was last read or written.
    pub has_parts: bool,
    /// Whether the store was lost since it was last read.
    pub is_store_lost: bool,
    /// When it is read next; `None` if nothing is known to be blocked.
    pub due: Option<Timestamp>,
}

impl PartRecord {
    /// Lets the record be read at `due`, or sooner if that was planned.
    pub fn plan_read(&mut self, due: Timestamp) {
        self.due = Some(due.or_sooner(self.due));
    }
}
