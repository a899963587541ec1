//! The batch of an engine: its streams, its prefix cache, and the work of one step.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

use crate::model_engine::Shared;
use crate::model_engine::cache_events::CacheEventKind;
use crate::model_engine::cache_events::CacheEvents;
use crate::sync::lock;

/// Size of the part of a prompt that one block of the prefix cache covers, in bytes.
const BLOCK_BYTES: usize = 4096;

/// Size of a token of a prompt, in bytes.
const TOKEN_BYTES: usize = 4;

/// Maximum number of blocks in the prefix cache.
const MAX_CACHED_BLOCKS: usize = 16_384;

/// Maximum number of generated tokens of a stream that wait to be sent; a full queue pauses it.
pub(super) const MAX_UNSENT_TOKENS: usize = 4096;

/// The position of a generated token, or the end of an answer with its number of tokens.
#[derive(Clone, Copy, Debug)]
pub(super) enum Output {
    Token(u64),
    End(u64),
}

/// A request that holds or waits for memory.
///
/// Once admitted, it occupies the tokens of its prompt and of its longest possible answer. Its
/// prefill is complete when `remaining_prefill_tokens` is 0.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) identity: String,
    pub(super) priority: u16,
    pub(super) prompt_tokens: u64,
    pub(super) block_digests: Vec<u64>,
    /// Position of the next token in the answer, from 0; a resumed answer starts at a later one.
    pub(super) position: u64,
    /// Maximum number of tokens of the answer, with those before a resumption.
    pub(super) max_output: u64,
    pub(super) tx: mpsc::Sender<Output>,
    pub(super) remaining_prefill_tokens: u64,
    pub(super) is_admitted: bool,
}

/// State of the engine at a time, kept to be reported later.
#[derive(Debug)]
struct Snapshot {
    taken: Instant,
    used_tokens: u64,
    held_streams: Vec<String>,
}

/// The streams of an engine, sorted by priority with the smallest number first, and its prefix
/// cache.
#[derive(Debug, Default)]
pub(super) struct Batch {
    streams: Vec<Stream>,
    cached_blocks: BTreeSet<u64>,
    eviction_order: VecDeque<u64>,
    cache_events: CacheEvents,
    snapshots: VecDeque<Snapshot>,
}

impl Stream {
    /// Returns the memory that it occupies once it is admitted, in tokens.
    fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_output
    }
}

impl Batch {
    pub(super) fn add_stream(&mut self, stream: Stream) {
        self.streams.push(stream);
        self.streams.sort_by_key(|stream| stream.priority);
    }

    pub(super) fn remove_stream(&mut self, identity: &str) {
        self.streams.retain(|stream| stream.identity != identity);
    }

    /// Adds a stream that occupies `tokens` of memory and never generates a token.
    pub(super) fn add_idle_stream(&mut self, identity: &str, tokens: u64) {
        let (tx, _) = mpsc::channel(1);
        self.add_stream(Stream {
            identity: identity.into(),
            priority: 0,
            prompt_tokens: tokens,
            block_digests: Vec::new(),
            position: 0,
            max_output: 0,
            tx,
            remaining_prefill_tokens: 0,
            is_admitted: true,
        });
    }

    /// Returns the number of tokens of a stream's KV cache that can be exported, which is 0 until
    /// its prefill is complete, or `None` for an unknown stream.
    pub(super) fn exportable_tokens(&self, identity: &str) -> Option<u64> {
        let stream = self.streams.iter().find(|stream| stream.identity == identity)?;
        let is_prefilled = stream.is_admitted && stream.remaining_prefill_tokens == 0;
        Some(if is_prefilled { stream.prompt_tokens + stream.position } else { 0 })
    }

    pub(super) fn held_streams(&self) -> Vec<String> {
        self.streams.iter().map(|stream| stream.identity.clone()).collect()
    }

    fn used_tokens(&self) -> u64 {
        self.streams.iter().filter(|stream| stream.is_admitted).map(Stream::memory_tokens).sum()
    }

    /// Records the current state, and returns used tokens and streams of the newest recorded state
    /// that is at least `lag` old, or of the oldest one if none is.
    pub(super) fn delayed_state(&mut self, now: Instant, lag: Duration) -> (u64, Vec<String>) {
        let snapshot = Snapshot {
            taken: now,
            used_tokens: self.used_tokens(),
            held_streams: self.held_streams(),
        };
        self.snapshots.push_back(snapshot);
        let is_old = |snapshot: &Snapshot| now.duration_since(snapshot.taken) >= lag;
        while self.snapshots.get(1).is_some_and(is_old) {
            self.snapshots.pop_front();
        }
        match self.snapshots.front() {
            Some(oldest) => (oldest.used_tokens, oldest.held_streams.clone()),
            None => (0, Vec::new()),
        }
    }

    /// Returns the number of prompt tokens in the leading blocks that are cached.
    fn cached_tokens(&self, blocks: &[u64]) -> u64 {
        let hits = blocks.iter().take_while(|block| self.cached_blocks.contains(block)).count();
        (hits * BLOCK_BYTES / TOKEN_BYTES) as u64
    }

    pub(super) const fn cache_events(&self) -> &CacheEvents {
        &self.cache_events
    }

