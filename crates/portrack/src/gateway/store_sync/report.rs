//! Reports that daemons exchange about the freshness of their copies of the store.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Where a daemon gets its updates from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncState {
    /// From the store itself; others may follow this daemon.
    Watches,
    /// From a daemon that watches the store.
    Follows,
    /// From nowhere at the moment.
    Alone,
    /// From nowhere or from another daemon, and the store rejects this daemon's calls.
    TurnedAway,
}

/// The freshness of one daemon's copy, as reported by the daemon itself or forwarded by another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReport {
    /// The daemon's address.
    pub address: SocketAddr,
    /// The daemon's incarnation. A report about an earlier one says nothing about this one.
    pub incarnation: u64,
    /// Upper bound on the staleness of the daemon's copy when the report was sent, in milliseconds;
    /// `None` if it has no proof.
    pub age_ms: Option<u32>,
    /// Where the daemon gets its updates from.
    pub standing: SyncState,
}
