//! Generates prompts of a given length.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Returns a prompt of `tokens` tokens of four bytes each; the same `seed` gives the same prompt.
pub fn generate_prompt(tokens: usize, seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..tokens).map(|_| format!("{:03x} ", rng.random_range(0..0x1000))).collect()
}
