//! Memory of request bodies and answers, shared by the traffic tasks; [`MemoryBudget`] decides who
//! gets some.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use slotmap::SecondaryMap;
use snipespan_core::gateway::tables::memory_budget::Admission;
use snipespan_core::gateway::tables::memory_budget::BodyRefusal;
use snipespan_core::gateway::tables::memory_budget::MemoryBudget;
use snipespan_core::gateway::tables::memory_budget::MemoryLimits;
use snipespan_core::gateway::tables::memory_budget::MemoryUse;
use snipespan_core::keys::BodyKey;
use snipespan_core::time::Timestamp;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// Maximum wait for memory, which bounds the time that is added to the clock.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The memory budget of the process.
#[derive(Clone, Debug)]
pub(super) struct Memory {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    is_limited: bool,
    state: Mutex<State>,
    /// Notified when memory is given back, for answers that wait.
    released: Notify,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    /// Where the memory of each waiting body goes.
    waiters: SecondaryMap<BodyKey, oneshot::Sender<Lease>>,
}

/// Memory that is in use until this is dropped.
#[derive(Debug)]
pub(super) struct Lease {
    memory: Memory,
    memory_use: MemoryUse,
    bytes: u64,
}

/// Error that there is no memory left for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MemoryExhausted;

/// Bytes whose memory is counted until the last reference to them is dropped.
struct LeasedBytes {
    bytes: Bytes,
    _lease: Lease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that waits for memory; it stops waiting when this is dropped.
struct Waiting<'a> {
    memory: &'a Memory,
    key: BodyKey,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.waiters.remove(self.key);
        state.budget.withdraw(self.key);
        drop(state);
        // Bodies behind one that was too long for the free memory may fit.
        self.memory.grant();
    }
}

impl Memory {
    /// Creates the budget of a process that may take `limit` bytes, if that has a limit.
    pub(super) fn new(limit: Option<u64>) -> Self {
        let budget = MemoryBudget::new(MemoryLimits::new(limit));
        let state = Mutex::new(State { budget, waiters: SecondaryMap::new() });
        let is_limited = limit.is_some();
        Self { shared: Arc::new(Shared { is_limited, state, released: Notify::new() }) }
    }

    /// Returns whether the memory of the process has a limit.
    pub(super) fn is_limited(&self) -> bool {
        self.shared.is_limited
    }

    /// Returns the bytes in use and the number of bodies that wait for memory.
    pub(super) fn levels(&self) -> (u64, usize) {
        let state = self.lock();
        (state.budget.used(), state.budget.waiting())
    }

    /// Returns a lease that takes no memory yet.
    pub(super) fn lease(&self, memory_use: MemoryUse) -> Lease {
        Lease { memory: self.clone(), memory_use, bytes: 0 }
    }

    /// Takes memory for a body, and waits for it for `wait` at most.
    ///
    /// # Errors
    /// [`BodyRefusal`] if the body does not get the memory.
    pub(super) async fn reserve_body(
        &self,
        now: Timestamp,
        memory_use: MemoryUse,
        bytes: u64,
        wait: Duration,
    ) -> Result<Lease, BodyRefusal> {
        let deadline = Instant::now() + wait;
        let (key, granted) = {
            let mut state = self.lock();
            match state.budget.admit_body(now, memory_use, bytes) {
                Admission::Granted => {
                    return Ok(Lease { memory: self.clone(), memory_use, bytes });
                }
                Admission::Refused(refusal) => return Err(refusal),
                Admission::Waiting(key) => {
                    let (tx, rx) = oneshot::channel();
                    state.waiters.insert(key, tx);
                    (key, rx)
                }
            }
        };
        let _waiting = Waiting { memory: self, key };
        match timeout_at(deadline, granted).await {
            Ok(Ok(lease)) => Ok(lease),
            _ => Err(BodyRefusal::NoMemoryInTime),
        }
    }

    /// Gives free memory to the bodies that wait.
    fn grant(&self) {
        // Leases that nobody receives are dropped here, after the lock was released; that grants
        // their memory to the next body.
        let mut unreceived = Vec::new();
        let mut state = self.lock();
        while let Some((key, row)) = state.budget.take_granted() {
            let (memory_use, bytes) = (row.memory_use, row.bytes);
            let lease = Lease { memory: self.clone(), memory_use, bytes };
            match state.waiters.remove(key) {
                Some(tx) => unreceived.extend(tx.send(lease).err()),
                None => unreceived.push(lease),
            }
        }
        drop(state);
    }

    fn release(&self, memory_use: MemoryUse, bytes: u64) {
        if bytes == 0 {
            return;
        }
        self.lock().budget.release(memory_use, bytes);
        self.grant();
        self.shared.released.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change of the state is complete before anything else runs.
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// Changes the memory that is used to `bytes`.
    ///
    /// # Errors
    /// [`MemoryExhausted`] if it would grow and there is not enough; it stays as it was then.
    pub(super) fn resize(&mut self, bytes: u64) -> Result<(), MemoryExhausted> {
        if bytes <= self.bytes {
            self.memory.release(self.memory_use, self.bytes - bytes);
        } else if !self.memory.lock().budget.try_take(self.memory_use, bytes - self.bytes) {
            return Err(MemoryExhausted);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Changes the memory that is used to `bytes`; waits for `wait` at most until there is enough,
    /// if the memory of the process has a limit.
    ///
    /// # Errors
    /// [`MemoryExhausted`] if there is not enough within the wait; it stays as it was then.
    pub(super) async fn resize_within(
        &mut self,
        bytes: u64,
        wait: Duration,
    ) -> Result<(), MemoryExhausted> {
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        let shared = Arc::clone(&self.memory.shared);
        loop {
            let released = shared.released.notified();
            match self.resize(bytes) {
                Err(e) if !shared.is_limited => return Err(e),
                Err(e) => timeout_at(deadline, released).await.map_err(|_| e)?,
                Ok(()) => return Ok(()),
            }
        }
    }

    /// Returns bytes of an answer or a body whose memory this lease has counted so far; it stays
    /// counted until they are dropped, if the memory of the process has a limit.
    pub(super) fn attach(&mut self, bytes: Bytes) -> Bytes {
        if !self.memory.is_limited() || bytes.is_empty() {
            return bytes;
        }
        let split = self.bytes.min(bytes.len() as u64);
        self.bytes -= split;
        let (memory, memory_use) = (self.memory.clone(), self.memory_use);
        let lease = Lease { memory, memory_use, bytes: split };
        Bytes::from_owner(LeasedBytes { bytes, _lease: lease })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.memory.release(self.memory_use, self.bytes);
    }
}
