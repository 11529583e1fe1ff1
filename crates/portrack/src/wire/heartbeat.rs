//! What every daemon says at a steady pace.

use crate::owner::Load;
use crate::types::NodeName;
use serde::{Deserialize, Serialize};

/// What a daemon says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Works.
    Alive,
    /// Finishes what it has; owns nothing, takes nothing new.
    Leaving,
}

/// Which settings a daemon has in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsMark {
    /// The highest revision applied.
    pub revision: u64,
    /// A hash over all entries and their revisions.
    pub digest: u64,
}

/// Sent by every daemon at a steady pace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Alive or leaving.
    pub state: MemberState,
    /// Settings in force.
    pub settings: SettingsMark,
    /// True if the platform's key-value service answered lately.
    pub platform: bool,
    /// Nodes of the own hall that this daemon no longer hears.
    pub suspects: Vec<NodeName>,
    /// The engines owned.
    pub loads: Vec<Load>,
}
