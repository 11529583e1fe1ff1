//! How stale this daemon's copy of the store may be.

use crate::gateway::requests::handler::RequestHandler;
use std::time::Duration;

/// An upper bound on the staleness of a daemon's copy of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Staleness {
    /// The copy contained everything that the store held this long ago.
    AtMost(Duration),
    /// No bound is known.
    Unknown,
}

impl Staleness {
    /// The staleness that a freshness proof of this age allows.
    pub fn from_proof(proof: Option<Duration>) -> Self {
        proof.map_or(Self::Unknown, Self::AtMost)
    }

    /// Returns true if the staleness is known and at most `bound`.
    pub fn is_within(self, bound: Duration) -> bool {
        matches!(self, Self::AtMost(age) if age <= bound)
    }

    /// The staleness in milliseconds, or -1 if it is unknown.
    pub fn millis(self) -> i64 {
        match self {
            Self::AtMost(age) => i64::try_from(age.as_millis()).unwrap_or(i64::MAX),
            Self::Unknown => -1,
        }
    }
}

impl RequestHandler {
    /// How stale this daemon's copy of the store may be.
    pub fn staleness(&self) -> Staleness {
        Staleness::from_proof(self.proof.age(self.clock.now()))
    }
}
