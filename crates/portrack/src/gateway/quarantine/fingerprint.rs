//! Identifies retries of the same request.

use crate::gateway::hex;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::fmt;

/// Length of a fingerprint in bytes: no two requests of a fleet collide by chance, and nobody can
/// construct another request with the same fingerprint.
const LENGTH: usize = 16;
/// Begins the text form of a part's fingerprint.
const PART_PREFIX: &str = "part-";
/// Begins what a part's fingerprint is computed from.
const PART_TAG: &[u8] = b"part of prompts";

/// The sender of a request, as far as it distinguishes requests. The address does not: retries of
/// one request came from addresses of four data halls, two of them within a millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerIdentity<'a> {
    /// An organisation, where callers present API keys: whichever of its keys, from any address.
    Organisation(&'a str),
    /// Unknown: a request with the same path and body crashes servers whoever sends it.
    Unknown,
}

impl CallerIdentity<'_> {
    fn name(&self) -> &str {
        match self {
            Self::Organisation(name) => name,
            Self::Unknown => "",
        }
    }
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

/// What a fingerprint identifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SuspectKind {
    /// A request.
    Request,
    /// A part of prompts.
    Part,
}

/// What makes two parts of prompts the same: nobody can get another organisation's part held back.
#[derive(Debug, Clone, Copy)]
pub struct PartInput<'a> {
    /// The sender, if known.
    pub caller: CallerIdentity<'a>,
    /// The service.
    pub service: &'a str,
    /// The base model.
    pub model: &'a str,
    /// The part's id.
    pub id: u64,
}

/// Identifies a request across retries and nodes, or a part of prompts across requests. It reveals neither the
/// caller nor the content. Its kind is not encoded: where it matters, the message or the key tells it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint {
    bytes: [u8; LENGTH],
    kind: SuspectKind,
}

impl Serialize for RequestFingerprint {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        self.bytes.serialize(to)
    }
}

impl<'de> Deserialize<'de> for RequestFingerprint {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let bytes = Deserialize::deserialize(from)?;
        Ok(Self { bytes, kind: SuspectKind::Request })
    }
}

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(request: &FingerprintInput<'_>) -> Self {
        let parts = [
            request.caller.name().as_bytes(),
            request.method.as_bytes(),
            request.host.as_bytes(),
            request.target.as_bytes(),
            request.body,
        ];
        Self { bytes: hash(&parts), kind: SuspectKind::Request }
    }

    /// Computes the fingerprint of a part of prompts.
    pub fn of_part(part: &PartInput<'_>) -> Self {
        let caller = part.caller.name();
        let id = part.id.to_be_bytes();
        let parts =
            [PART_TAG, caller.as_bytes(), part.service.as_bytes(), part.model.as_bytes(), &id];
        Self { bytes: hash(&parts), kind: SuspectKind::Part }
    }

    /// The same bytes as the fingerprint of a part.
    pub fn as_part(self) -> Self {
        Self { kind: SuspectKind::Part, ..self }
    }

    /// What it identifies.
    pub fn kind(self) -> SuspectKind {
        self.kind
    }

    /// Returns the hash that selects the nodes responsible for this request.
    pub fn routing_key(self) -> u64 {
        let (first, _) = self.bytes.split_at(size_of::<u64>());
        first.iter().fold(0, |key, byte| key << 8 | u64::from(*byte))
    }

    /// Parses the output of [`fmt::Display`].
    pub fn parse(text: &str) -> Option<Self> {
        let (kind, digits) = match text.strip_prefix(PART_PREFIX) {
            Some(digits) => (SuspectKind::Part, digits),
            None => (SuspectKind::Request, text),
        };
        hex::read(digits).map(|bytes| Self { bytes, kind })
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.kind == SuspectKind::Part {
            out.write_str(PART_PREFIX)?;
        }
        hex::write(&self.bytes, out)
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, out)
    }
}

/// Hashes the parts with their lengths: without these, two lists of parts could have the same hash.
fn hash(parts: &[&[u8]]) -> [u8; LENGTH] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    let mut bytes = [0; LENGTH];
    bytes.copy_from_slice(&hash[..LENGTH]);
    bytes
}
