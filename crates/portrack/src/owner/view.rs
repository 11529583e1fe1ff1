//! Engine state that an owner publishes to the other daemons.

use crate::types::{AdapterVersion, EngineName};
use serde::{Deserialize, Serialize};

/// Load of an engine, sent with every heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The engine.
    pub engine: EngineName,
    /// Version of the holdings; a receiver with another version requests them.
    pub holdings: u32,
    /// Number of requests that could be granted now; zero while the owner may not grant.
    pub free: u16,
    /// Number of waiting requests.
    pub queued: u16,
    /// Number of slots that are empty or whose adapter could be unloaded at once.
    pub spare_slots: u16,
}

/// Adapters of an engine. Sent on every change and on request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// The engine.
    pub engine: EngineName,
    /// Increases with every change while the owner stays the same.
    pub version: u32,
    /// Adapters that are loaded.
    pub ready: Vec<AdapterVersion>,
    /// Adapters that are being loaded.
    pub loading: Vec<AdapterVersion>,
}
