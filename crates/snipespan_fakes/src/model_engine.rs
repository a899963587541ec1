//! A fake model engine: continuous batching with a token budget per step, chunked prefill, limited
//! memory, a prefix cache, priorities, cancellation and resumption.

mod batch;
mod cache_events;
mod http;
mod orders;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use eyre::Result;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::model_engine::batch::Batch;
use crate::model_engine::orders::OrderState;
use crate::server::Server;
use crate::sync::lock;

/// Size, speed and behaviour of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Capacity of the KV cache memory, in tokens.
    pub memory_tokens: u64,
    /// Token budget of a step: maximum number of tokens that it generates and prefills.
    pub step_tokens: u64,
    /// Duration of a step.
    pub step_time: Duration,
    /// Age of the state that it reports, and of the cache events that it publishes.
    pub report_lag: Duration,
    /// Whether it removes a stream when the connection of its request is closed.
    pub frees_on_disconnect: bool,
    /// Whether it refuses orders with a smaller fencing number than the highest that it has
    /// accepted.
    pub checks_fencing: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            memory_tokens: 1_500_000,
            step_tokens: 8_192,
            step_time: Duration::from_millis(2),
            report_lag: Duration::from_millis(50),
            frees_on_disconnect: false,
            checks_fencing: true,
        }
    }
}

/// Faults of an engine, which tests may change while it runs.
///
/// Positions of tokens start at 0. Positions and numbers of tokens count from the start of the
/// answer, also if the request resumes it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineFaults {
    /// Whether it stops stepping and answering until this is unset.
    pub is_frozen: bool,
    /// Number of tokens of an answer after which it breaks the connection.
    pub disconnect_after: Option<u64>,
    /// Position of a token that it sends twice in each answer.
    pub repeat_token: Option<u64>,
    /// Position of a token that it skips in each answer.
    pub skip_token: Option<u64>,
    /// Position of a token that it swaps with the next one in each answer.
    pub swap_token: Option<u64>,
    /// Position of a token that it sends under the identity of another request in each answer.
    pub mislabel_token: Option<u64>,
    /// Number of tokens of an answer after which it sends `[DONE]` as if the answer were complete,
    /// without a finish reason.
    pub truncate_after: Option<u64>,
    /// Number of next cancel requests that it acknowledges but does not execute.
    pub lose_cancels: u32,
    /// Whether it refuses completion requests with status 503 and the header `x-not-run`.
    pub refuses: bool,
    /// If set, it does not publish cache events whose number is a multiple of this; at least 1.
    pub cache_event_drop_divisor: Option<u64>,
}

/// Requests and tokens that an engine has processed since it started.
#[derive(Clone, Debug, Default)]
pub struct EngineLog {
    /// Number of accepted completion requests by the identity in their header `x-request-id`, or
    /// `unnamed` without the header.
    pub started: BTreeMap<String, u32>,
    /// Prefilled tokens, without those that were in the prefix cache.
    pub prefilled_tokens: u64,
    /// Generated tokens.
    pub generated_tokens: u64,
    /// Priorities of the accepted completion requests, in the order of arrival. Smaller numbers
    /// come first in the batch.
    pub priorities: Vec<u16>,
}

/// State that the HTTP handlers and the step task of an engine share.
#[derive(Debug)]
struct Shared {
    config: EngineConfig,
    faults: Mutex<EngineFaults>,
    log: Mutex<EngineLog>,
    batch: Mutex<Batch>,
    orders: Mutex<OrderState>,
    work_added: Notify,
}

/// A running engine, which stops when it is dropped.
#[derive(Debug)]
pub struct FakeEngine {
    shared: Arc<Shared>,
    server: Server,
    step_task: JoinHandle<()>,
}

impl FakeEngine {
    /// Starts an engine on `address`, for example that of an engine that was stopped, or on a free
    /// port of 127.0.0.1 if it is `None`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(config: EngineConfig, address: Option<SocketAddr>) -> Result<Self> {
        let shared = Arc::new(Shared {
            config,
            faults: Mutex::default(),
            log: Mutex::default(),
            batch: Mutex::default(),
            orders: Mutex::default(),
            work_added: Notify::new(),
        });
        let server = Server::start(http::router(Arc::clone(&shared)), address).await?;
        let step_task = tokio::spawn(batch::run_steps(Arc::clone(&shared)));
        Ok(Self { shared, server, step_task })
    }

    /// Returns its URL, without a trailing slash.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the address on which it listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *lock(&self.shared.faults) = faults;
        self.shared.work_added.notify_one();
    }

    /// Returns what it has processed so far.
    pub fn log(&self) -> EngineLog {
        lock(&self.shared.log).clone()
    }

    /// Returns the identities of all streams that hold or wait for memory, by priority.
    pub fn held_streams(&self) -> Vec<String> {
        lock(&self.shared.batch).held_streams()
    }

    /// Returns the models named by the last order that it accepted.
    pub fn ordered_models(&self) -> Vec<String> {
        lock(&self.shared.orders).models()
    }

    /// Adds an orphan: a stream that occupies `tokens` of memory although no entry requested it. It
    /// never generates a token.
    pub fn add_orphan(&self, identity: &str, tokens: u64) {
        lock(&self.shared.batch).add_idle_stream(identity, tokens);
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.step_task.abort();
    }
}

/// Returns the text of the token at `position`. It depends only on the prompt and the position, as
/// with a model that samples deterministically.
pub fn token_text(prompt_digest: u64, position: u64) -> String {
    let mut seed = [0; 16];
    seed[..8].copy_from_slice(&prompt_digest.to_le_bytes());
    seed[8..].copy_from_slice(&position.to_le_bytes());
    format!(" {:05x}", xxhash_rust::xxh3::xxh3_64(&seed) & 0xf_ffff)
}

/// Returns the complete answer of `tokens` tokens to a prompt.
pub fn expected_answer(prompt: &str, tokens: u64) -> String {
    let digest = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes());
    (0..tokens).map(|position| token_text(digest, position)).collect()
}
