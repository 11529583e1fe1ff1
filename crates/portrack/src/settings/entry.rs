//! Entries: the format of settings in the key-value service.

use super::{AdapterSpec, Overrides, PlainService, TreePath};
use crate::audit::AuditRecord;
use crate::types::{AdapterName, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets that adapters are hashed into. 10,000 adapters make about 40 per bucket.
pub const BUCKETS: u64 = 256;
/// Version of the entry format. A daemon refuses entries in another format and keeps its settings.
pub const FORMAT: u32 = 1;
/// Maximum size of an entry, in bytes. The key-value service accepts up to a megabyte.
pub const MAX_ENTRY_BYTES: usize = 900_000;

/// An entry: part of the settings, with the record of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Version of the format, [`FORMAT`].
    pub format: u32,
    /// The last change.
    pub change: AuditRecord,
    /// The settings.
    pub body: EntryBody,
}

/// The settings that an entry contains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryBody {
    /// A node of the tree.
    Node {
        /// Path of the node.
        path: TreePath,
        /// The values that it sets.
        set: Box<Overrides>,
    },
    /// All plain services.
    Services(BTreeMap<ServiceName, PlainService>),
    /// A bucket of adapters.
    Adapters(BTreeMap<AdapterName, AdapterSpec>),
}

/// Key of a tree node, relative to the prefix.
pub fn tree_key(path: &TreePath) -> String {
    format!("tree/{path}")
}

/// Key of the bucket that contains an adapter, relative to the prefix.
pub fn adapter_key(adapter: &AdapterName) -> String {
    let bucket = xxh3_64(adapter.as_str().as_bytes()) % BUCKETS;
    format!("adapters/{bucket:02x}")
}

/// Encodes an entry.
pub fn encode(entry: &Entry) -> Vec<u8> {
    serde_json::to_vec(entry).expect("an entry can be encoded as JSON")
}

/// Decodes an entry, or returns why it cannot be used.
pub fn decode(value: &[u8]) -> Result<Entry, String> {
    #[derive(Deserialize)]
    struct FormatOnly {
        format: u32,
    }
    let header: FormatOnly = serde_json::from_slice(value).map_err(|e| e.to_string())?;
    if header.format != FORMAT {
        return Err(format!("format {} is not known here, only {FORMAT}", header.format));
    }
    serde_json::from_slice(value).map_err(|e| e.to_string())
}
