//! What the path adds to a request over calling the engine directly, and what it carries.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::ensure;
use futures_util::future::join_all;
use hyper::Method;
use snipespan_caller::caller::Caller;
use snipespan_caller::caller::ChatCall;
use snipespan_caller::caller::ServiceCall;
use snipespan_caller::outcome::ChatOutcome;
use snipespan_fakes::model_engine::EngineConfig;

use crate::fleet::Fleet;
use crate::fleet::FleetShape;
use crate::fleet::MODELS;
use crate::fleet::SERVICE;
use crate::prompts::prompt;
use crate::statistics::Times;
use crate::statistics::millis;

/// Tokens of each prompt.
const PROMPT_TOKENS: usize = 1_000;

/// Tokens of each answer in the comparison.
const ANSWER_TOKENS: u64 = 50;

/// Tokens of each answer when throughput is measured.
const RELAYED_TOKENS: u64 = 220;

/// Requests open at once when throughput is measured.
const STREAMS: usize = 256;

/// Compares the path with the engine itself, one request at a time and in turn, then measures how
/// many tokens the path relays.
///
/// # Errors
/// When an answer is not whole.
pub async fn run(requests: u64) -> Result<()> {
    let fast = EngineConfig {
        step_time: Duration::from_millis(1),
        step_tokens: 100_000,
        ..EngineConfig::default()
    };
    let fleet = Fleet::start(FleetShape { engine: fast, ..FleetShape::of_engines(2) }).await?;
    let direct = Caller::new(&fleet.engines[0].url(), "");
    compare(requests, &direct, &fleet.caller()).await?;
    let service = Caller::new(&fleet.service.url(), "");
    compare_calls(requests, &service, &fleet.caller()).await?;
    relay(&fleet.caller()).await
}

async fn compare(requests: u64, direct: &Caller, path: &Caller) -> Result<()> {
    let mut first_tokens = [Times::new()?, Times::new()?];
    let mut rests = [Times::new()?, Times::new()?];
    for seed in 0..requests {
        for (index, caller) in [direct, path].into_iter().enumerate() {
            let outcome = send(caller, ANSWER_TOKENS, seed * 2 + index as u64).await?;
            let first_token = outcome.first_token.unwrap_or_default();
            first_tokens[index].add(first_token);
            rests[index].add((outcome.total - first_token) / ANSWER_TOKENS as u32);
        }
    }
    println!("{requests} requests of {PROMPT_TOKENS} tokens each way, in turn (ms)");
    println!("{:>22} {:>10} {:>10} {:>10}", "", "direct", "path", "added");
    for (name, share) in [("first token p50", 0.5), ("first token p99", 0.99)] {
        print_row(name, &first_tokens, share);
    }
    for (name, share) in [("per token p50", 0.5), ("per token p99", 0.99)] {
        print_row(name, &rests, share);
    }
    Ok(())
}

/// Compares calls to the plain service, whose stand-in answers at once.
async fn compare_calls(requests: u64, direct: &Caller, path: &Caller) -> Result<()> {
    let mut totals = [Times::new()?, Times::new()?];
    for _ in 0..requests {
        for (index, caller) in [direct, path].into_iter().enumerate() {
            let call = ServiceCall {
                method: Method::GET,
                service: SERVICE,
                path: "/stock",
                idempotency_key: None,
                body: "",
                time_limit: None,
            };
            let outcome = caller.call(&call).await;
            ensure!(outcome.status == 200, "not answered: {outcome:?}");
            totals[index].add(outcome.total);
        }
    }
    for (name, share) in [("service call p50", 0.5), ("service call p99", 0.99)] {
        print_row(name, &totals, share);
    }
    Ok(())
}

fn print_row(name: &str, times: &[Times; 2], share: f64) {
    let direct = times[0].quantile(share);
    let path = times[1].quantile(share);
    let added = path.as_secs_f64() * 1000.0 - direct.as_secs_f64() * 1000.0;
    println!("{name:>22} {:>10} {:>10} {added:>10.3}", millis(direct), millis(path));
}

async fn relay(path: &Caller) -> Result<()> {
    let cpu_before = processor_times()?;
    let started = Instant::now();
    let requests = (0..STREAMS as u64).map(|seed| send(path, RELAYED_TOKENS, 1_000_000 + seed));
    let mut tokens = 0;
    for outcome in join_all(requests).await {
        tokens += outcome?.text_chunks;
    }
    let elapsed = started.elapsed();
    let rate = tokens as f64 / elapsed.as_secs_f64();
    println!("{STREAMS} streams at once: {tokens} tokens in {} ms, {rate:.0}/s", millis(elapsed));
    println!("processor time by threads, us a token:");
    for (name, after) in processor_times()? {
        let spent = after - cpu_before.get(&name).copied().unwrap_or_default();
        let a_token = spent.as_secs_f64() * 1_000_000.0 / tokens as f64;
        if a_token >= 0.1 {
            println!("{name:>22} {a_token:>10.1}");
        }
    }
    Ok(())
}

async fn send(caller: &Caller, max_tokens: u64, seed: u64) -> Result<ChatOutcome> {
    let prompt = prompt(PROMPT_TOKENS, seed);
    let call = ChatCall {
        model: MODELS[0],
        prompt: &prompt,
        max_tokens,
        is_stream: true,
        time_limit: None,
    };
    let outcome = caller.chat(&call).await;
    ensure!(outcome.is_complete && outcome.text_chunks == max_tokens, "not whole: {outcome:?}");
    Ok(outcome)
}

/// Processor time of the threads of this process so far, by their names.
fn processor_times() -> Result<BTreeMap<String, Duration>> {
    let mut times = BTreeMap::<String, Duration>::new();
    for task in std::fs::read_dir("/proc/self/task")? {
        let folder = task?.path();
        let name = std::fs::read_to_string(folder.join("comm"))?.trim().to_owned();
        let stat = std::fs::read_to_string(folder.join("stat"))?;
        *times.entry(name).or_default() += processor_time(&stat)?;
    }
    Ok(times)
}

/// User and system time in a line of the kernel's accounting.
fn processor_time(stat: &str) -> Result<Duration> {
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2).map(str::parse::<u64>);
    let ticks = ticks.sum::<Result<u64, _>>()?;
    Ok(Duration::from_millis(ticks * MILLIS_A_TICK))
}

/// Length of a tick of the kernel's accounting on Linux, in milliseconds.
const MILLIS_A_TICK: u64 = 10;
