//! Messages between daemons about limits.

use super::limit::RateLimit;
use super::limit_state::LimitObservation;
use crate::types::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Reports per datagram: at most 25 bytes each.
pub const REPORTS_PER_DATAGRAM: usize = 48;
/// Possible delay of a datagram, by which its contents may be older than stated. Without it a
/// report from before a limit was advertised could end that limit.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// What a daemon knows about the limit of one incarnation of a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Incarnation hash of the server.
    pub server: u32,
    /// The limit; `None` if the server has none any more.
    pub limit: Option<RateLimit>,
    /// Milliseconds since the request was sent whose response stated it.
    pub asked_ms: u32,
    /// Milliseconds since that response arrived.
    pub heard_ms: u32,
}

impl LimitReport {
    /// Creates the report of an observation at `now`.
    pub fn new(now: Time, server: u32, observation: LimitObservation) -> Self {
        let ms = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let LimitObservation { limit, sent_at, received_at } = observation;
        Self { server, limit, asked_ms: ms(sent_at), heard_ms: ms(received_at) }
    }

    /// The observation, as seen by a daemon that receives the report at `now`.
    pub fn observation(&self, now: Time) -> LimitObservation {
        let before = |ms: u32| now - Duration::from_millis(ms.into());
        let (sent_at, received_at) = (before(self.asked_ms) - MAX_DELAY, before(self.heard_ms));
        LimitObservation { limit: self.limit, sent_at, received_at }
    }
}
