//! What the store holds of a server's orders.

use crate::gateway::fleet::trailing_field::or_default;
use crate::store::StoreEra;
use serde::{Deserialize, Serialize};

/// Before each server's id.
const RECORD_PREFIX: &str = "portrack/orders/";
/// Before each machine's name.
const LIVE_PREFIX: &str = "portrack/live/";

/// A key of the store that concerns claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimKey<'a> {
    /// The record of this server.
    Server(&'a str),
    /// The sign of life of this machine.
    Live(&'a str),
}

impl<'a> ClaimKey<'a> {
    /// Reads a key; `None` if it does not concern claims.
    pub fn parse(key: &'a str) -> Option<Self> {
        let server = key.strip_prefix(RECORD_PREFIX).map(Self::Server);
        server.or_else(|| key.strip_prefix(LIVE_PREFIX).map(Self::Live))
    }
}

/// Which machine orders a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The machine, by its daemon's name and address.
    pub machine: String,
    /// No orders of an earlier machine have to be waited for.
    pub settled: bool,
    /// The machine gave the server up after its last order.
    pub resigned: bool,
    /// Eras of the store; former builds do not write them.
    #[serde(deserialize_with = "or_default")]
    pub eras: RecordEras,
}

/// Eras of the store, as a record tells them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEras {
    /// In which the record was written.
    pub written: StoreEra,
    /// The earliest one known then.
    pub first: StoreEra,
}

impl ClaimRecord {
    /// The key of a server's record.
    pub fn key(server: &str) -> String {
        format!("{RECORD_PREFIX}{server}")
    }

    /// The key that is there while a machine's lease lives.
    pub fn live_key(machine: &str) -> String {
        format!("{LIVE_PREFIX}{machine}")
    }

    /// The record as the store holds it.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a record can always be written")
    }

    /// Reads a record; `None` for bytes that are none.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
