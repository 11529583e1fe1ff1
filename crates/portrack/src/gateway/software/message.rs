//! Messages between daemons about the origins of streams.

use super::origin::{Origin, StreamKey};
use super::origin_table::KnownOrigin;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Origins per datagram.
pub const MAX_REPORTS: usize = 16;

/// A message about origins of streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Streams have begun.
    Began(Vec<OriginReport>),
    /// Asks where a stream began.
    Ask {
        /// The sender's number of this call.
        call: u32,
        /// The stream.
        key: StreamKey,
    },
    /// Answers a call.
    Answer {
        /// The receiver's number of the call.
        call: u32,
        /// What the sender knows.
        origin: OriginAnswer,
    },
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// The stream.
    pub key: StreamKey,
    /// The service.
    pub service: String,
    /// The software version.
    pub software: String,
    /// How long ago it began, in milliseconds.
    pub age_ms: u32,
}

/// What a daemon knows of a stream's origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginAnswer {
    /// Nothing.
    Unknown,
    /// Two origins were reported.
    Conflicting,
    /// It began there.
    At(OriginReport),
}

impl OriginReport {
    /// The report of an origin.
    pub fn new(key: StreamKey, origin: &Origin, age: Duration) -> Self {
        Self {
            key,
            service: origin.service.to_string(),
            software: origin.software.to_string(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// The origin.
    pub fn origin(&self) -> Origin {
        Origin { service: self.service.as_str().into(), software: self.software.as_str().into() }
    }

    /// How long ago the stream began.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }
}

impl OriginAnswer {
    /// The answer that tells what is known of a stream.
    pub fn new(key: StreamKey, known: Option<KnownOrigin>) -> Self {
        match known {
            None => Self::Unknown,
            Some(KnownOrigin::Conflicting) => Self::Conflicting,
            Some(KnownOrigin::At(origin, age)) => Self::At(OriginReport::new(key, &origin, age)),
        }
    }
}
