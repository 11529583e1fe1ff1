//! How old news of the store may be, for those who act on it.

use crate::gateway::requests::path::RequestPath;
use std::time::Duration;

/// The age of what a daemon knows of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewsAge {
    /// So long ago the store held nothing that the daemon does not know.
    Proven(Duration),
    /// It may be of any age.
    Unknown,
}

impl NewsAge {
    /// The age of a proof, if there is one.
    pub fn of(proof: Option<Duration>) -> Self {
        proof.map_or(Self::Unknown, Self::Proven)
    }

    /// True if it is proven and no older than a bound.
    pub fn is_within(self, bound: Duration) -> bool {
        matches!(self, Self::Proven(age) if age <= bound)
    }

    /// In milliseconds, -1 if it may be any.
    pub fn millis(self) -> i64 {
        match self {
            Self::Proven(age) => i64::try_from(age.as_millis()).unwrap_or(i64::MAX),
            Self::Unknown => -1,
        }
    }
}

impl RequestPath {
    /// How old what this daemon knows of the store may be.
    pub fn news_age(&self) -> NewsAge {
        NewsAge::of(self.proof.age(self.clock.now()))
    }
}
