//! Entries: how settings lie in the key-value service.

use super::{AdapterSpec, Overrides, PlainService, TreePath};
use crate::audit::AuditRecord;
use crate::types::{AdapterName, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Buckets that adapters are hashed into: 10,000 adapters make about 40 a bucket.
pub const BUCKETS: u64 = 256;
/// The format written. A daemon refuses entries of a later one and keeps what it has.
pub const FORMAT: u32 = 1;
/// The largest entry written, in bytes: the service takes a megabyte.
pub const MAX_ENTRY: usize = 900_000;

/// One entry: a part of the settings together with the record of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The format, [`FORMAT`].
    pub format: u32,
    /// The change that made it what it is.
    pub change: AuditRecord,
    /// The part itself.
    pub body: EntryBody,
}

/// The part of the settings that an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryBody {
    /// A node of the tree.
    Node {
        /// Which.
        path: TreePath,
        /// What it sets.
        set: Box<Overrides>,
    },
    /// All plain services.
    Services(BTreeMap<ServiceName, PlainService>),
    /// A bucket of adapters.
    Adapters(BTreeMap<AdapterName, AdapterSpec>),
}

/// The key of a tree node, below the prefix.
pub fn tree_key(path: &TreePath) -> String {
    format!("tree/{path}")
}

/// The key of the bucket that an adapter lies in, below the prefix.
pub fn adapter_key(adapter: &AdapterName) -> String {
    let bucket = xxh3_64(adapter.as_str().as_bytes()) % BUCKETS;
    format!("adapters/{bucket:02x}")
}

/// Writes an entry.
pub fn encode(entry: &Entry) -> Vec<u8> {
    serde_json::to_vec(entry).expect("an entry has string keys only")
}

/// Reads an entry, or says why it cannot be used.
pub fn decode(value: &[u8]) -> Result<Entry, String> {
    #[derive(Deserialize)]
    struct FormatOnly {
        format: u32,
    }
    let head: FormatOnly = serde_json::from_slice(value).map_err(|e| e.to_string())?;
    if head.format != FORMAT {
        return Err(format!("format {} is not known here, only {FORMAT}", head.format));
    }
    serde_json::from_slice(value).map_err(|e| e.to_string())
}
