//! Parts of prompts whose answers were sound lately.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::gateway::tables::prompt_parts::PromptPart;
use crate::time::Timestamp;

/// Maximum number of parts in one generation, a few hundred KB: those of a dozen prompts with as many
/// parts as the head of a request holds, or of five hundred prompts with 64 parts.
pub const MAX_SOUND_PARTS: usize = 32_768;

/// Time after which a generation of [`SoundParts`] begins.
const SOUND_GENERATION: Duration = Duration::from_secs(30);

/// Parts of prompts whose answers were sound lately: of the last [`SOUND_GENERATION`] or two, fewer
/// if there are many.
#[derive(Debug, Default)]
pub struct SoundParts {
    newer: BTreeSet<PromptPart>,
    older: BTreeSet<PromptPart>,
    newer_since: Timestamp,
}

impl SoundParts {
    /// Adds a part.
    pub fn insert(&mut self, part: PromptPart, now: Timestamp) {
        self.drop_old(now);
        if self.newer.len() >= MAX_SOUND_PARTS {
            self.begin_generation(now);
        }
        self.newer.insert(part);
    }

    /// Returns whether the part was added lately.
    pub fn contains(&mut self, part: PromptPart, now: Timestamp) -> bool {
        self.drop_old(now);
        self.newer.contains(&part) || self.older.contains(&part)
    }

    fn drop_old(&mut self, now: Timestamp) {
        let age = now.since(self.newer_since);
        if age >= SOUND_GENERATION {
            self.begin_generation(now);
        }
        if age >= SOUND_GENERATION * 2 {
            self.older.clear();
        }
    }

    fn begin_generation(&mut self, now: Timestamp) {
        self.older = std::mem::take(&mut self.newer);
        self.newer_since = now;
    }
}
