//! What a caller shows to be let in.

use crate::gateway::hex;
use sha2::{Digest, Sha256};
use std::fmt;

/// Bytes of a digest: no two of the keys in use share one by chance, and none can be found from it.
const LENGTH: usize = 16;

/// Stands for a key wherever it is kept, compared or handed on.
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

    /// Reads a digest that was written with [`fmt::Display`].
    pub fn parse(text: &str) -> Option<Self> {
        hex::read(text).map(Self)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        hex::write(&self.0, out)
    }
}

/// What a request shows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    #[default]
    Missing,
    /// Several keys.
    Multiple,
    /// Something that is no key.
    Malformed,
    /// One key.
    Key(KeyDigest),
}
