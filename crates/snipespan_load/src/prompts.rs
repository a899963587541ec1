//! Generates the texts of prompts.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::arrivals::PlannedRequest;

/// Maximum length of a shared prefix in tokens; a prefix is also at most half of its prompt.
const MAX_SHARED_PREFIX_TOKENS: u64 = 8_192;

/// Generates the prompt of a request, with four bytes per token.
pub fn generate_prompt(planned: &PlannedRequest) -> String {
    let shared_tokens = match planned.shared_prefix_seed {
        Some(_) => MAX_SHARED_PREFIX_TOKENS.min(planned.prompt_tokens / 2),
        None => 0,
    };
    let mut text = String::with_capacity(planned.prompt_tokens as usize * 4);
    push_random_tokens(&mut text, shared_tokens, planned.shared_prefix_seed.unwrap_or(0));
    push_random_tokens(&mut text, planned.prompt_tokens - shared_tokens, planned.prompt_seed);
    text
}

/// Appends random tokens, each of three hexadecimal digits and a space.
fn push_random_tokens(text: &mut String, tokens: u64, seed: u64) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..tokens {
        let token: u16 = rng.random();
        for shift in [8, 4, 0] {
            text.push(char::from(DIGITS[usize::from(token >> shift) & 0xf]));
        }
        text.push(' ');
    }
}
