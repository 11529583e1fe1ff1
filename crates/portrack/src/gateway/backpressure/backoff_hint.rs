//! For how long a server wants nothing from this node, by its own word.

use std::time::Duration;

/// A rest that is longer is cut to this, a year: what comes after it is not reckoned with.
const LONGEST: Duration = Duration::from_secs(365 * 24 * 3_600);

/// What one answer says of a rest.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum BackoffHint {
    /// It names none.
    #[default]
    Absent,
    /// It names one that cannot be read.
    Invalid,
    /// It names this one.
    Value(Duration),
}

impl BackoffHint {
    /// A rest of so many seconds; `None` where it is no number.
    pub fn of(seconds: Option<f64>) -> Self {
        let seconds = seconds.filter(|seconds| *seconds >= 0.0);
        let rest = |seconds| Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST).min(LONGEST);
        seconds.map_or(Self::Invalid, |seconds| Self::Value(rest(seconds)))
    }

    /// What an answer says that names a rest once more: the longest one binds.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Value(one), Self::Value(two)) => Self::Value(one.max(two)),
            (Self::Value(only), _) | (_, Self::Value(only)) => Self::Value(only),
            (Self::Invalid, _) | (_, Self::Invalid) => Self::Invalid,
            (Self::Absent, Self::Absent) => Self::Absent,
        }
    }

    /// The rest, if one is named that can be read.
    pub fn get(self) -> Option<Duration> {
        match self {
            Self::Value(rest) => Some(rest),
            Self::Absent | Self::Invalid => None,
        }
    }
}
