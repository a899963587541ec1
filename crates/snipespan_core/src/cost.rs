//! Estimated cost of a request at a backend server.

use serde::Deserialize;
use serde::Serialize;

/// Average bytes of prompt text per token, used to estimate token counts.
pub const BYTES_PER_TOKEN: usize = 4;

/// Prompt length in tokens above which the operators' report lists a request as a long job; the
/// order of prompts depends on [`SHORT_PROMPT_TOKENS`] instead.
pub const LONG_JOB_TOKENS: u64 = 100_000;

/// Maximum length in tokens of a short prompt; any other prompt is long. The engine runs short
/// prompts before long ones of the same priority.
pub const SHORT_PROMPT_TOKENS: u64 = 32_768;

/// Estimated cost of one request, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of answer tokens.
    pub max_output_tokens: u64,
}

impl Cost {
    /// Returns the maximum engine memory that the request can occupy, in tokens.
    pub const fn memory_tokens(self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_output_tokens)
    }

    /// Returns whether the prompt has at most [`SHORT_PROMPT_TOKENS`] tokens.
    pub const fn is_short(self) -> bool {
        self.prompt_tokens <= SHORT_PROMPT_TOKENS
    }

    /// Estimates the number of tokens in `bytes` bytes of text, rounded up.
    pub const fn tokens_of_text(bytes: usize) -> u64 {
        bytes.div_ceil(BYTES_PER_TOKEN) as u64
    }
}

/// Class of prompt lengths by which the operators' report groups requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LengthClass {
    /// 0 to 2,000 tokens.
    UpTo2K,
    /// 2,001 to 10,000 tokens.
    UpTo10K,
    /// 10,001 to 100,000 tokens.
    UpTo100K,
    /// More than 100,000 tokens.
    Over100K,
}

impl LengthClass {
    /// All classes, in order of increasing length.
    pub const ALL: [Self; 4] = [Self::UpTo2K, Self::UpTo10K, Self::UpTo100K, Self::Over100K];

    /// Returns the class of a prompt of `prompt_tokens` tokens.
    pub const fn of(prompt_tokens: u64) -> Self {
        match prompt_tokens {
            0..=2_000 => Self::UpTo2K,
            2_001..=10_000 => Self::UpTo10K,
            10_001..=LONG_JOB_TOKENS => Self::UpTo100K,
            _ => Self::Over100K,
        }
    }

    /// Returns the maximum prompt length of the class in tokens; `None` if it has no maximum.
    pub const fn upper_tokens(self) -> Option<u64> {
        match self {
            Self::UpTo2K => Some(2_000),
            Self::UpTo10K => Some(10_000),
            Self::UpTo100K => Some(LONG_JOB_TOKENS),
            Self::Over100K => None,
        }
    }
}
