//! Backend servers and their state as known to an entry.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::cost::Cost;
use crate::entry::event::Hello;
use crate::entry::event::Load;
use crate::entry::event::PREFIX_DIGESTS;
use crate::entry::event::PrefixDigests;
use crate::entry::event::Vm;
use crate::entry::event::prefix_digest_bytes;
use crate::identity::Target;
use crate::identity::VmId;
use crate::keys::BackendServerKey;
use crate::keys::DataCentreKey;
use crate::lifecycle::backend_server::BackendServerEvent;
use crate::lifecycle::backend_server::BackendServerLifecycle;
use crate::lifecycle::backend_server::State;
use crate::table::Entity;
use crate::table::Table;
use crate::time::Timestamp;

/// Maximum number of prefix digests kept for one backend server; the oldest is evicted first.
pub const MAX_PREFIX_DIGESTS: usize = 1024;

/// Prefill rate assumed before a side process has reported one, in tokens per second.
pub const ASSUMED_PREFILL_TOKENS_PER_S: u64 = 10_000;

/// Backoff after the first failure of a backend server; each further failure doubles it, and a
/// random factor of 0.5 to 1 is applied.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum backoff after failures of a backend server.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Prompt tokens that were queued at a point in time and are prefilled from then on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Tokens that were queued at `at`.
    pub tokens: u64,
    /// Time to which `tokens` refers.
    pub at: Timestamp,
}

impl Backlog {
    /// Returns the tokens that are still queued at `now` if `rate` tokens are prefilled per second.
    pub fn remaining_tokens(self, rate: u64, now: Timestamp) -> u64 {
        let micros = now.since(self.at).as_micros() as u64;
        self.tokens.saturating_sub(rate.saturating_mul(micros) / 1_000_000)
    }

    /// Adds tokens that are queued from `now` on.
    pub fn add(&mut self, tokens: u64, rate: u64, now: Timestamp) {
        *self = Self { tokens: self.remaining_tokens(rate, now) + tokens, at: now };
    }
}

/// A backend server that is reached through its side process.
pub struct BackendServer {
    /// Its VM, as listed by the platform.
    pub vm: Vm,
    /// Data centre of its VM.
    pub data_centre: DataCentreKey,
    /// Whether the first connection to its side process has neither succeeded nor failed yet, so
    /// that what it serves is unknown.
    pub is_untried: bool,
    /// Whether the platform's latest list of VMs contains it.
    pub is_listed: bool,
    /// Whether an operator is draining it.
    pub is_drained: bool,
    /// Whether its side process reported that it is leaving.
    pub reported_leaving: bool,
    /// Lifecycle of the backend server.
    pub lifecycle: StateMachine<BackendServerLifecycle>,
    /// Latest hello of its side process; `None` while it is not connected.
    pub hello: Option<Hello>,
    /// Latest load that its side process reported.
    pub load: Load,
    /// Number of requests of this entry that are open at it.
    pub open: u32,
    /// Predicted backlog of prompt tokens: the reported load and what was sent since.
    pub backlog: Backlog,
    /// The part of `backlog` that is prefilled before a new short prompt.
    pub backlog_before_short: Backlog,
    /// Consecutive failures since its last complete answer.
    pub failures: u32,
    /// End of its backoff; until then it is used only if no other backend server can serve.
    pub backoff_until: Timestamp,
    /// Number of occurrences of each digest in `digest_order`.
    digest_uses: BTreeMap<u64, usize>,
    /// Digests of sent prompt prefixes, oldest first, at most [`MAX_PREFIX_DIGESTS`].
    digest_order: VecDeque<u64>,
}

impl Entity for BackendServer {
    type Key = BackendServerKey;
}

impl BackendServer {
    /// Creates a backend server that is not connected yet.
    pub fn new(vm: Vm, data_centre: DataCentreKey) -> Self {
        Self {
            vm,
            data_centre,
            is_untried: true,
            is_listed: true,
            is_drained: false,
            reported_leaving: false,
            lifecycle: BackendServerLifecycle.state_machine(),
            hello: None,
            load: Load::default(),
            open: 0,
            backlog: Backlog::default(),
            backlog_before_short: Backlog::default(),
            failures: 0,
            backoff_until: Timestamp::ZERO,
            digest_uses: BTreeMap::new(),
            digest_order: VecDeque::new(),
        }
    }

    /// Returns whether it accepts new work.
    pub fn is_ready(&self) -> bool {
        *self.lifecycle.state() == State::Ready {}
    }

    /// Updates the lifecycle: it is leaving if the platform, an operator or its side process
    /// reports so.
    pub fn update_leaving(&mut self) {
        let is_leaving = self.vm.is_leaving || self.is_drained || self.reported_leaving;
        let event = match is_leaving {
            true => BackendServerEvent::LeavingSeen,
            false => BackendServerEvent::LeavingCleared,
        };
        self.lifecycle.handle(&event);
    }

    /// Estimates how many prompt tokens the engine has in its prefix cache: those of the longest
    /// prefix in `digests` that was sent to it.
    pub fn cached_tokens(&self, digests: &PrefixDigests) -> u64 {
        let is_known = |i: &usize| digests[*i] != 0 && self.digest_uses.contains_key(&digests[*i]);
        let longest = (0..PREFIX_DIGESTS).rev().find(is_known);
        longest.map_or(0, |i| Cost::tokens_of_text(prefix_digest_bytes(i)))
    }

