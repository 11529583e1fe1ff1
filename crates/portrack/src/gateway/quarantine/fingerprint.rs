//! Identifies retries of the same request.

use crate::gateway::hex;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Length of a fingerprint in bytes: no two requests of a fleet collide by chance, and nobody can
/// construct another request with the same fingerprint.
const LENGTH: usize = 16;

/// The sender of a request, as far as it distinguishes requests. The address does not: retries of
/// one request came from addresses of four data halls, two of them within a millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerIdentity<'a> {
    /// An organisation, where callers present API keys: whichever of its keys, from any address.
    Organisation(&'a str),
    /// Unknown: a request with the same path and body crashes servers whoever sends it.
    Unknown,
}

/// The parts of a request that all its retries share.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintInput<'a> {
    /// The sender, if known.
    pub caller: CallerIdentity<'a>,
    /// The HTTP method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// Identifies a request across retries and nodes. It reveals neither the caller nor the body.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; LENGTH]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(request: &FingerprintInput<'_>) -> Self {
        let caller = match request.caller {
            CallerIdentity::Organisation(name) => name,
            CallerIdentity::Unknown => "",
        };
        let parts = [
            caller.as_bytes(),
            request.method.as_bytes(),
            request.host.as_bytes(),
            request.target.as_bytes(),
            request.body,
        ];
        let mut hasher = Sha256::new();
        for part in parts {
            // Without the lengths, two requests could have the same fingerprint.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&hash[..LENGTH]);
        Self(bytes)
    }

    /// Returns the hash that selects the nodes responsible for this request.
    pub fn routing_key(self) -> u64 {
        let (first, _) = self.0.split_at(size_of::<u64>());
        first.iter().fold(0, |key, byte| key << 8 | u64::from(*byte))
    }

    /// Parses the output of [`fmt::Display`].
    pub fn parse(text: &str) -> Option<Self> {
        hex::read(text).map(Self)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        hex::write(&self.0, out)
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, out)
    }
}
