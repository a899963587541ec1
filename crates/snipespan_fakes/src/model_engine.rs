//! A model engine: continuous batching with a token budget a step, chunked prefill, limited
//! memory, a prefix cache, priorities, cancel and resume.

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

/// What an engine is like.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Tokens of memory.
    pub memory_tokens: u64,
    /// Tokens that one step reads in or generates.
    pub step_tokens: u64,
    /// How long a step takes.
    pub step_time: Duration,
    /// How old the state is that it reports.
    pub report_lag: Duration,
    /// Whether it frees a stream when the connection of its request breaks.
    pub frees_on_disconnect: bool,
    /// Whether it refuses orders with an old fencing number.
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

/// Faults that an engine shows; tests set them while it runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineFaults {
    /// It does nothing and answers nothing.
    pub is_frozen: bool,
    /// It breaks connections after this many tokens of an answer.
    pub disconnect_after: Option<u64>,
    /// It sends this token of each answer twice.
    pub repeat_token: Option<u64>,
    /// It leaves this token of each answer out.
    pub skip_token: Option<u64>,
    /// It swaps this token of each answer with the one after.
    pub swap_token: Option<u64>,
    /// It marks this token of each answer as another request's.
    pub mislabel_token: Option<u64>,
    /// It closes answers after this many tokens as if they were whole, without a finish reason.
    pub truncate_after: Option<u64>,
    /// It loses this many cancels.
    pub lose_cancels: u32,
    /// It refuses requests as not run.
    pub refuses: bool,
    /// It publishes all cache events but each one whose number this divides.
    pub drops_cache_event: Option<u64>,
}

/// What an engine has seen.
#[derive(Clone, Debug, Default)]
pub struct EngineLog {
    /// Requests that began to run, by the identity they came with.
    pub started: BTreeMap<String, u32>,
    /// Tokens that were read in, cached ones not included.
    pub prefilled_tokens: u64,
    /// Tokens that were generated.
    pub generated_tokens: u64,
    /// Priorities of the requests, in the order of arrival.
    pub priorities: Vec<u16>,
}

/// All that the parts of one engine share.
#[derive(Debug)]
struct Shared {
    config: EngineConfig,
    faults: Mutex<EngineFaults>,
    log: Mutex<EngineLog>,
    batch: Mutex<Batch>,
    orders: Mutex<OrderState>,
    work_added: Notify,
}

/// A running engine; it stops when it is dropped.
#[derive(Debug)]
pub struct FakeEngine {
    shared: Arc<Shared>,
    server: Server,
    step_task: JoinHandle<()>,
}

impl FakeEngine {
    /// Starts an engine on a free port, or on `address` when one was there before.
    ///
    /// # Errors
    /// When no port can be bound.
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

    /// Its URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes its faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *lock(&self.shared.faults) = faults;
        self.shared.work_added.notify_one();
    }

    /// What it has seen so far.
    pub fn log(&self) -> EngineLog {
        lock(&self.shared.log).clone()
    }

    /// Identities of the streams that hold memory now.
    pub fn held_streams(&self) -> Vec<String> {
        lock(&self.shared.batch).held_streams()
    }

    /// The models that the last order it obeyed wanted.
    pub fn ordered_models(&self) -> Vec<String> {
        lock(&self.shared.orders).models()
    }

    /// Puts a stream into its memory that no entry asked for.
    pub fn add_orphan(&self, identity: &str, tokens: u64) {
        lock(&self.shared.batch).add_idle_stream(identity, tokens);
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.step_task.abort();
    }
}

/// The text of a token: a function of the prompt and the position alone, as with a model that
/// samples without randomness.
pub fn token_text(prompt_digest: u64, position: u64) -> String {
    let mut seed = [0; 16];
    seed[..8].copy_from_slice(&prompt_digest.to_le_bytes());
    seed[8..].copy_from_slice(&position.to_le_bytes());
    format!(" {:05x}", xxhash_rust::xxh3::xxh3_64(&seed) & 0xf_ffff)
}

/// The whole answer to a prompt.
pub fn expected_answer(prompt: &str, tokens: u64) -> String {
    let digest = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes());
    (0..tokens).map(|position| token_text(digest, position)).collect()
}
