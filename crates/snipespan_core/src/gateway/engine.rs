//! What a model engine is expected to need for its work.
//!
//! An engine works in iterations. While it decodes, one iteration runs
//! [`EngineSpec::steps_per_iteration`] decode steps, and prompts are prefilled in chunks between
//! the steps. All prefill of an iteration therefore lengthens the pause before the next event of
//! every stream that the engine decodes.

/// Figures of a model engine, times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Token steps in a pass while it writes.
    pub steps_per_iteration: u32,
    /// Time of a token step.
    pub step_ms: f64,
    /// Further time of a step for each request that is being written.
    pub per_sequence_ms: f64,
    /// Further time of a step for each 1,000 tokens of context of the requests being written.
    pub context_ms_per_1k: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Further time of reading for each million pairs of a token and an earlier one.
    pub attention_ms_per_million_pairs: f64,
    /// Most prompt tokens read in one step.
    pub chunk_tokens: u32,
    /// Mean tokens of an answer.
    pub mean_output_tokens: u64,
}

impl EngineSpec {
    /// Time to read a prompt on an engine with nothing else to do.
    pub fn prefill_ms(&self, prompt_tokens: u64) -> f64 {
        let tokens = prompt_tokens as f64;
        let million_pairs = tokens * tokens / 2.0 / 1e6;
        let steps = (tokens / f64::from(self.chunk_tokens.max(1))).ceil();
        let reading = tokens / self.prefill_tokens_per_ms.max(f64::MIN_POSITIVE);
        reading + million_pairs * self.attention_ms_per_million_pairs + steps * self.step_ms
    }

    /// Time to read a prompt in even parts on `engines` idle engines.
    pub fn prefill_ms_on(&self, prompt_tokens: u64, engines: usize) -> f64 {
        self.prefill_ms(prompt_tokens) / engines.max(1) as f64
    }

    /// Time of a pass in which nothing is read while `writers` requests with `context_tokens` in
    /// all are written.
    pub fn iteration_ms(&self, writers: usize, context_tokens: u64) -> f64 {
        let context = context_tokens as f64 / 1000.0 * self.context_ms_per_1k;
        let step = self.step_ms + writers as f64 * self.per_sequence_ms + context;
        f64::from(self.steps_per_iteration.max(1)) * step
    }

    /// Time to write an answer beside `writers` others.
    pub fn decode_ms(&self, output_tokens: u64, writers: usize, context_tokens: u64) -> f64 {
        let passes = output_tokens as f64 / f64::from(self.steps_per_iteration.max(1));
        passes.ceil() * self.iteration_ms(writers, context_tokens)
    }
}
