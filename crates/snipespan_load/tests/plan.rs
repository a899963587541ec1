//! Tests of load plans, their arrivals and prompts.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use std::fs;
use std::time::Duration;

use rstest::rstest;
use snipespan_load::arrivals::generate_arrivals;
use snipespan_load::plan;
use snipespan_load::plan::LoadPlan;
use snipespan_load::prompts::generate_prompt;
use snipespan_settings::error::SettingsErrors;

const PLAN: &str = "[load]
entries = http://127.0.0.1:1
models = drafts, digests
rate_per_s = 100
duration = 60s
seed = 7
[prompts]
long_share = 0.02
[crest]
factor = 4
at = 20s
length = 10s
[accounts]
key-a = 3
key-b = 1
";

fn load(text: &str) -> Result<LoadPlan, SettingsErrors> {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("load.ini");
    fs::write(&path, text).expect("the plan is written");
    plan::load(&path)
}

/// Guards against runs of one plan that differ, and against a seed that has no effect.
#[test]
fn arrivals_same_seed() {
    let plan = load(PLAN).expect("a valid plan");
    assert_eq!(generate_arrivals(&plan), generate_arrivals(&plan));
    let other = LoadPlan { seed: 8, ..plan.clone() };
    assert_ne!(generate_arrivals(&plan), generate_arrivals(&other));
}

/// Guards against arrivals that differ from the plan in rate, peak, share of long prompts or
/// weights of accounts.
#[test]
fn arrivals_follow_the_plan() {
    let plan = load(PLAN).expect("a valid plan");
    let planned = generate_arrivals(&plan);
    let second = Duration::from_secs(1);
    let between = |from: u32, until: u32| {
        let is_in = |at: Duration| at >= second * from && at < second * until;
        planned.iter().filter(|request| is_in(request.at)).count()
    };
    // 1,000 are expected at the normal rate and 4,000 during the peak, each within five standard
    // deviations.
    assert!((842..=1_158).contains(&between(0, 10)), "{}", between(0, 10));
    assert!((3_684..=4_316).contains(&between(20, 30)), "{}", between(20, 30));
    // The plan has a share of 0.02 long requests, and 3 of 4 parts of the weight are on account 0.
    let long = planned.iter().filter(|request| request.prompt_tokens > 100_000).count();
    let share = long as f64 / planned.len() as f64;
    assert!((0.01..0.03).contains(&share), "{share}");
    let first = planned.iter().filter(|request| request.account == 0).count();
    let share = first as f64 / planned.len() as f64;
    assert!((0.72..0.78).contains(&share), "{share}");
}

/// Guards against prompts of another length than planned, and against a shared prefix whose text
/// differs between prompts.
#[test]
fn prompt_lengths_and_shared_prefixes() {
    let plan = load(PLAN).expect("a valid plan");
    let planned = generate_arrivals(&plan);
    let short: Vec<_> = planned.iter().filter(|r| r.prompt_tokens < 10_000).collect();
    for request in short.iter().take(20) {
        assert_eq!(generate_prompt(request).len() as u64, request.prompt_tokens * 4);
    }
    // Two prompts that share a prefix, here that of seed 3, have the same text up to the end of
    // the shorter prefix. Below 10,000 tokens, the prefix is half of the prompt, with four bytes
    // per token.
    let sharing: Vec<_> =
        short.iter().filter(|r| r.shared_prefix_seed == Some(3)).take(2).collect();
    let length = sharing
        .iter()
        .map(|r| r.prompt_tokens as usize / 2 * 4)
        .min()
        .expect("two requests with a shared prefix");
    assert_eq!(generate_prompt(sharing[0])[..length], generate_prompt(sharing[1])[..length]);
}

/// Guards against a plan with an error that loads, and against an error message that does not name
/// the key or what is allowed.
#[rstest]
#[case::no_rate("rate_per_s = 100", "rate_per_s = 0", "rate_per_s")]
#[case::bad_range("long_share = 0.02", "short_tokens = 9-2", "short_tokens")]
#[case::bad_share("long_share = 0.02", "long_share = 2", "0 to 1")]
#[case::no_account("key-a = 3\nkey-b = 1", "", "at least one")]
#[case::unknown_key("seed = 7", "seeds = 7", "unknown key")]
fn load_invalid_plan(#[case] from: &str, #[case] to: &str, #[case] part: &str) {
    let errors = load(&PLAN.replacen(from, to, 1)).expect_err("an invalid plan");
    assert!(errors.to_string().contains(part), "{errors}");
}
