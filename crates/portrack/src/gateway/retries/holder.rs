//! The store's record of the daemon that grants the slack.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Key of the record, which exists while the holder's lease is alive.
pub const SLACK_KEY: &str = "portrack/retries/slack";

/// The daemon that grants the slack.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlackHolder {
    /// The address it receives datagrams on.
    pub address: SocketAddr,
}

impl SlackHolder {
    /// Encodes the record for the store.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("encoding a record cannot fail")
    }

    /// Decodes a record; `None` if the bytes are not one.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
