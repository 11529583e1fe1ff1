//! The credentials of callers.

use crate::gateway::hex;
use sha2::{Digest, Sha256};
use std::fmt;

/// Bytes of a digest: enough that keys in use do not collide, and that no key can be found from it.
const LENGTH: usize = 16;

/// Digest of an API key, used wherever the key is stored, compared or passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; LENGTH]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        let whole = Sha256::digest(key.as_bytes());
        let mut digest = [0; LENGTH];
        digest.copy_from_slice(&whole[..LENGTH]);
        Self(digest)
    }

    /// Parses a digest that was formatted with [`fmt::Display`].
    pub fn parse(text: &str) -> Option<Self> {
        hex::read(text).map(Self)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        hex::write(&self.0, out)
    }
}

/// The credential of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    #[default]
    Missing,
    /// Several keys.
    Multiple,
    /// A value that is not a key.
    Malformed,
    /// One key.
    Key(KeyDigest),
}
