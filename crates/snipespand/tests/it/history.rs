//! A randomised test that checks the histories of a run: callers send requests while faults are
//! injected and operators change the configuration; afterwards the observations of callers, backend
//! servers and operators must be consistent. It guards against late or mixed-up answers, wrong
//! result codes, repeated executions, leaked engine memory and reverted configurations.
//!
//! `SNIPESPAN_SEEDS` sets the seeds as a range without its end (`1..21` are 1 to 20), and
//! `SNIPESPAN_REQUESTS` the number of requests per seed.

mod checks;
mod faults;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snipespan_caller::caller::Caller;
use snipespan_caller::caller::ChatCall;
use snipespan_caller::caller::ServiceCall;
use snipespan_caller::outcome::CallOutcome;
use snipespan_caller::outcome::ChatOutcome;
use snipespan_core::result_code::ResultCode;
use tokio::sync::Mutex;
use tokio::sync::watch;

use crate::harness::API_KEY;
use crate::harness::Fleet;
use crate::harness::MODEL;
use crate::harness::caller;
use crate::harness::charge;
use crate::harness::generate_prompt;
use crate::history::checks::find_violations;
use crate::history::faults::FaultInjector;

/// Time limit of each request.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Number of tokens of each answer.
const OUTPUT_TOKENS: u64 = 60;

/// Number of concurrent callers.
const CALLER_COUNT: u64 = 16;

/// A request and its outcome as its caller observed it.
#[derive(Debug)]
enum Observation {
    Chat { prompt: String, outcome: ChatOutcome },
    Charge { key: String, outcome: CallOutcome },
}

/// Observations of all callers, in the order in which the requests ended.
type History = Arc<Mutex<Vec<Observation>>>;

/// URLs of the callers' ports of the entries, which change when an entry is replaced.
type EntryUrls = watch::Receiver<Vec<String>>;

/// Returns the seeds in `SNIPESPAN_SEEDS`, `1..4` (1 to 3) by default.
fn seeds_from_env() -> Vec<u64> {
    let text = std::env::var("SNIPESPAN_SEEDS").unwrap_or_else(|_| "1..4".to_owned());
    let (first, end) =
        text.split_once("..").expect("SNIPESPAN_SEEDS must be a range FIRST..END, such as 1..21");
    (first.parse().expect("FIRST in SNIPESPAN_SEEDS must be a whole number of 0 or more")
        ..end.parse().expect("END in SNIPESPAN_SEEDS must be a whole number of 0 or more"))
        .collect()
}

/// Returns the number in `SNIPESPAN_REQUESTS`, 240 by default.
fn request_count_from_env() -> u64 {
    let text = std::env::var("SNIPESPAN_REQUESTS").unwrap_or_else(|_| "240".to_owned());
    text.parse().expect("SNIPESPAN_REQUESTS must be a whole number of 0 or more")
}

/// Guards against faults that break a promise only in combination or in a certain order: runs all
/// kinds of faults and changes in a random order for each seed.
#[tokio::test(flavor = "multi_thread")]
async fn run_all_faults_mixed() {
    let request_count = request_count_from_env();
    for seed in seeds_from_env() {
        let violations = run_seed(seed, request_count).await;
        assert!(violations.is_empty(), "seed {seed}:\n{}", violations.join("\n"));
        println!("seed {seed}: {request_count} requests, no violation");
    }
}

/// Runs one seed against a new fleet, and returns the violations found.
async fn run_seed(seed: u64, request_count: u64) -> Vec<String> {
    let fleet = Fleet::start(2, 2).await;
    let (entry_urls_tx, entry_urls) = watch::channel(caller_urls(&fleet));
    let history = History::default();
    let callers = (0..CALLER_COUNT).map(|index| {
        let rng = SmallRng::seed_from_u64(seed * 1_000 + index);
        let task = send_requests(
            rng,
            request_count / CALLER_COUNT,
            entry_urls.clone(),
            Arc::clone(&history),
        );
        tokio::spawn(task)
    });
    let callers: Vec<_> = callers.collect();
    let mut faults = FaultInjector::new(seed, fleet, entry_urls_tx);
    while !callers.iter().all(tokio::task::JoinHandle::is_finished) {
        faults.inject_fault().await;
    }
    let (fleet, revisions) = faults.clear_faults().await;
    for caller in callers {
        caller.await.expect("the caller task does not panic");
    }
    let history = history.lock().await;
    println!("seed {seed}: {}", count_outcomes(&history));
    find_violations(&fleet, &history, &revisions).await
}

/// Returns the numbers of requests by kind and result code as text. `broken` stands for requests
/// without a code, and for chats with the code `ok` whose answer is not complete.
fn count_outcomes(history: &[Observation]) -> String {
    let mut counts = BTreeMap::<String, u32>::new();
    for observation in history {
        let (kind, code) = match observation {
            Observation::Chat { outcome, .. } if outcome.is_complete => {
                ("chat", Some(ResultCode::Ok))
            }
            Observation::Chat { outcome, .. } => {
                ("chat", outcome.code.filter(|c| *c != ResultCode::Ok))
            }
            Observation::Charge { outcome, .. } => ("charge", outcome.code),
        };
        let code = code.map_or_else(|| "broken".to_owned(), |code| code.to_string());
        *counts.entry(format!("{kind} {code}")).or_default() += 1;
    }
    format!("{counts:?}")
}

/// Returns the URLs of the callers' ports of the entries.
fn caller_urls(fleet: &Fleet) -> Vec<String> {
    let url =
        |entry| format!("http://{}", crate::harness::Process::address(entry, "entry", "callers"));
    fleet.entries.iter().map(url).collect()
}

/// Sends the requests of one caller one after another, each through a random entry.
async fn send_requests(mut rng: SmallRng, count: u64, entry_urls: EntryUrls, history: History) {
    for _ in 0..count {
        let url = {
            let urls = entry_urls.borrow();
            urls[rng.random_range(0..urls.len())].clone()
        };
        let caller = Caller::new(&url, API_KEY);
        let observation = match rng.random_bool(0.6) {
            true => send_chat(&caller, &mut rng).await,
            false => send_charge(&caller, &mut rng).await,
        };
        history.lock().await.push(observation);
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..100))).await;
    }
}

/// Sends a chat call with a random prompt.
async fn send_chat(caller: &Caller, rng: &mut SmallRng) -> Observation {
    let prompt = generate_prompt(rng.random_range(50..2_000), rng.random());
    let call = ChatCall {
        model: MODEL,
        prompt: &prompt,
        max_tokens: OUTPUT_TOKENS,
        is_stream: rng.random_bool(0.8),
        time_limit: Some(TIME_LIMIT),
    };
    let outcome = caller.chat(&call).await;
    Observation::Chat { prompt, outcome }
}

/// Sends a charge with one of 60 keys, so that keys are reused as by callers that retry through
/// another entry.
async fn send_charge(caller: &Caller, rng: &mut SmallRng) -> Observation {
    let key = format!("order-{}", rng.random_range(0..60));
    let call = ServiceCall { time_limit: Some(TIME_LIMIT), ..charge(&key) };
    let outcome = caller.call(&call).await;
    Observation::Charge { key, outcome }
}

/// Returns a caller of the first entry.
fn first_caller(fleet: &Fleet) -> Caller {
    caller(&fleet.entries[0])
}
