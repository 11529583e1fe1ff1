//! Tells whether two tries are the same request.

use crate::gateway::hex;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Bytes of a mark: no two requests of a fleet share one by chance, and nobody can make another request
/// with the same one.
const LENGTH: usize = 16;

/// Who sends a request, as far as tries of the same one are concerned. An address says nothing: tries of one
/// request came from addresses of four data halls, two of them within a millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerIdentity<'a> {
    /// An organisation, where callers show keys: whichever of its keys it shows, from wherever.
    Organisation(&'a str),
    /// Nobody knows: what has the same path and body crashes servers whoever sends it.
    Unknown,
}

/// What is the same for all tries of a request.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintInput<'a> {
    /// Who sends it, if that is known.
    pub caller: CallerIdentity<'a>,
    /// The method.
    pub method: &'a str,
    /// The host asked for.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// Stands for a request, whichever try it is and at whichever node. Neither its caller nor its body can be
/// found from it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; LENGTH]);

impl RequestFingerprint {
    /// The mark of a request.
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
        let mut digest = Sha256::new();
        for part in parts {
            // Where a part ends must be told, or two requests could share a mark.
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        let whole = digest.finalize();
        let mut mark = [0; LENGTH];
        mark.copy_from_slice(&whole[..LENGTH]);
        Self(mark)
    }

    /// Names the duties of nodes that concern this request.
    pub fn routing_key(self) -> u64 {
        let (first, _) = self.0.split_at(size_of::<u64>());
        first.iter().fold(0, |duty, byte| duty << 8 | u64::from(*byte))
    }

    /// Reads a mark that was written with [`fmt::Display`].
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
