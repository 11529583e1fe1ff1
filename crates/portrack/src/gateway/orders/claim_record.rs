//! The records that the store holds of claims on servers.

use crate::gateway::fleet::trailing_field::or_default;
use crate::store::StoreEra;
use serde::{Deserialize, Serialize};

/// Key prefix, followed by the server's id.
const RECORD_PREFIX: &str = "portrack/orders/";
/// Key prefix, followed by the machine's name.
const LIVE_PREFIX: &str = "portrack/live/";

/// A store key that belongs to claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimKey<'a> {
    /// The claim record of this server.
    Server(&'a str),
    /// The key that exists while this machine's lease is alive.
    Live(&'a str),
}

impl<'a> ClaimKey<'a> {
    /// Parses a key; `None` if it does not belong to claims.
    pub fn parse(key: &'a str) -> Option<Self> {
        let server = key.strip_prefix(RECORD_PREFIX).map(Self::Server);
        server.or_else(|| key.strip_prefix(LIVE_PREFIX).map(Self::Live))
    }
}

/// The machine that holds the claim on a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The machine, as its daemon's name and address.
    pub machine: String,
    /// Whether no orders of an earlier machine have to be waited for.
    pub settled: bool,
    /// Whether the machine released the server after its last order.
    pub resigned: bool,
    /// Eras of the store; older versions do not write them.
    #[serde(deserialize_with = "or_default")]
    pub eras: RecordEras,
    /// Whether the machine released the server because it does not reach it, and so does not come back for it
    /// soon.
    #[serde(deserialize_with = "or_default")]
    pub yielded: bool,
}

/// The store eras that a record names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEras {
    /// The era in which the record was written.
    pub written: StoreEra,
    /// The earliest era known at that time.
    pub first: StoreEra,
}

impl ClaimRecord {
    /// Returns the key of a server's record.
    pub fn key(server: &str) -> String {
        format!("{RECORD_PREFIX}{server}")
    }

    /// Returns the key that exists while a machine's lease is alive.
    pub fn live_key(machine: &str) -> String {
        format!("{LIVE_PREFIX}{machine}")
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
