//! Measures the time that the system adds to a request over a direct call, and its throughput.

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
use crate::fleet::FleetConfig;
use crate::fleet::MODELS;
use crate::fleet::SERVICE;
use crate::prompts::generate_prompt;
use crate::statistics::DurationHistogram;
use crate::statistics::format_millis;

/// Length of each prompt in tokens.
const PROMPT_TOKENS: usize = 1_000;

/// Length of each answer in tokens in the comparison with direct calls.
const ANSWER_TOKENS: u64 = 50;

/// Length of each answer in tokens when throughput is measured.
const THROUGHPUT_ANSWER_TOKENS: u64 = 220;

/// Number of concurrent requests when throughput is measured.
const CONCURRENT_STREAMS: usize = 256;

/// Compares requests through the system with direct calls to the engine and the plain service, then
/// measures how many tokens per second the system relays.
///
/// The comparison sends `requests` requests each way, alternately and one at a time.
///
/// # Errors
/// When the system does not start or a request does not get a complete answer.
pub async fn run(requests: u64) -> Result<()> {
    let fast_engine = EngineConfig {
        step_time: Duration::from_millis(1),
        step_tokens: 100_000,
        ..EngineConfig::default()
    };
    let fleet =
        Fleet::start(FleetConfig { engine: fast_engine, ..FleetConfig::with_engines(2) }).await?;
    let direct = Caller::new(&fleet.engines[0].url(), "");
    compare_chats(requests, &direct, &fleet.caller()).await?;
    let service = Caller::new(&fleet.service.url(), "");
    compare_service_calls(requests, &service, &fleet.caller()).await?;
    measure_throughput(&fleet.caller()).await
}

/// Prints the times of chat requests sent directly to the engine and, in the column `path`, through
/// the system.
async fn compare_chats(requests: u64, direct: &Caller, proxied: &Caller) -> Result<()> {
    let mut first_token_times = [DurationHistogram::new()?, DurationHistogram::new()?];
    let mut token_times = [DurationHistogram::new()?, DurationHistogram::new()?];
    for seed in 0..requests {
        for (index, caller) in [direct, proxied].into_iter().enumerate() {
            let outcome = send_chat(caller, ANSWER_TOKENS, seed * 2 + index as u64).await?;
            let first_token = outcome.first_token.unwrap_or_default();
            first_token_times[index].record(first_token);
            token_times[index].record((outcome.total - first_token) / ANSWER_TOKENS as u32);
        }
    }
    println!("{requests} requests of {PROMPT_TOKENS} tokens each way, alternately (ms)");
    println!("{:>22} {:>10} {:>10} {:>10}", "", "direct", "path", "added");
    for (name, quantile) in [("first token p50", 0.5), ("first token p99", 0.99)] {
        print_row(name, &first_token_times, quantile);
    }
    for (name, quantile) in [("per token p50", 0.5), ("per token p99", 0.99)] {
        print_row(name, &token_times, quantile);
    }
    Ok(())
}

/// Prints the times of calls sent directly to the plain service and, in the column `path`, through
/// the system. The fake service answers without delay.
async fn compare_service_calls(requests: u64, direct: &Caller, proxied: &Caller) -> Result<()> {
    let mut total_times = [DurationHistogram::new()?, DurationHistogram::new()?];
    for _ in 0..requests {
        for (index, caller) in [direct, proxied].into_iter().enumerate() {
            let call = ServiceCall {
                method: Method::GET,
                service: SERVICE,
                path: "/stock",
                idempotency_key: None,
                body: "",
                time_limit: None,
            };
            let outcome = caller.call(&call).await;
            ensure!(outcome.status == 200, "expected status 200 from {SERVICE}, got {outcome:?}");
            total_times[index].record(outcome.total);
        }
    }
    for (name, quantile) in [("service call p50", 0.5), ("service call p99", 0.99)] {
        print_row(name, &total_times, quantile);
    }
    Ok(())
}

fn print_row(name: &str, times: &[DurationHistogram; 2], quantile: f64) {
    let direct = times[0].quantile(quantile);
    let proxied = times[1].quantile(quantile);
    let added = proxied.as_secs_f64() * 1000.0 - direct.as_secs_f64() * 1000.0;
    println!(
        "{name:>22} {:>10} {:>10} {added:>10.3}",
        format_millis(direct),
        format_millis(proxied)
    );
}

/// Prints the tokens per second of [`CONCURRENT_STREAMS`] streams, and the CPU time per token by
/// thread name, without names of less than 0.1 us per token.
async fn measure_throughput(proxied: &Caller) -> Result<()> {
    let cpu_before = thread_cpu_times()?;
    let started = Instant::now();
    let requests = (0..CONCURRENT_STREAMS as u64)
        .map(|seed| send_chat(proxied, THROUGHPUT_ANSWER_TOKENS, 1_000_000 + seed));
    let mut tokens = 0;
    for outcome in join_all(requests).await {
        tokens += outcome?.text_chunks;
    }
    let elapsed = started.elapsed();
    let rate = tokens as f64 / elapsed.as_secs_f64();
    println!(
        "{CONCURRENT_STREAMS} concurrent streams: {tokens} tokens in {} ms, {rate:.0}/s",
        format_millis(elapsed)
    );
    println!("CPU time by thread name, us per token:");
    for (name, after) in thread_cpu_times()? {
        let spent = after - cpu_before.get(&name).copied().unwrap_or_default();
        let us_per_token = spent.as_secs_f64() * 1_000_000.0 / tokens as f64;
        if us_per_token >= 0.1 {
            println!("{name:>22} {us_per_token:>10.1}");
        }
    }
    Ok(())
}

async fn send_chat(caller: &Caller, max_tokens: u64, seed: u64) -> Result<ChatOutcome> {
    let prompt = generate_prompt(PROMPT_TOKENS, seed);
    let call = ChatCall {
        model: MODELS[0],
        prompt: &prompt,
        max_tokens,
        is_stream: true,
        time_limit: None,
    };
    let outcome = caller.chat(&call).await;
    ensure!(
        outcome.is_complete && outcome.text_chunks == max_tokens,
        "expected a complete answer of {max_tokens} tokens, got {outcome:?}"
    );
    Ok(outcome)
}

/// Returns the CPU time that the threads of this process have used so far, by thread name.
fn thread_cpu_times() -> Result<BTreeMap<String, Duration>> {
    let mut times = BTreeMap::<String, Duration>::new();
    for task in std::fs::read_dir("/proc/self/task")? {
        let folder = task?.path();
        let name = std::fs::read_to_string(folder.join("comm"))?.trim().to_owned();
        let stat = std::fs::read_to_string(folder.join("stat"))?;
        *times.entry(name).or_default() += parse_cpu_time(&stat)?;
    }
    Ok(times)
}

/// Returns the sum of user and system time, which are the fields 14 and 15 in the text of a
/// `/proc/self/task/TID/stat` file. Field 3 is the first one after the name in parentheses.
fn parse_cpu_time(stat: &str) -> Result<Duration> {
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2).map(str::parse::<u64>);
    let ticks = ticks.sum::<Result<u64, _>>()?;
    Ok(Duration::from_millis(ticks * CLOCK_TICK_MS))
}

/// Unit of the CPU times in `/proc` on Linux, in milliseconds.
const CLOCK_TICK_MS: u64 = 10;
