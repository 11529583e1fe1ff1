//! What the store holds of a request that is held back, so that it outlasts all nodes.

use super::fingerprint::RequestFingerprint;
use serde::{Deserialize, Serialize};

/// Before each request's mark.
const PREFIX: &str = "portrack/quarantine/";

/// A request that is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRecord {
    /// How many times it has been held back; each hold is longer.
    pub number: u32,
}

impl HoldRecord {
    /// The key of a request's record.
    pub fn key(mark: RequestFingerprint) -> String {
        format!("{PREFIX}{mark}")
    }

    /// The request of a key; `None` for a key of something else.
    pub fn request(key: &str) -> Option<RequestFingerprint> {
        RequestFingerprint::parse(key.strip_prefix(PREFIX)?)
    }

    /// The record as the store holds it.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a record can always be written")
    }

    /// Reads a record; `None` for bytes that are none.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
