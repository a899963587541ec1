use std::time::Duration;

use snipespan_core::gateway::tables::retry_budgets::RetryAllowance;
use snipespan_core::gateway::tables::retry_budgets::RetryBudgets;
use snipespan_core::gateway::tables::retry_budgets::RetryUse;
use snipespan_core::time::Timestamp;

const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10), gateways: 4 };

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

/// Guards against each gateway spending the slack of all four. The upper bound is 0.2 x 100
/// requests and a quarter of the slack of 100.
#[test]
fn try_consume_retry_within_the_share_of_this_gateway() {
    let mut budgets = RetryBudgets::default();
    (0..100).for_each(|_| budgets.record_request("llm", at(1), ALLOWANCE.window));
    let allowed = (0..1000)
        .filter(|_| budgets.try_consume_retry("llm", at(2), ALLOWANCE, RetryUse::Fresh))
        .count();
    assert!((20..=45).contains(&allowed), "{allowed}");
}

#[test]
fn try_consume_retry_again_after_the_window() {
    let mut budgets = RetryBudgets::default();
    while budgets.try_consume_retry("llm", at(1), ALLOWANCE, RetryUse::Fresh) {}
    assert!(!budgets.try_consume_retry("llm", at(9_000), ALLOWANCE, RetryUse::Fresh));
    assert!(budgets.try_consume_retry("llm", at(10_100), ALLOWANCE, RetryUse::Fresh));
}

#[test]
fn try_consume_retry_counts_services_separately() {
    let mut budgets = RetryBudgets::default();
    while budgets.try_consume_retry("llm", at(1), ALLOWANCE, RetryUse::Fresh) {}
    assert!(budgets.try_consume_retry("orders", at(1), ALLOWANCE, RetryUse::Fresh));
}

/// Guards against streams that are cut because other requests have used the whole budget, and
/// against a reserve beyond the budget: 0.7 of the slack of 100, a quarter of it here.
#[test]
fn try_consume_retry_keeps_a_reserve_for_continuations() {
    let mut budgets = RetryBudgets::default();
    let mut count = |retry_use| {
        (0..100).filter(|_| budgets.try_consume_retry("llm", at(1), ALLOWANCE, retry_use)).count()
    };
    assert_eq!(count(RetryUse::Fresh), 13);
    assert_eq!(count(RetryUse::Continuation), 4);
    assert_eq!(count(RetryUse::Fresh), 0);
}
