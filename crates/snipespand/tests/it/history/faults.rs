//! Injects random faults into a fleet, and changes its configuration as operators do.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snipespan_admin::v1::change::Change;
use snipespan_fakes::model_engine::EngineFaults;
use snipespan_fakes::plain_service::ServiceFaults;
use snipespan_fakes::platform::PlatformFaults;
use tokio::sync::watch;

use crate::harness::Fleet;
use crate::harness::engine_backend;
use crate::harness::service_backend;
use crate::history::caller_urls;

/// Configuration revisions that operators observed.
#[derive(Debug, Default)]
pub(super) struct Revisions {
    /// Change id and revision of each accepted change.
    pub(super) accepted: Vec<(String, u64)>,
    /// Index of an entry and the revision that it had in force, in the order of observation.
    pub(super) in_force: Vec<(usize, u64)>,
}

/// Injects faults into the fleet of one seed, one at a time.
pub(super) struct FaultInjector {
    rng: SmallRng,
    fleet: Fleet,
    entry_urls: watch::Sender<Vec<String>>,
    revisions: Revisions,
    /// Number of changes sent, accepted or not; it makes their ids unique.
    changes: u64,
}

impl FaultInjector {
    pub(super) fn new(seed: u64, fleet: Fleet, entry_urls: watch::Sender<Vec<String>>) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { rng, fleet, entry_urls, revisions: Revisions::default(), changes: 0 }
    }

    /// Injects a random fault and ends it after a random time, or applies a configuration change;
    /// then records the revisions in force.
    pub(super) async fn inject_fault(&mut self) {
        match self.rng.random_range(0..10) {
            0 => self.replace_side(Signal::SIGKILL).await,
            1 => self.replace_side(Signal::SIGTERM).await,
            2 => self.freeze_side().await,
            3 => self.replace_entry().await,
            4 => self.freeze_entry().await,
            5 | 6 => self.inject_engine_fault().await,
            7 => self.inject_service_fault().await,
            8 => self.inject_platform_fault().await,
            _ => self.apply_change().await,
        }
        self.record_revisions().await;
    }

    /// Clears all faults and waits until every entry is ready; returns the fleet and the revisions
    /// that operators observed.
    pub(super) async fn clear_faults(mut self) -> (Fleet, Revisions) {
        for engine in &self.fleet.engines {
            engine.set_faults(EngineFaults::default());
        }
        self.fleet.service.set_faults(ServiceFaults::default());
        self.fleet.env.platform.set_faults(PlatformFaults::default());
        for entry in &self.fleet.entries {
            self.fleet.wait_for_ready(entry).await;
        }
        self.record_revisions().await;
        (self.fleet, self.revisions)
    }

    /// Waits for a random time of at least 20 and less than `max_ms` milliseconds.
    async fn pause(&mut self, max_ms: u64) {
        let millis = self.rng.random_range(20..max_ms);
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    /// Ends a random side process by `signal`, and starts another in its place.
    async fn replace_side(&mut self, signal: Signal) {
        let index = self.rng.random_range(0..self.fleet.sides.len());
        let fleet = &mut self.fleet;
        fleet.sides[index].send_signal(signal);
        match signal {
            Signal::SIGKILL => fleet.sides[index].kill(),
            _ => drop(fleet.sides[index].wait_for_exit().await),
        }
        let (vm, backend) = match index {
            0 => ("vm-service".to_owned(), service_backend(&fleet.service)),
            _ => {
                let engine = &fleet.engines[index - 1];
                (format!("vm-engine-{}", index - 1), engine_backend(engine))
            }
        };
        fleet.sides[index] = fleet.env.start_side(&vm, &backend, "");
        self.pause(400).await;
    }

    /// Freezes a random side process for up to five seconds.
    async fn freeze_side(&mut self) {
        let index = self.rng.random_range(0..self.fleet.sides.len());
        self.fleet.sides[index].send_signal(Signal::SIGSTOP);
        self.pause(5_000).await;
        self.fleet.sides[index].send_signal(Signal::SIGCONT);
    }

    /// Kills a random entry, and starts another in its place.
    async fn replace_entry(&mut self) {
        let index = self.rng.random_range(0..self.fleet.entries.len());
        self.fleet.entries[index].kill();
        let vm = format!("vm-entry-{index}");
        self.fleet.entries[index] = self.fleet.env.start_entry(&vm, "");
        self.entry_urls.send_replace(caller_urls(&self.fleet));
        self.pause(400).await;
    }

    /// Freezes a random entry for up to five seconds.
    async fn freeze_entry(&mut self) {
        let index = self.rng.random_range(0..self.fleet.entries.len());
        self.fleet.entries[index].send_signal(Signal::SIGSTOP);
        self.pause(5_000).await;
        self.fleet.entries[index].send_signal(Signal::SIGCONT);
    }

    /// Makes a random engine faulty for up to 1.5 seconds.
    async fn inject_engine_fault(&mut self) {
        let index = self.rng.random_range(0..self.fleet.engines.len());
        let token = Some(self.rng.random_range(0..50));
        let none = EngineFaults::default();
        let faults = match self.rng.random_range(0..8) {
            0 => EngineFaults { is_frozen: true, ..none },
            1 => EngineFaults { disconnect_after: token, ..none },
            2 => EngineFaults { repeat_token: token, ..none },
            3 => EngineFaults { skip_token: token, ..none },
            4 => EngineFaults { swap_token: token, ..none },
            5 => EngineFaults { mislabel_token: token, ..none },
            6 => EngineFaults { truncate_after: token, ..none },
            _ => EngineFaults { refuses: true, lose_cancels: 5, ..none },
        };
        self.fleet.engines[index].set_faults(faults);
        self.pause(1_500).await;
        self.fleet.engines[index].set_faults(none);
    }

    /// Makes the plain service slow, in half of the cases with broken connections, for up to a
    /// second.
    async fn inject_service_fault(&mut self) {
        let disconnects = self.rng.random_bool(0.5);
        let delay = Duration::from_millis(self.rng.random_range(0..1_000));
        self.fleet.service.set_faults(ServiceFaults { delay, disconnects });
        self.pause(1_000).await;
        self.fleet.service.set_faults(ServiceFaults::default());
    }

    /// Makes the platform's store unavailable, delays its calls by 300 ms or loses the answers of
    /// its next five commits, for up to two seconds.
    async fn inject_platform_fault(&mut self) {
        let none = PlatformFaults::default();
        let faults = match self.rng.random_range(0..3) {
            0 => PlatformFaults { is_down: true, ..none },
            1 => PlatformFaults { delay: Duration::from_millis(300), ..none },
            _ => PlatformFaults { lose_answers: 5, ..none },
        };
        self.fleet.env.platform.set_faults(faults);
        self.pause(2_000).await;
        self.fleet.env.platform.set_faults(none);
    }

    /// Applies a change of the configuration through a random entry, and records an accepted one.
    async fn apply_change(&mut self) {
        let index = self.rng.random_range(0..self.fleet.entries.len());
        self.changes += 1;
        let id = format!("change-{}", self.changes);
        let mut operator = self.fleet.env.connect_operator(&self.fleet.entries[index]).await;
        let change = Change::Drain(format!("absent-{}", self.changes));
        if let Ok(revision) = operator.apply_change(&id, None, change).await {
            self.revisions.accepted.push((id, revision));
        }
    }

    /// Records the revision in force at each entry.
    async fn record_revisions(&mut self) {
        for (index, entry) in self.fleet.entries.iter().enumerate() {
            let revision = self.fleet.env.connect_operator(entry).await.revision().await;
            // An entry that has just started may have no revision yet, and serves no caller then.
            if revision > 0 {
                self.revisions.in_force.push((index, revision));
            }
        }
    }
}
