//! What is believed of one server's limit, and on which evidence.

use super::limit::RateLimit;
use crate::types::Time;
use std::cmp::Ordering;

/// What one answer showed: the server said it at some time between the two.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitObservation {
    /// The limit; `None` if the answer named none.
    pub limit: Option<RateLimit>,
    /// When the request was sent.
    pub asked_at: Time,
    /// When the answer came.
    pub heard_at: Time,
}

/// What is believed of one life of a server.
///
/// Answers overtake each other, and other daemons tell late and twice. What binds less than what is believed counts
/// only if it was certainly said later; what binds as much or more counts unless it was certainly said before.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitState {
    evidence: LimitObservation,
    /// When the server was first heard to name a limit, of those without a break up to now.
    since: Time,
}

impl LimitState {
    /// A belief on first evidence.
    pub fn new(evidence: LimitObservation) -> Self {
        Self { evidence, since: evidence.heard_at }
    }

    /// The limit in force, if any.
    pub fn limit(&self) -> Option<RateLimit> {
        self.evidence.limit
    }

    /// Since when a limit is in force, whether or not it was the same all the time.
    pub fn since(&self) -> Time {
        self.since
    }

    /// The evidence it rests on.
    pub fn evidence(&self) -> LimitObservation {
        self.evidence
    }

    /// Takes further evidence in; true if that changes the limit.
    pub fn take(&mut self, new: LimitObservation) -> bool {
        let known = &mut self.evidence;
        match width(new.limit).total_cmp(&width(known.limit)) {
            Ordering::Equal => {
                known.asked_at = known.asked_at.max(new.asked_at);
                known.heard_at = known.heard_at.max(new.heard_at);
                false
            }
            Ordering::Less if new.heard_at >= known.asked_at => self.replace(new),
            Ordering::Greater if new.asked_at > known.heard_at => self.replace(new),
            Ordering::Less | Ordering::Greater => false,
        }
    }

    fn replace(&mut self, new: LimitObservation) -> bool {
        if self.evidence.limit.is_none() {
            self.since = new.heard_at;
        }
        self.evidence = new;
        true
    }
}

/// Requests a second that a limit lets through.
fn width(limit: Option<RateLimit>) -> f64 {
    limit.map_or(f64::INFINITY, RateLimit::get)
}
