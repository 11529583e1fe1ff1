//! The backoff that a server asks this node for.

use std::time::Duration;

/// Longer backoffs are cut to this, one year; nothing beyond that matters.
const MAX_BACKOFF: Duration = Duration::from_secs(365 * 24 * 3_600);

/// The backoff in one response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum BackoffHint {
    /// The response contains none.
    #[default]
    Absent,
    /// The response contains an unreadable backoff.
    Invalid,
    /// The backoff.
    Value(Duration),
}

impl BackoffHint {
    /// Parses a backoff in seconds; `None` if it is not a number.
    pub fn of(seconds: Option<f64>) -> Self {
        let seconds = seconds.filter(|seconds| *seconds >= 0.0);
        let backoff =
            |seconds| Duration::try_from_secs_f64(seconds).unwrap_or(MAX_BACKOFF).min(MAX_BACKOFF);
        seconds.map_or(Self::Invalid, |seconds| Self::Value(backoff(seconds)))
    }

    /// Combines two backoffs of one response: the longer one applies.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Value(one), Self::Value(two)) => Self::Value(one.max(two)),
            (Self::Value(only), _) | (_, Self::Value(only)) => Self::Value(only),
            (Self::Invalid, _) | (_, Self::Invalid) => Self::Invalid,
            (Self::Absent, Self::Absent) => Self::Absent,
        }
    }

    /// The backoff, if there is a readable one.
    pub fn get(self) -> Option<Duration> {
        match self {
            Self::Value(backoff) => Some(backoff),
            Self::Absent | Self::Invalid => None,
        }
    }
}
