//! What the store holds of a server's orders.

use serde::{Deserialize, Serialize};

/// Before each server's id.
pub(super) const RECORD_PREFIX: &str = "portrack/orders/";
/// Before each machine's name.
const LIVE_PREFIX: &str = "portrack/live/";

/// Which machine orders a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The machine, by its daemon's name and address.
    pub machine: String,
    /// No orders of an earlier machine have to be waited for.
    pub settled: bool,
    /// The machine gave the server up after its last order.
    pub resigned: bool,
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
