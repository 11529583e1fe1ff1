//! Large values of the store, which peers send apart from the other items: compressed, and from any
//! byte on, so that what has arrived over a connection that breaks is of use for the next one.

use super::frames::MAX_BODY;
use super::mirror::MirrorItem;
use crate::store::StoreEra;
use crate::types::Time;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Values longer than this are sent apart.
pub const LARGE_VALUE_BYTES: usize = 16 * 1024;
/// Partly received values that are kept: the newest configuration and the one before.
pub const MAX_PARTIAL_VALUES: usize = 2;
/// How long a partly received value is kept after its last bytes: longer than daemons are cut off.
pub const PARTIAL_VALUE_TTL: Duration = Duration::from_secs(60);
/// Compressed values that are kept to be sent.
const MAX_COMPRESSED_VALUES: usize = 4;

/// Announces a value that is sent apart from the other items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LargeValue {
    /// The key.
    pub key: String,
    /// The revision of its last change.
    pub revision: u64,
    /// Hash of the compressed value. Two peers whose hashes are equal send the same bytes.
    pub digest: u64,
    /// Length of the compressed value in bytes.
    pub length: u32,
    /// Length of the value in bytes.
    pub value_length: u32,
}

/// Requests the rest of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::gateway) struct PartRequest {
    /// The value's [`LargeValue::digest`].
    pub digest: u64,
    /// The first byte to send.
    pub offset: u32,
}

/// A compressed value.
#[derive(Debug, Clone)]
pub struct CompressedValue {
    /// What is sent first.
    pub announcement: LargeValue,
    /// The compressed bytes.
    pub bytes: Rc<[u8]>,
}

impl CompressedValue {
    fn new(key: String, revision: u64, value: &[u8]) -> Option<Self> {
        let mut bytes = Vec::new();
        DeflateEncoder::new(value, Compression::default()).read_to_end(&mut bytes).ok()?;
        let announcement = LargeValue {
            key,
            revision,
            digest: xxh3_64(&bytes),
            length: u32::try_from(bytes.len()).ok()?,
            value_length: u32::try_from(value.len()).ok()?,
        };
        Some(Self { announcement, bytes: bytes.into() })
    }
}

/// The large values that were sent last, in compressed form.
#[derive(Debug, Default)]
pub struct CompressedValues {
    /// At most [`MAX_COMPRESSED_VALUES`], the one that was sent last at the end.
    values: Vec<(StoreEra, CompressedValue)>,
}

impl CompressedValues {
    /// Takes the large values out of an update, and returns them in compressed form.
    pub fn separate(&mut self, era: StoreEra, items: &mut Vec<MirrorItem>) -> Vec<CompressedValue> {
        let mut separated = Vec::new();
        items.retain(|item| match self.compressed(era, item) {
            Some(value) => {
                separated.push(value);
                false
            }
            None => true,
        });
        separated
    }

    fn compressed(&mut self, era: StoreEra, item: &MirrorItem) -> Option<CompressedValue> {
        let value = item.value.as_ref().filter(|value| value.len() > LARGE_VALUE_BYTES)?;
        let compressed = match self.take_known(era, item) {
            Some(known) => known,
            None => CompressedValue::new(item.key.clone(), item.revision, value)?,
        };
        if self.values.len() >= MAX_COMPRESSED_VALUES {
            self.values.remove(0);
        }
        self.values.push((era, compressed.clone()));
        Some(compressed)
    }

    fn take_known(&mut self, era: StoreEra, item: &MirrorItem) -> Option<CompressedValue> {
        let at = self.values.iter().position(|(known_era, known)| {
            let LargeValue { key, revision, .. } = &known.announcement;
            (*known_era, key, *revision) == (era, &item.key, item.revision)
        })?;
        Some(self.values.remove(at).1)
    }
}

/// The first bytes of a compressed value.
#[derive(Debug, Clone)]
struct PartialValue {
    digest: u64,
    bytes: Vec<u8>,
    changed_at: Time,
}

/// Values of which a part has arrived, from one peer or from several.
#[derive(Debug, Default)]
pub struct PartialValues {
    values: Vec<PartialValue>,
}

impl PartialValues {
    /// Number of bytes of a value that are there, from its first one on.
    pub fn received(&self, value: &LargeValue) -> u32 {
        self.get(value.digest).map_or(0, |partial| partial.bytes.len() as u32)
    }

    fn get(&self, digest: u64) -> Option<&PartialValue> {
        self.values.iter().find(|partial| partial.digest == digest)
    }

    /// Adds bytes that begin at `offset`. Bytes that are there already are dropped, and so are bytes
    /// after a gap and those of a value that is too long.
    pub fn add(&mut self, now: Time, value: &LargeValue, offset: u32, bytes: &[u8]) {
        if value.length > MAX_BODY {
            return;
        }
        if self.get(value.digest).is_none() && offset == 0 {
            self.make_room();
            let (digest, bytes) = (value.digest, Vec::new());
            self.values.push(PartialValue { digest, bytes, changed_at: now });
        }
        let partial = self.values.iter_mut().find(|partial| partial.digest == value.digest);
        let Some(partial) = partial else { return };
        let Some(known) = partial.bytes.len().checked_sub(offset as usize) else { return };
        let limit = (value.length as usize).saturating_sub(partial.bytes.len());
        let new = bytes.get(known..).unwrap_or_default();
        partial.bytes.extend_from_slice(&new[..new.len().min(limit)]);
        partial.changed_at = now;
    }

    /// What is missing of all values of which a part is there.
    pub(in crate::gateway) fn rests(&self) -> Vec<PartRequest> {
        let rest = |partial: &PartialValue| PartRequest {
            digest: partial.digest,
            offset: partial.bytes.len() as u32,
        };
        self.values.iter().map(rest).collect()
    }

    /// Forgets values of which nothing has arrived for [`PARTIAL_VALUE_TTL`].
    pub fn expire(&mut self, now: Time) {
        self.values.retain(|partial| now.since(partial.changed_at) < PARTIAL_VALUE_TTL);
    }

    fn make_room(&mut self) {
        if self.values.len() < MAX_PARTIAL_VALUES {
            return;
        }
        let oldest = self.values.iter().map(|partial| partial.changed_at).min();
        if let Some(at) = self.values.iter().position(|value| Some(value.changed_at) == oldest) {
            self.values.remove(at);
        }
    }

    /// Takes a value of which all bytes are there. Returns `None`, and forgets the bytes, if they are
    /// not what was announced.
    pub fn take(&mut self, value: &LargeValue) -> Option<MirrorItem> {
        let at = self.values.iter().position(|partial| partial.digest == value.digest)?;
        let partial = self.values.remove(at);
        if xxh3_64(&partial.bytes) != value.digest {
            return None;
        }
        let decompressed = decompress(&partial.bytes, value.value_length)?;
        Some(MirrorItem {
            key: value.key.clone(),
            revision: value.revision,
            value: Some(decompressed),
        })
    }
}

/// Decompresses a value of a known length.
fn decompress(bytes: &[u8], length: u32) -> Option<Vec<u8>> {
    if length > MAX_BODY {
        return None;
    }
    let mut value = Vec::new();
    // One byte more shows that the value is longer than announced.
    let mut decoder = DeflateDecoder::new(bytes).take(u64::from(length) + 1);
    decoder.read_to_end(&mut value).ok()?;
    (value.len() == length as usize).then_some(value)
}