    /// Adds blocks to the prefix cache and evicts the oldest ones beyond its capacity.
    fn cache_blocks(&mut self, blocks: &[u64]) {
        let now = Instant::now();
        for block in blocks.iter().filter(|block| self.cached_blocks.insert(**block)) {
            self.eviction_order.push_back(*block);
            self.cache_events.record(CacheEventKind::Stored, *block, now);
        }
        while self.eviction_order.len() > MAX_CACHED_BLOCKS {
            if let Some(oldest) = self.eviction_order.pop_front() {
                self.cached_blocks.remove(&oldest);
                self.cache_events.record(CacheEventKind::Removed, oldest, now);
            }
        }
    }

    /// Runs one step: admits the streams that fit into memory, generates a token for each prefilled
    /// stream, and prefills prompts with the rest of the token budget. Returns the numbers of
    /// prefilled and generated tokens.
    fn step(&mut self, memory_tokens: u64, step_tokens: u64) -> (u64, u64) {
        self.admit_streams(memory_tokens);
        let generated = self.generate_tokens(step_tokens);
        let prefilled = self.prefill_prompts(step_tokens - generated);
        (prefilled, generated)
    }

    /// Admits waiting streams that fit into the free memory, by priority. At least one token of
    /// each prompt is prefilled, even if all are cached.
    fn admit_streams(&mut self, memory_tokens: u64) {
        let mut free = memory_tokens.saturating_sub(self.used_tokens());
        for index in 0..self.streams.len() {
            let stream = &self.streams[index];
            if stream.is_admitted || stream.memory_tokens() > free {
                continue;
            }
            free -= stream.memory_tokens();
            let cached = self.cached_tokens(&stream.block_digests);
            let stream = &mut self.streams[index];
            stream.is_admitted = true;
            stream.remaining_prefill_tokens = stream.prompt_tokens.saturating_sub(cached).max(1);
        }
    }

    /// Generates the next token of at most `budget` prefilled streams, or ends the stream if it has
    /// all tokens. A stream whose queue is full is counted but skipped. Returns the number of
    /// generated tokens.
    fn generate_tokens(&mut self, budget: u64) -> u64 {
        let mut generated = 0;
        let mut ended = Vec::new();
        let ready =
            self.streams.iter_mut().filter(|s| s.is_admitted && s.remaining_prefill_tokens == 0);
        for stream in ready.take(usize::try_from(budget).unwrap_or(usize::MAX)) {
            if stream.position < stream.max_output {
                if stream.tx.try_send(Output::Token(stream.position)).is_ok() {
                    stream.position += 1;
                    generated += 1;
                }
            } else if stream.tx.try_send(Output::End(stream.position)).is_ok() {
                ended.push(stream.identity.clone());
            }
        }
        for identity in ended {
            self.remove_stream(&identity);
        }
        generated
    }

    /// Prefills at most `budget` tokens, by priority, and caches the blocks of each prompt that is
    /// complete. Returns the number of prefilled tokens.
    fn prefill_prompts(&mut self, budget: u64) -> u64 {
        let mut remaining = budget;
        for index in 0..self.streams.len() {
            let stream = &mut self.streams[index];
            if !stream.is_admitted || stream.remaining_prefill_tokens == 0 {
                continue;
            }
            let taken = stream.remaining_prefill_tokens.min(remaining);
            stream.remaining_prefill_tokens -= taken;
            remaining -= taken;
            if stream.remaining_prefill_tokens == 0 {
                let blocks = std::mem::take(&mut stream.block_digests);
                self.cache_blocks(&blocks);
            }
        }
        budget - remaining
    }

    fn has_work(&self) -> bool {
        // The receivers of idle streams are closed: such streams hold memory but have no work.
        self.streams.iter().any(|stream| !stream.tx.is_closed())
    }

    /// Removes the streams whose connection is closed, and the idle ones, which have none.
    fn drop_disconnected(&mut self) {
        self.streams.retain(|stream| !stream.tx.is_closed());
    }
}

/// Returns the digests of the full blocks of a prompt. The digest of a block also depends on all
/// blocks before it.
pub(super) fn digest_blocks(prompt: &str) -> Vec<u64> {
    let mut digest = 0;
    let chunks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let chain = chunks.map(|chunk| {
        digest = xxhash_rust::xxh3::xxh3_64_with_seed(chunk, digest);
        digest
    });
    chain.collect()
}

/// Returns the number of tokens of a prompt.
pub(super) const fn count_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(TOKEN_BYTES) as u64
}

/// Runs steps while there is work and the engine is not frozen.
pub(super) async fn run_steps(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(shared.config.step_time);
    loop {
        let is_frozen = lock(&shared.faults).is_frozen;
        let has_work = lock(&shared.batch).has_work();
        if is_frozen || !has_work {
            let _ =
                tokio::time::timeout(Duration::from_millis(20), shared.work_added.notified()).await;
            interval.reset();
            continue;
        }
        interval.tick().await;
        let config = shared.config;
        let mut batch = lock(&shared.batch);
        if config.frees_on_disconnect {
            batch.drop_disconnected();
        }
        let (prefilled, generated) = batch.step(config.memory_tokens, config.step_tokens);
        drop(batch);
        let mut log = lock(&shared.log);
        log.prefilled_tokens += prefilled;
        log.generated_tokens += generated;
    }
}
