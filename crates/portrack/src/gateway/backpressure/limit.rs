//! How many requests a second a server takes, by its own word.

use serde::{Deserialize, Serialize};

/// Requests a second that a server takes from all daemons together: finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RateLimit(f64);

impl RateLimit {
    /// A limit in requests a second; `None` for what is none.
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }

    /// Requests a second.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = &'static str;

    fn try_from(rate: f64) -> Result<Self, Self::Error> {
        Self::per_second(rate).ok_or("no number of requests a second")
    }
}

impl From<RateLimit> for f64 {
    fn from(limit: RateLimit) -> Self {
        limit.0
    }
}

/// What one answer says of its server's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitHint {
    /// It names none.
    #[default]
    Absent,
    /// It names one that cannot be read: it tells neither what the limit is nor that there is none.
    Invalid,
    /// It names this one.
    Value(RateLimit),
}

impl LimitHint {
    /// Reads one value; `None` where it is no number.
    pub fn of(rate: Option<f64>) -> Self {
        rate.and_then(RateLimit::per_second).map_or(Self::Invalid, Self::Value)
    }

    /// What an answer says that names a limit once more: the lowest one binds.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Value(one), Self::Value(two)) => Self::Value(if two < one { two } else { one }),
            (Self::Value(only), _) | (_, Self::Value(only)) => Self::Value(only),
            (Self::Invalid, _) | (_, Self::Invalid) => Self::Invalid,
            (Self::Absent, Self::Absent) => Self::Absent,
        }
    }
}
