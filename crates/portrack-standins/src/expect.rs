//! The answer that the stand-in engine gives, so that a caller can tell its own from any other.

use xxhash_rust::xxh3::xxh3_64;

/// Tokens of a request that names no number.
pub const DEFAULT_TOKENS: usize = 16;

/// One token of the answer to `prompt` on `model`, an `adapter@version`.
pub fn token(model: &str, prompt: &str, at: usize) -> String {
    let mark = xxh3_64(format!("{model}\0{prompt}").as_bytes());
    format!("{mark:08x}.{at} ")
}

/// The whole answer.
pub fn answer(model: &str, prompt: &str, tokens: usize) -> String {
    (0..tokens).map(|at| token(model, prompt, at)).collect()
}
