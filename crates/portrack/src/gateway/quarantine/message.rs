//! What nodes tell each other of requests that servers ended under.

use super::fingerprint::RequestFingerprint;
use super::suspect_requests::HeldRequest;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Items in one datagram: 26 bytes each at most.
pub const ITEMS: usize = 48;

/// What nodes tell each other of such requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// Servers ended under requests.
    Ended(Vec<EndReport>),
    /// Requests are held back.
    Held(Vec<HoldReport>),
    /// Servers ran requests and live.
    Served(Vec<RequestFingerprint>),
}

/// The end of a server under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// The request.
    pub mark: RequestFingerprint,
    /// The server's life, by its mark.
    pub life: u32,
    /// How long ago it ended, in milliseconds.
    pub age_ms: u32,
}

/// A request that is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReport {
    /// The request.
    pub mark: RequestFingerprint,
    /// How many times it has been held back.
    pub number: u32,
    /// For how much longer, in milliseconds.
    pub left_ms: u32,
}

impl From<HeldRequest> for HoldReport {
    fn from(held: HeldRequest) -> Self {
        let left_ms = u32::try_from(held.left.as_millis()).unwrap_or(u32::MAX);
        Self { mark: held.mark, number: held.number, left_ms }
    }
}

impl From<HoldReport> for HeldRequest {
    fn from(report: HoldReport) -> Self {
        let left = Duration::from_millis(report.left_ms.into());
        Self { mark: report.mark, number: report.number, left }
    }
}
