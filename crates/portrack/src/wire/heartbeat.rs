//! Heartbeats.

use crate::owner::Load;
use crate::types::NodeName;
use serde::{Deserialize, Serialize};

/// The state that a daemon reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// In normal operation.
    Alive,
    /// Finishes its running requests; owns no engines and accepts no new work.
    Leaving,
}

/// Identifies the settings that a daemon has in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsMark {
    /// The highest revision applied.
    pub revision: u64,
    /// A hash over all entries and their revisions.
    pub digest: u64,
}

/// Sent periodically by every daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Alive or leaving.
    pub state: MemberState,
    /// Settings in force.
    pub settings: SettingsMark,
    /// Whether the platform's key-value service answered recently.
    pub platform: bool,
    /// Nodes of its hall from which the sender no longer receives heartbeats.
    pub suspects: Vec<NodeName>,
    /// Loads of the engines that the sender owns.
    pub loads: Vec<Load>,
}
