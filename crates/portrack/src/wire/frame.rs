//! Frames of the TCP fetch by which daemons bring each other's settings up to date.

use super::codec::{open_bytes, seal_bytes};
use super::error::{MalformedSnafu, TooLargeSnafu, WireError};
use super::key::KeyRing;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

/// The longest frame, in bytes.
pub const MAX_FRAME: usize = 16 * 1024 * 1024;

/// Asks for every entry that is newer than what the asker has.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The cluster's mark.
    pub cluster: u32,
    /// Hash of key and the revision held, for each entry.
    pub have: Vec<(u64, u64)>,
}

/// One entry of the settings as the key-value service holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchEntry {
    /// Its key.
    pub key: String,
    /// The revision of its last change.
    pub revision: u64,
    /// Its value.
    pub value: Vec<u8>,
}

/// The newer entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchReply {
    /// In no particular order.
    pub entries: Vec<FetchEntry>,
}

/// Seals a frame: the length in four big-endian bytes, then version, tag and postcard.
pub fn seal_frame(ring: &KeyRing, body: &impl Serialize) -> Result<Vec<u8>, WireError> {
    let body = postcard::to_allocvec(body).context(MalformedSnafu)?;
    let sealed = seal_bytes(ring, &body);
    let size = sealed.len();
    ensure!(size <= MAX_FRAME, TooLargeSnafu { size, limit: MAX_FRAME });
    let length = u32::try_from(size).expect("the limit fits");
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(&sealed);
    Ok(frame)
}

/// Opens a frame without its length.
pub fn open_frame<T: DeserializeOwned>(ring: &KeyRing, sealed: &[u8]) -> Result<T, WireError> {
    let body = open_bytes(ring, sealed)?;
    postcard::from_bytes(body).context(MalformedSnafu)
}
