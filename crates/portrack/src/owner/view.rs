//! What an owner tells the other daemons of its engine.

use crate::types::{AdapterVersion, EngineName};
use serde::{Deserialize, Serialize};

/// Sent with every heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The engine.
    pub engine: EngineName,
    /// Version of the holdings; a receiver that has another one asks for them.
    pub holdings: u32,
    /// Requests that could be granted now; zero while the owner may not grant.
    pub free: u16,
    /// Requests that wait.
    pub queued: u16,
    /// Slots that are empty or could be emptied at once.
    pub spare_slots: u16,
}

/// Which adapters an engine holds. Sent when it changes and when asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// The engine.
    pub engine: EngineName,
    /// Grows with every change, within one ownership.
    pub version: u32,
    /// Adapters that can be used.
    pub ready: Vec<AdapterVersion>,
    /// Adapters that are being loaded.
    pub loading: Vec<AdapterVersion>,
}
