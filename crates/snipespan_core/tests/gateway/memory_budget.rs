//! Tests of the memory of bodies and answers: who waits, who is refused, and in which order.

use rstest::rstest;
use snipespan_core::gateway::tables::memory_budget::Admission;
use snipespan_core::gateway::tables::memory_budget::BodyRefusal;
use snipespan_core::gateway::tables::memory_budget::MemoryBudget;
use snipespan_core::gateway::tables::memory_budget::MemoryLimits;
use snipespan_core::gateway::tables::memory_budget::MemoryUse;
use snipespan_core::keys::BodyKey;
use snipespan_core::time::Timestamp;

const NOW: Timestamp = Timestamp::ZERO;
const LIMITS: MemoryLimits = MemoryLimits { total: 100, long_bodies: 50, answers: 30, waiting: 3 };

fn wait(budget: &mut MemoryBudget, memory_use: MemoryUse, bytes: u64) -> BodyKey {
    match budget.admit_body(NOW, memory_use, bytes) {
        Admission::Waiting(key) => key,
        other => panic!("does not wait: {other:?}"),
    }
}

/// Guards against a gateway whose bodies and answers take more than its memory, and against long
/// bodies or answers that leave none for short requests.
#[rstest]
#[case::smallest(160_000_000)]
#[case::usual(260_000_000)]
#[case::tiny(1_000_000)]
fn limits_leave_memory_for_short_bodies(#[case] limit: u64) {
    let limits = MemoryLimits::new(Some(limit));
    assert!(limits.total < limit * 2 / 3);
    assert!(limits.long_bodies + limits.answers < limits.total * 9 / 10);
    let mut budget = MemoryBudget::new(limits);
    while budget.try_take(MemoryUse::LongBody, 1 << 16) {}
    while budget.try_take(MemoryUse::Answer, 1 << 16) {}
    assert_eq!(budget.admit_body(NOW, MemoryUse::ShortBody, 1 << 16), Admission::Granted);
    while budget.try_take(MemoryUse::ShortBody, 1 << 16) {}
    assert!(budget.used() <= limits.total);
}

/// Guards against a gateway without a limit that refuses bodies which it took before.
#[test]
fn limits_absent_bound_answers_only() {
    let mut budget = MemoryBudget::new(MemoryLimits::new(None));
    assert!(budget.try_take(MemoryUse::LongBody, 1 << 50));
    assert!(budget.try_take(MemoryUse::Answer, 32 << 20));
    assert!(!budget.try_take(MemoryUse::Answer, 1));
}

/// Guards against long bodies that are served before short ones, and against one that is passed over
/// by later ones of its class because they are smaller.
#[test]
fn waiting_bodies_short_first_then_in_order() {
    let mut budget = MemoryBudget::new(LIMITS);
    assert!(budget.try_take(MemoryUse::ShortBody, 60));
    assert!(budget.try_take(MemoryUse::LongBody, 40));
    let first = wait(&mut budget, MemoryUse::LongBody, 45);
    let second = wait(&mut budget, MemoryUse::LongBody, 10);
    let short = wait(&mut budget, MemoryUse::ShortBody, 20);
    budget.release(MemoryUse::ShortBody, 60);
    assert_eq!(budget.take_granted().map(|(key, _)| key), Some(short));
    // The second one would fit, and the first one waits for the long body that has its memory.
    assert!(budget.take_granted().is_none());
    budget.release(MemoryUse::LongBody, 40);
    assert_eq!(budget.take_granted().map(|(key, _)| key), Some(first));
    assert!(budget.take_granted().is_none());
    budget.release(MemoryUse::LongBody, 45);
    assert_eq!(budget.take_granted().map(|(key, _)| key), Some(second));
    assert_eq!(budget.waiting(), 0);
}

/// Guards against a new body that takes the memory for which an earlier one waits, and against a
/// short one that waits behind long ones.
#[test]
fn new_body_goes_before_lower_classes_only() {
    let mut budget = MemoryBudget::new(LIMITS);
    assert!(budget.try_take(MemoryUse::LongBody, 20));
    wait(&mut budget, MemoryUse::LongBody, 40);
    wait(&mut budget, MemoryUse::LongBody, 10);
    assert_eq!(budget.admit_body(NOW, MemoryUse::ShortBody, 10), Admission::Granted);
}

/// Guards against bodies that wait though they can never be read, and against a queue without end.
#[test]
fn admission_refuses_at_once() {
    let mut budget = MemoryBudget::new(LIMITS);
    let never = Admission::Refused(BodyRefusal::NeverFits);
    assert_eq!(budget.admit_body(NOW, MemoryUse::LongBody, 51), never);
    assert!(budget.try_take(MemoryUse::LongBody, 50));
    for _ in 0..3 {
        wait(&mut budget, MemoryUse::LongBody, 1);
    }
    let full = Admission::Refused(BodyRefusal::TooManyWaiting);
    assert_eq!(budget.admit_body(NOW, MemoryUse::LongBody, 1), full);
}

/// Guards against memory that stays taken after bodies left the queue or ended: any order of
/// arrivals, departures and ends gives all of it back.
#[test]
fn budget_returns_to_zero_after_any_order() {
    let limits = MemoryLimits { waiting: 40, ..LIMITS };
    let mut budget = MemoryBudget::new(limits);
    let (mut held, mut waiting, mut seed) = (Vec::new(), Vec::new(), 7_u64);
    for step in 0..20_000 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let bytes = 1 + (seed >> 33) % 40;
        let memory_use = if seed >> 63 == 0 { MemoryUse::ShortBody } else { MemoryUse::LongBody };
        match step % 3 {
            0 => match budget.admit_body(NOW, memory_use, bytes) {
                Admission::Granted => held.push((memory_use, bytes)),
                Admission::Waiting(key) => waiting.push(key),
                Admission::Refused(_) => {}
            },
            1 if !held.is_empty() => {
                let (memory_use, bytes) = held.swap_remove(bytes as usize % held.len());
                budget.release(memory_use, bytes);
            }
            _ if !waiting.is_empty() && bytes < 4 => {
                let key = waiting.swap_remove(0);
                budget.withdraw(key);
            }
            _ => {}
        }
        while let Some((key, row)) = budget.take_granted() {
            waiting.retain(|known| *known != key);
            held.push((row.memory_use, row.bytes));
        }
        assert!(budget.used() <= LIMITS.total);
        assert_eq!(budget.used(), held.iter().map(|(_, bytes)| bytes).sum::<u64>());
        assert_eq!(budget.waiting(), waiting.len());
    }
}
