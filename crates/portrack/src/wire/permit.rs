//! Load permits.

use crate::types::{AdapterVersion, EngineName};
use serde::{Deserialize, Serialize};

/// Asks the load planner for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// Which load.
    pub load: PermitRef,
    /// How long the first request has waited, in milliseconds.
    pub waited_ms: u32,
    /// Requests that wait, interactive ones counted more.
    pub weight: u32,
}

/// Names one load.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitRef {
    /// The engine.
    pub engine: EngineName,
    /// The adapter.
    pub adapter: AdapterVersion,
}
