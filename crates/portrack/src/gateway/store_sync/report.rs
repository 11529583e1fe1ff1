//! What daemons tell each other of how fresh their news of the store is.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Where a daemon has its news from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncState {
    /// From the store itself; others may follow it.
    Watches,
    /// From a daemon that watches.
    Follows,
    /// From nobody at the moment.
    Alone,
    /// The same or from another daemon, and the store does not serve it.
    TurnedAway,
}

/// How fresh one daemon's news is, as the daemon itself or another one tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReport {
    /// The daemon.
    pub address: SocketAddr,
    /// Its life: what was told of a former one says nothing of this one.
    pub incarnation: u64,
    /// How long ago the store held nothing that the daemon does not know, in milliseconds, when this
    /// was told; `None` if it can prove nothing.
    pub age_ms: Option<u32>,
    /// Where it has its news from.
    pub standing: SyncState,
}
