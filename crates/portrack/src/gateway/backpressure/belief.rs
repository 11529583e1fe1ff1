//! What is believed of one server's limit, and on which evidence.

use super::limit::RateLimit;
use crate::types::Time;
use std::cmp::Ordering;

/// What one answer showed: the server said it at some time between the two.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitEvidence {
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
pub struct LimitBelief(LimitEvidence);

impl LimitBelief {
    /// A belief on first evidence.
    pub fn new(evidence: LimitEvidence) -> Self {
        Self(evidence)
    }

    /// The limit in force, if any.
    pub fn limit(&self) -> Option<RateLimit> {
        self.0.limit
    }

    /// The evidence it rests on.
    pub fn evidence(&self) -> LimitEvidence {
        self.0
    }

    /// Takes further evidence in; true if that changes the limit.
    pub fn take(&mut self, new: LimitEvidence) -> bool {
        match width(new.limit).total_cmp(&width(self.0.limit)) {
            Ordering::Equal => {
                self.0.asked_at = self.0.asked_at.max(new.asked_at);
                self.0.heard_at = self.0.heard_at.max(new.heard_at);
                false
            }
            Ordering::Less if new.heard_at >= self.0.asked_at => {
                self.0 = new;
                true
            }
            Ordering::Greater if new.asked_at > self.0.heard_at => {
                self.0 = new;
                true
            }
            Ordering::Less | Ordering::Greater => false,
        }
    }
}

/// Requests a second that a limit lets through.
fn width(limit: Option<RateLimit>) -> f64 {
    limit.map_or(f64::INFINITY, RateLimit::get)
}
