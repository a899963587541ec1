//! The table of suspected parts of prompts.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::gateway::tables::prompt_parts::PromptPart;
use crate::gateway::tables::prompt_parts::Suspect;
use crate::gateway::tables::sound_parts::SoundParts;
use crate::keys::SuspectKey;
use crate::table::Table;
use crate::time::Timestamp;

/// Maximum number of suspected parts: those of a dozen prompts with as many parts as the head of a request
/// holds. Only crashes add rows, a full table takes less than 10 MB.
pub const MAX_SUSPECTS: usize = 32_768;

/// Order in which rows leave a full table, least first: what is known of a part that met one crash is lost
/// before what sets a part apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Weight {
    is_blocked: bool,
    crashes: usize,
    changed: Timestamp,
}

impl Weight {
    fn of(row: &Suspect) -> Self {
        let (is_blocked, crashes) = (row.is_blocked(), row.crashes.len());
        Self { is_blocked, crashes, changed: row.changed }
    }
}

/// All suspected parts.
#[derive(Debug)]
pub struct Suspects {
    rows: Table<Suspect>,
    by_part: BTreeMap<PromptPart, SuspectKey>,
    by_weight: BTreeSet<(Weight, SuspectKey)>,
    /// Rows that this gateway changed and has not reported to the peers, those with most crashes first.
    unreported: BTreeSet<(Reverse<usize>, PromptPart)>,
    /// Whether the record in the store does not say that a request of this gateway blocked a part, probed it in
    /// vain or cleared it.
    pub is_record_stale: bool,
    /// Whether a blocked part was forgotten, which the record may still name.
    pub has_forgotten_block: bool,
    /// Number of rows that made room for others.
    pub evicted: u64,
    /// Parts whose answers were sound at this gateway lately.
    pub sound: SoundParts,
    /// When expired rows are removed next.
    pub sweep_due: Timestamp,
    /// When unreported rows may be reported next.
    pub report_due: Timestamp,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            rows: Table::new(MAX_SUSPECTS),
            by_part: BTreeMap::new(),
            by_weight: BTreeSet::new(),
            unreported: BTreeSet::new(),
            is_record_stale: false,
            has_forgotten_block: false,
            evicted: 0,
            sound: SoundParts::default(),
            sweep_due: Timestamp::ZERO,
            report_due: Timestamp::ZERO,
        }
    }
}

impl Suspects {
    /// Returns the row of a part.
    pub fn get(&self, part: PromptPart) -> Option<&Suspect> {
        self.rows.get(*self.by_part.get(&part)?)
    }

    /// Iterates over all rows.
    pub fn iter(&self) -> impl Iterator<Item = &Suspect> {
        self.rows.iter().map(|(_, row)| row)
    }

    /// Iterates over the rows of blocked parts.
    pub fn blocked(&self) -> impl Iterator<Item = &Suspect> {
        let blocked = self.by_weight.iter().rev().take_while(|(weight, _)| weight.is_blocked);
        blocked.filter_map(|(_, key)| self.rows.get(*key))
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no part is suspected.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Changes the row of a part; returns the result of `change`, `None` without a row.
    pub fn update<T>(
        &mut self,
        part: PromptPart,
        change: impl FnOnce(&mut Suspect) -> T,
    ) -> Option<T> {
        let key = *self.by_part.get(&part)?;
        let row = self.rows.get_mut(key)?;
        let before = Weight::of(row);
        let result = change(row);
        let after = Weight::of(row);
        if after != before {
            self.by_weight.remove(&(before, key));
            self.by_weight.insert((after, key));
        }
        Some(result)
    }

    /// Changes the row of a part, which it creates if there is none. In a full table the row with the least
    /// weight makes room, unless that is blocked: then nothing changes, and it returns `None`.
    pub fn update_or_insert<T>(
        &mut self,
        part: PromptPart,
        now: Timestamp,
        change: impl FnOnce(&mut Suspect) -> T,
    ) -> Option<T> {
        if !self.by_part.contains_key(&part) {
            self.insert(Suspect::new(part, now))?;
        }
        self.update(part, change)
    }

    fn insert(&mut self, row: Suspect) -> Option<SuspectKey> {
        if self.rows.is_full() {
            let (weight, key) = *self.by_weight.first()?;
            let evicted = self.rows.get(key).filter(|_| !weight.is_blocked)?.part;
            self.remove(evicted);
            self.evicted += 1;
        }
        let (part, weight) = (row.part, Weight::of(&row));
        let key = self.rows.insert(row).ok()?;
        self.by_part.insert(part, key);
        self.by_weight.insert((weight, key));
        Some(key)
    }

    /// Removes the row of a part.
    pub fn remove(&mut self, part: PromptPart) {
        let Some(key) = self.by_part.remove(&part) else { return };
        if let Some(row) = self.rows.remove(key) {
            self.by_weight.remove(&(Weight::of(&row), key));
        }
    }

    /// Marks the row of a part to be reported to the peers.
    pub fn mark_unreported(&mut self, part: PromptPart) {
        if let Some(row) = self.get(part) {
            self.unreported.insert((Reverse(row.crashes.len()), part));
        }
    }

    /// Returns whether rows wait to be reported.
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Removes and returns the next row to report; it may be marked twice, or be gone.
    pub fn pop_unreported(&mut self) -> Option<PromptPart> {
        self.unreported.pop_first().map(|(_, part)| part)
    }
}
