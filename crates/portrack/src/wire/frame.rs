//! Frames of the TCP protocol with which daemons fetch newer settings from each other.

use super::codec::{open_bytes, seal_bytes};
use super::error::{MalformedSnafu, TooLargeSnafu, WireError};
use super::key::KeyRing;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

/// Largest frame, in bytes.
pub const MAX_FRAME: usize = 16 * 1024 * 1024;

/// Requests all entries newer than those of the sender.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Hash of the cluster name.
    pub cluster: u32,
    /// Hash of the key and held revision of each entry.
    pub have: Vec<(u64, u64)>,
}

/// One settings entry as stored in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchEntry {
    /// Its key.
    pub key: String,
    /// The revision of its last change.
    pub revision: u64,
    /// Its value.
    pub value: Vec<u8>,
}

/// The reply with the newer entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchReply {
    /// The entries, in no particular order.
    pub entries: Vec<FetchEntry>,
}

/// Encodes and signs a frame: the length as four big-endian bytes, then version, tag and body in
/// postcard.
pub fn seal_frame(ring: &KeyRing, body: &impl Serialize) -> Result<Vec<u8>, WireError> {
    let body = postcard::to_allocvec(body).context(MalformedSnafu)?;
    let sealed = seal_bytes(ring, &body);
    let size = sealed.len();
    ensure!(size <= MAX_FRAME, TooLargeSnafu { size, limit: MAX_FRAME });
    let length = u32::try_from(size).expect("MAX_FRAME fits in u32");
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(&sealed);
    Ok(frame)
}

/// Verifies and decodes a frame without its length prefix.
pub fn open_frame<T: DeserializeOwned>(ring: &KeyRing, sealed: &[u8]) -> Result<T, WireError> {
    let body = open_bytes(ring, sealed)?;
    postcard::from_bytes(body).context(MalformedSnafu)
}
