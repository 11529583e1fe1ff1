//! What daemons tell each other of limits.

use super::limit::RateLimit;
use super::limit_state::LimitObservation;
use crate::types::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Reports in one datagram: 25 bytes each at most.
pub const REPORTS: usize = 48;
/// A datagram may be on its way for so long, so what it tells may be so much older than it says. Without it a word from
/// before a limit was named could end it.
const ON_ITS_WAY: Duration = Duration::from_millis(250);

/// What a daemon believes of one life of a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server, by the mark of its life.
    pub server: u32,
    /// The limit that it names; `None` if it names none any more.
    pub limit: Option<RateLimit>,
    /// How long ago the request was sent whose answer said so, in milliseconds.
    pub asked_ms: u32,
    /// How long ago that answer came, in milliseconds.
    pub heard_ms: u32,
}

impl LimitReport {
    /// What evidence says, told at `now`.
    pub fn new(now: Time, server: u32, evidence: LimitObservation) -> Self {
        let ms = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let LimitObservation { limit, asked_at, heard_at } = evidence;
        Self { server, limit, asked_ms: ms(asked_at), heard_ms: ms(heard_at) }
    }

    /// The evidence, as far as a daemon that hears of it at `now` can tell.
    pub fn evidence(&self, now: Time) -> LimitObservation {
        let before = |ms: u32| now - Duration::from_millis(ms.into());
        let (asked_at, heard_at) = (before(self.asked_ms) - ON_ITS_WAY, before(self.heard_ms));
        LimitObservation { limit: self.limit, asked_at, heard_at }
    }
}
