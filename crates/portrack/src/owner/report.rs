//! What an engine says of itself.

use crate::types::{AdapterVersion, Fence, ReservationId, Time};
use serde::{Deserialize, Serialize};

/// A request that an engine runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The request.
    pub id: ReservationId,
    /// What it runs on.
    pub adapter: AdapterVersion,
}

/// One status report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// When the owner asked for it. What happened earlier than this less the lag is in it.
    pub asked_at: Time,
    /// Changes when the engine restarts.
    pub epoch: u64,
    /// The highest fence accepted; for an engine that checks none, the fence of our lease.
    pub fence: Fence,
    /// For an engine that checks no fence: when the renewal of our lease was last sent.
    pub lease_at: Option<Time>,
    /// True once the engine is leaving.
    pub leaving: bool,
    /// The adapters in slots.
    pub loaded: Vec<AdapterVersion>,
    /// The adapters that are being loaded.
    pub loading: Vec<AdapterVersion>,
    /// The requests that run.
    pub running: Vec<Running>,
    /// Adapter slots.
    pub slots: usize,
    /// Requests that one step can carry.
    pub batch: usize,
}