    /// Records that a prompt with these prefix digests was sent to the engine.
    pub fn record_prefix_digests(&mut self, digests: &PrefixDigests) {
        for digest in digests.iter().filter(|digest| **digest != 0) {
            self.record_digest(*digest);
        }
    }

    fn record_digest(&mut self, digest: u64) {
        *self.digest_uses.entry(digest).or_default() += 1;
        self.digest_order.push_back(digest);
        if self.digest_order.len() > MAX_PREFIX_DIGESTS {
            let oldest = self.digest_order.pop_front();
            oldest.into_iter().for_each(|digest| self.evict_digest(digest));
        }
    }

    fn evict_digest(&mut self, digest: u64) {
        let Some(uses) = self.digest_uses.get_mut(&digest) else { return };
        *uses -= 1;
        if *uses == 0 {
            self.digest_uses.remove(&digest);
        }
    }

    /// Clears the recorded prefix digests, as a restarted engine has an empty cache.
    pub fn clear_prefix_digests(&mut self) {
        self.digest_uses.clear();
        self.digest_order.clear();
    }

    /// Stores a reported load and resets the predicted backlog to it.
    pub fn set_load(&mut self, load: Load, now: Timestamp) {
        self.load = load;
        self.backlog = Backlog { tokens: load.queued_tokens, at: now };
        self.backlog_before_short = Backlog { tokens: load.queued_before_short_tokens, at: now };
    }

    /// Adds a prompt that was sent after the latest load report to the predicted backlog; `tokens`
    /// of it are not in the prefix cache.
    pub fn add_sent_tokens(&mut self, cost: Cost, tokens: u64, now: Timestamp) {
        let rate = self.prefill_rate();
        self.backlog.add(tokens, rate, now);
        if cost.is_short() {
            self.backlog_before_short.add(tokens, rate, now);
        }
    }

    /// Reverts [`Self::add_sent_tokens`] for an attempt that was refused or failed.
    pub fn remove_sent_tokens(&mut self, cost: Cost, tokens: u64) {
        self.backlog.tokens = self.backlog.tokens.saturating_sub(tokens);
        if cost.is_short() {
            let short = &mut self.backlog_before_short.tokens;
            *short = short.saturating_sub(tokens);
        }
    }

    /// Returns the prefill rate in prompt tokens per second.
    const fn prefill_rate(&self) -> u64 {
        match self.load.prefill_tokens_per_s {
            0 => ASSUMED_PREFILL_TOKENS_PER_S,
            reported => reported,
        }
    }

    /// Estimates the time to the first token of a prompt, `cached_tokens` tokens of which are in
    /// the prefix cache.
    pub fn estimated_first_token(
        &self,
        cost: Cost,
        cached_tokens: u64,
        now: Timestamp,
    ) -> Duration {
        let rate = self.prefill_rate();
        let queued = match cost.is_short() {
            true => self.backlog_before_short.remaining_tokens(rate, now),
            false => self.backlog.remaining_tokens(rate, now),
        };
        let work = queued + cost.prompt_tokens.saturating_sub(cached_tokens);
        Duration::from_micros(work.saturating_mul(1_000_000) / rate)
    }
}

/// The known backend servers, indexed by VM and by the models and services they serve.
pub struct BackendServers {
    /// The backend servers by key.
    pub rows: Table<BackendServer>,
    by_vm: BTreeMap<VmId, BackendServerKey>,
    by_target: BTreeMap<Target, Vec<BackendServerKey>>,
}

impl BackendServers {
    /// Creates an empty table for at most `bound` backend servers.
    pub fn new(bound: usize) -> Self {
        Self { rows: Table::new(bound), by_vm: BTreeMap::new(), by_target: BTreeMap::new() }
    }

    /// Returns the backend server on a VM.
    pub fn find_by_vm(&self, vm: &VmId) -> Option<BackendServerKey> {
        self.by_vm.get(vm).copied()
    }

    /// Returns the backend servers that serve `target`, in whatever state they are.
    pub fn find_by_target(&self, target: &Target) -> &[BackendServerKey] {
        self.by_target.get(target).map_or(&[], Vec::as_slice)
    }

    /// Iterates over the models and plain services that a backend server serves.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.by_target.keys()
    }

    /// Adds the backend server of a VM and returns its key; `None` if the table is full.
    pub fn add(&mut self, vm: Vm, data_centre: DataCentreKey) -> Option<BackendServerKey> {
        let id = vm.id.clone();
        let key = self.rows.insert(BackendServer::new(vm, data_centre)).ok()?;
        self.by_vm.insert(id, key);
        Some(key)
    }

    /// Removes a backend server from the table and both indexes.
    pub fn remove(&mut self, key: BackendServerKey) {
        let Some(row) = self.rows.remove(key) else { return };
        self.by_vm.remove(&row.vm.id);
        self.remove_from_targets(key);
    }

    /// Stores the hello of a side process and indexes its targets.
    pub fn set_hello(&mut self, key: BackendServerKey, hello: Hello) {
        self.remove_from_targets(key);
        for target in &hello.targets {
            self.by_target.entry(target.clone()).or_default().push(key);
        }
        if let Some(row) = self.rows.get_mut(key) {
            row.hello = Some(hello);
        }
    }

    fn remove_from_targets(&mut self, key: BackendServerKey) {
        self.by_target.retain(|_, keys| {
            keys.retain(|other| *other != key);
            !keys.is_empty()
        });
    }
}
