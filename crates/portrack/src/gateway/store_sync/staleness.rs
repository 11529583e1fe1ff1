//! How old news of the store may be, for those who act on it.

use crate::gateway::requests::handler::RequestHandler;
use std::time::Duration;

/// The age of what a daemon knows of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Staleness {
    /// So long ago the store held nothing that the daemon does not know.
    AtMost(Duration),
    /// It may be of any age.
    Unknown,
}

impl Staleness {
    /// The age of a proof, if there is one.
    pub fn of(proof: Option<Duration>) -> Self {
        proof.map_or(Self::Unknown, Self::AtMost)
    }

    /// True if it is proven and no older than a bound.
    pub fn is_within(self, bound: Duration) -> bool {
        matches!(self, Self::AtMost(age) if age <= bound)
    }

    /// In milliseconds, -1 if it may be any.
    pub fn millis(self) -> i64 {
        match self {
            Self::AtMost(age) => i64::try_from(age.as_millis()).unwrap_or(i64::MAX),
            Self::Unknown => -1,
        }
    }
}

impl RequestHandler {
    /// How old what this daemon knows of the store may be.
    pub fn staleness(&self) -> Staleness {
        Staleness::of(self.proof.age(self.clock.now()))
    }
}
