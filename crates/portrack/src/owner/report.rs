//! Status reports of an engine.

use crate::types::{AdapterVersion, Fence, ReservationId, Time};
use serde::{Deserialize, Serialize};

/// A request that is running on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The request.
    pub id: ReservationId,
    /// The adapter it runs on.
    pub adapter: AdapterVersion,
}

/// A status report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// When the owner requested it. The report includes everything that happened before this time
    /// less `Tuning::report_lag`.
    pub asked_at: Time,
    /// Changes when the engine restarts.
    pub epoch: u64,
    /// The highest accepted fence; for an engine that checks none, the fence of the owner's lease.
    pub fence: Fence,
    /// For an engine that checks no fence: when the last renewal of the owner's lease was sent.
    pub lease_at: Option<Time>,
    /// True once the engine is leaving.
    pub leaving: bool,
    /// The adapters that are loaded.
    pub loaded: Vec<AdapterVersion>,
    /// The adapters that are being loaded.
    pub loading: Vec<AdapterVersion>,
    /// The running requests.
    pub running: Vec<Running>,
    /// Number of adapter slots.
    pub slots: usize,
    /// Maximum number of requests in one batch.
    pub batch: usize,
}
