//! Messages between nodes about requests, and parts of prompts, under which servers ended.

use super::fingerprint::RequestFingerprint;
use super::suspect_requests::HeldRequest;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum number of items in one datagram: each takes up to 26 bytes.
pub const MAX_ITEMS: usize = 48;
/// The same for ends under parts, which take up to 31 bytes.
pub const MAX_PART_ENDS: usize = 40;

/// A message about such requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// Servers ended under requests.
    Ended(Vec<EndReport>),
    /// Requests are held back.
    Held(Vec<HoldReport>),
    /// Requests were served.
    Served(Vec<RequestFingerprint>),
    /// Servers ended under requests with parts of prompts.
    PartsEnded(Vec<PartEndReport>),
    /// Requests with parts of prompts are held back.
    PartsHeld(Vec<HoldReport>),
    /// Requests with parts of prompts were served.
    PartsServed(Vec<RequestFingerprint>),
}

impl QuarantineMessage {
    /// The ends that it tells, of requests and parts.
    pub fn ends(&self) -> Vec<EndReport> {
        match self {
            Self::Ended(all) => all.clone(),
            Self::PartsEnded(all) => all.iter().map(|report| report.end).collect(),
            Self::Held(_) | Self::Served(_) | Self::PartsHeld(_) | Self::PartsServed(_) => {
                Vec::new()
            }
        }
    }
}

impl HoldReport {
    /// The same about a part.
    pub fn as_part(self) -> Self {
        Self { fingerprint: self.fingerprint.as_part(), ..self }
    }
}

/// The end of a server under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// The request.
    #[serde(rename = "mark")]
    pub fingerprint: RequestFingerprint,
    /// The hash of the server's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u32,
    /// How long ago it ended, in milliseconds.
    pub age_ms: u32,
}

/// The end of a server under a request with a part of prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEndReport {
    /// The end, under the part.
    pub end: EndReport,
    /// How long before its end such a request was sent to it last, in milliseconds.
    pub run_ms: u32,
}

/// A request that is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReport {
    /// The request.
    #[serde(rename = "mark")]
    pub fingerprint: RequestFingerprint,
    /// How many times it has been held back.
    pub number: u32,
    /// The remaining time, in milliseconds.
    pub left_ms: u32,
}

impl From<HeldRequest> for HoldReport {
    fn from(held: HeldRequest) -> Self {
        let left_ms = u32::try_from(held.remaining.as_millis()).unwrap_or(u32::MAX);
        Self { fingerprint: held.fingerprint, number: held.number, left_ms }
    }
}

impl From<HoldReport> for HeldRequest {
    fn from(report: HoldReport) -> Self {
        let remaining = Duration::from_millis(report.left_ms.into());
        Self { fingerprint: report.fingerprint, number: report.number, remaining }
    }
}
