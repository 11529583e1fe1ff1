//! The store's record of a request that is held back, which survives a restart of all nodes.

use super::fingerprint::RequestFingerprint;
use serde::{Deserialize, Serialize};

/// Key prefix, followed by the request's fingerprint.
const PREFIX: &str = "portrack/quarantine/";

/// A request that is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRecord {
    /// How many times it has been held back; each hold is longer than the one before.
    pub number: u32,
}

impl HoldRecord {
    /// Returns the key of a request's record.
    pub fn key(fingerprint: RequestFingerprint) -> String {
        format!("{PREFIX}{fingerprint}")
    }

    /// Parses the request from a key; `None` if the key is not one of a hold.
    pub fn request(key: &str) -> Option<RequestFingerprint> {
        RequestFingerprint::parse(key.strip_prefix(PREFIX)?)
    }

    /// Encodes the record for the store.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("encoding a record cannot fail")
    }

    /// Decodes a record; `None` if the bytes are not one.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
