//! Weighted fair queueing of the client accounts at one backend server.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::keys::ShareKey;
use crate::table::Entity;
use crate::table::Table;

/// Maximum number of accounts with their own share; all further accounts use one common share.
pub const MAX_SHARES: usize = 8192;

/// Fair share of one account.
#[derive(Debug)]
pub struct Share {
    /// Name of the account.
    pub account: CompactString,
    /// Virtual finish time of the account's last queued stream, in tokens divided by weight.
    pub virtual_finish: u64,
    /// Number of its queued streams.
    pub queued: u32,
}

impl Entity for Share {
    type Key = ShareKey;
}

/// Fair shares of all accounts.
#[derive(Debug)]
pub struct Shares {
    rows: Table<Share>,
    by_account: BTreeMap<CompactString, ShareKey>,
    /// Highest virtual finish of a started stream; a share that lies behind it starts from it, so
    /// that an idle account gains no credit.
    virtual_time: u64,
    /// Virtual finish of the common share of the accounts beyond [`MAX_SHARES`].
    overflow_finish: u64,
}

impl Default for Shares {
    fn default() -> Self {
        let rows = Table::new(MAX_SHARES);
        Self { rows, by_account: BTreeMap::new(), virtual_time: 0, overflow_finish: 0 }
    }
}

impl Shares {
    /// Adds a stream of `tokens` to the account's share; returns its virtual finish, which orders
    /// the queue.
    pub fn enqueue(&mut self, account: &CompactString, weight: u32, tokens: u64) -> u64 {
        let weighted_tokens = (tokens / u64::from(weight.max(1))).max(1);
        let virtual_time = self.virtual_time;
        let Some(share) = self.share_mut(account) else {
            self.overflow_finish = self.overflow_finish.max(virtual_time) + weighted_tokens;
            return self.overflow_finish;
        };
        share.virtual_finish = share.virtual_finish.max(virtual_time) + weighted_tokens;
        share.queued += 1;
        share.virtual_finish
    }

    /// Records that a stream left the queue; `started_finish` is its virtual finish if it started.
    pub fn dequeue(&mut self, account: &CompactString, started_finish: Option<u64>) {
        self.virtual_time =
            started_finish.map_or(self.virtual_time, |finish| finish.max(self.virtual_time));
        let Some(key) = self.by_account.get(account).copied() else { return };
        let Some(share) = self.rows.get_mut(key) else { return };
        share.queued = share.queued.saturating_sub(1);
        let is_caught_up = share.queued == 0 && share.virtual_finish <= self.virtual_time;
        if is_caught_up {
            self.rows.remove(key);
            self.by_account.remove(account);
        }
    }

    fn share_mut(&mut self, account: &CompactString) -> Option<&mut Share> {
        if !self.by_account.contains_key(account) {
            let share = Share { account: account.clone(), virtual_finish: 0, queued: 0 };
            let key = self.rows.insert(share).ok()?;
            self.by_account.insert(account.clone(), key);
        }
        self.rows.get_mut(*self.by_account.get(account)?)
    }
}
