//! Model of the time that a model engine takes for its work.
//!
//! An engine works in iterations. While it decodes, one iteration runs
//! [`EngineSpec::steps_per_iteration`] decode steps, and prompts are prefilled in chunks between
//! the steps. All prefill of an iteration therefore lengthens the pause before the next event of
//! every stream that the engine decodes.

/// Figures of a model engine, times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Capacity of its memory in tokens.
    pub memory_tokens: u64,
    /// Decode steps in an iteration.
    pub steps_per_iteration: u32,
    /// Base time of a step.
    pub step_ms: f64,
    /// Additional time of a decode step for each request in decode.
    pub per_sequence_ms: f64,
    /// Additional time of a decode step for each 1,000 tokens of context of the requests in decode.
    pub context_ms_per_1k: f64,
    /// Prompt tokens prefilled in a millisecond, without the cost of attention.
    pub prefill_tokens_per_ms: f64,
    /// Additional time of attention for each million pairs of a token and an earlier one.
    pub attention_ms_per_million_pairs: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub chunk_tokens: u32,
    /// Mean output tokens of an answer.
    pub mean_output_tokens: u64,
}

impl EngineSpec {
    /// Returns the time in ms to prefill a prompt on an idle engine.
    pub fn prefill_ms(&self, prompt_tokens: u64) -> f64 {
        let tokens = prompt_tokens as f64;
        let million_pairs = tokens * tokens / 2.0 / 1e6;
        let steps = (tokens / f64::from(self.chunk_tokens.max(1))).ceil();
        let linear = tokens / self.prefill_tokens_per_ms.max(f64::MIN_POSITIVE);
        linear + million_pairs * self.attention_ms_per_million_pairs + steps * self.step_ms
    }

    /// Returns the time in ms to prefill a prompt in equal parts on `engines` idle engines; 0
    /// engines count as one.
    pub fn prefill_ms_on(&self, prompt_tokens: u64, engines: usize) -> f64 {
        self.prefill_ms(prompt_tokens) / engines.max(1) as f64
    }

    /// Returns the time in ms of an iteration without prefill that decodes `decoding` requests with
    /// `context_tokens` of context in total.
    pub fn iteration_ms(&self, decoding: usize, context_tokens: u64) -> f64 {
        let context = context_tokens as f64 / 1000.0 * self.context_ms_per_1k;
        let step = self.step_ms + decoding as f64 * self.per_sequence_ms + context;
        f64::from(self.steps_per_iteration.max(1)) * step
    }

    /// Returns the time in ms to decode an answer while the engine decodes `decoding` requests with
    /// `context_tokens` of context in total.
    pub fn decode_ms(&self, output_tokens: u64, decoding: usize, context_tokens: u64) -> f64 {
        let iterations = output_tokens as f64 / f64::from(self.steps_per_iteration.max(1));
        iterations.ceil() * self.iteration_ms(decoding, context_tokens)
    }
}
