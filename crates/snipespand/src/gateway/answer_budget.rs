//! Limit on the memory that incomplete answers of backend servers take together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Maximum number of bytes of all answers and events that are incomplete: a fifth of the memory of
/// the smallest gateways, which have 160 MB.
const MAX_INCOMPLETE_BYTES: usize = 32 << 20;

/// Memory that the incomplete answers of all requests may still take.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerBudget {
    used: Arc<AtomicUsize>,
}

/// The part of an [`AnswerBudget`] that one request uses, until this is dropped.
#[derive(Debug)]
pub(super) struct BudgetShare {
    budget: AnswerBudget,
    bytes: usize,
}

/// Error that the incomplete answers take as much memory as they may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BudgetExhausted;

impl AnswerBudget {
    /// Returns the share of a request that uses no memory yet.
    pub(super) fn share(&self) -> BudgetShare {
        BudgetShare { budget: self.clone(), bytes: 0 }
    }
}

impl BudgetShare {
    /// Changes the memory that the request uses to `bytes`.
    ///
    /// # Errors
    /// [`BudgetExhausted`] if it would grow and all answers together would exceed the budget; it
    /// stays as it was then.
    pub(super) fn resize(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let used = &self.budget.used;
        if bytes <= self.bytes {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return Ok(());
        }
        let added = bytes - self.bytes;
        let before = used.fetch_add(added, Ordering::Relaxed);
        if before + added > MAX_INCOMPLETE_BYTES {
            used.fetch_sub(added, Ordering::Relaxed);
            return Err(BudgetExhausted);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
