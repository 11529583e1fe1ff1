//! Load permits.

use crate::types::{AdapterVersion, EngineName};
use serde::{Deserialize, Serialize};

/// Requests a permit from the load planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// The load.
    pub load: PermitRef,
    /// How long the first request has waited, in milliseconds.
    pub waited_ms: u32,
    /// Weighted number of waiting requests; interactive ones weigh more.
    pub weight: u32,
}

/// Identifies one load.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitRef {
    /// The engine.
    pub engine: EngineName,
    /// The adapter.
    pub adapter: AdapterVersion,
}
