//! Shared keys that authenticate datagrams and frames.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::Snafu;
use subtle::ConstantTimeEq;

/// Length of a tag in bytes: HMAC-SHA-256, truncated to 128 bits.
pub const TAG_LEN: usize = 16;
/// Shortest accepted key, in bytes.
pub const MIN_KEY_LEN: usize = 16;

/// Why a key file cannot be used.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum KeyRingError {
    /// The file contains no key.
    #[snafu(display("no key found; write one of at least {MIN_KEY_LEN} bytes in hexadecimal"))]
    Empty,
    /// A line is not a valid key.
    #[snafu(display("line {line}: a key is at least {MIN_KEY_LEN} bytes in hexadecimal"))]
    BadLine {
        /// The line number, from 1.
        line: usize,
    },
}

/// One shared secret.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Creates a key from raw bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }

    /// Computes the tag of `bytes`.
    pub fn tag(&self, bytes: &[u8]) -> [u8; TAG_LEN] {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        mac.update(bytes);
        let whole = mac.finalize().into_bytes();
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&whole[..TAG_LEN]);
        tag
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The shared keys: the first one signs, all are accepted.
#[derive(Debug, Clone)]
pub struct KeyRing(Vec<Key>);

impl KeyRing {
    /// Creates a key ring of one key.
    pub fn single(key: Key) -> Self {
        Self(vec![key])
    }

    /// Reads a key file: one hexadecimal key per line; empty lines and `#` lines are skipped.
    pub fn parse(text: &str) -> Result<Self, KeyRingError> {
        let mut keys = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let bad = KeyRingError::BadLine { line: at + 1 };
            let Some(bytes) = decode_hex(line) else {
                return Err(bad);
            };
            if bytes.len() < MIN_KEY_LEN {
                return Err(bad);
            }
            keys.push(Key(bytes));
        }
        if keys.is_empty() {
            return Err(KeyRingError::Empty);
        }
        Ok(Self(keys))
    }

    /// Computes the tag of `bytes` with the signing key.
    pub fn sign(&self, bytes: &[u8]) -> [u8; TAG_LEN] {
        self.0[0].tag(bytes)
    }

    /// Whether an accepted key made this tag. Takes the same time for every wrong tag.
    pub fn verify(&self, bytes: &[u8], tag: &[u8]) -> bool {
        let matches = |key: &Key| bool::from(key.tag(bytes).ct_eq(tag));
        self.0.iter().fold(false, |found, key| found | matches(key))
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let digits = (0..text.len()).step_by(2).map(|at| &text[at..at + 2]);
    digits.map(|pair| u8::from_str_radix(pair, 16).ok()).collect()
}
