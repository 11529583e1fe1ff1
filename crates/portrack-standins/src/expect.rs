//! The answers of the stand-in engine. They depend on adapter and prompt, so that a caller can tell
//! its own answer from another's.

use xxhash_rust::xxh3::xxh3_64;

/// Number of tokens if a request sets no `max_tokens`.
pub const DEFAULT_TOKENS: usize = 16;

/// Token number `at` of the answer to `prompt` from `model`, an `adapter@version`.
pub fn token(model: &str, prompt: &str, at: usize) -> String {
    let hash = xxh3_64(format!("{model}\0{prompt}").as_bytes());
    format!("{hash:08x}.{at} ")
}

/// The complete answer of `tokens` tokens.
pub fn answer(model: &str, prompt: &str, tokens: usize) -> String {
    (0..tokens).map(|at| token(model, prompt, at)).collect()
}
