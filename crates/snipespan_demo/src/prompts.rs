//! Prompts of a given length.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A prompt of so many tokens of four bytes, the same for the same seed.
pub fn generate_prompt(tokens: usize, seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..tokens).map(|_| format!("{:03x} ", rng.random_range(0..0x1000))).collect()
}
