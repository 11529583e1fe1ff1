//! The limit of one server, and the observation that it is based on.

use super::limit::RateLimit;
use crate::types::Time;
use std::cmp::Ordering;

/// What one response showed. The server stated it at some time between the two times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitObservation {
    /// The limit; `None` if the response contained none.
    pub limit: Option<RateLimit>,
    /// When the request was sent.
    pub sent_at: Time,
    /// When the response arrived.
    pub received_at: Time,
}

/// Limit state of one incarnation of a server.
///
/// Responses overtake each other, and reports of other daemons arrive late and more than once. A
/// looser limit than the known one counts only if it was certainly stated later; one that is as
/// tight or tighter counts unless it was certainly stated earlier.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitState {
    observation: LimitObservation,
    /// When the server was first seen to advertise a limit, without interruption since.
    since: Time,
}

impl LimitState {
    /// Creates the state from a first observation.
    pub fn new(observation: LimitObservation) -> Self {
        Self { observation, since: observation.received_at }
    }

    /// The limit in force, if any.
    pub fn limit(&self) -> Option<RateLimit> {
        self.observation.limit
    }

    /// Since when a limit has been in force, even if its value changed.
    pub fn since(&self) -> Time {
        self.since
    }

    /// The observation that the state is based on.
    pub fn observation(&self) -> LimitObservation {
        self.observation
    }

    /// Applies another observation. Returns true if the limit changed.
    pub fn apply(&mut self, new: LimitObservation) -> bool {
        let known = &mut self.observation;
        match allowed_rate(new.limit).total_cmp(&allowed_rate(known.limit)) {
            Ordering::Equal => {
                known.sent_at = known.sent_at.max(new.sent_at);
                known.received_at = known.received_at.max(new.received_at);
                false
            }
            Ordering::Less if new.received_at >= known.sent_at => self.replace(new),
            Ordering::Greater if new.sent_at > known.received_at => self.replace(new),
            Ordering::Less | Ordering::Greater => false,
        }
    }

    fn replace(&mut self, new: LimitObservation) -> bool {
        if self.observation.limit.is_none() {
            self.since = new.received_at;
        }
        self.observation = new;
        true
    }
}

/// Requests per second that a limit allows.
fn allowed_rate(limit: Option<RateLimit>) -> f64 {
    limit.map_or(f64::INFINITY, RateLimit::get)
}
