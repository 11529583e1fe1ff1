//! Rate limits that servers advertise.

use serde::{Deserialize, Serialize};

/// Requests per second that a server accepts from all daemons together: finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RateLimit(f64);

impl RateLimit {
    /// Creates a limit in requests per second; `None` if the value is invalid.
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }

    /// Requests per second.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = &'static str;

    fn try_from(rate: f64) -> Result<Self, Self::Error> {
        Self::per_second(rate).ok_or("not a valid number of requests per second")
    }
}

impl From<RateLimit> for f64 {
    fn from(limit: RateLimit) -> Self {
        limit.0
    }
}

/// The limit in one response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitHint {
    /// The response contains none.
    #[default]
    Absent,
    /// The response contains an unreadable limit: neither its value nor the lack of a limit is
    /// known.
    Invalid,
    /// The limit.
    Value(RateLimit),
}

impl LimitHint {
    /// Parses one value; `None` if it is not a number.
    pub fn of(rate: Option<f64>) -> Self {
        rate.and_then(RateLimit::per_second).map_or(Self::Invalid, Self::Value)
    }

    /// Combines two limits of one response: the lower one applies.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Value(one), Self::Value(two)) => Self::Value(if two < one { two } else { one }),
            (Self::Value(only), _) | (_, Self::Value(only)) => Self::Value(only),
            (Self::Invalid, _) | (_, Self::Invalid) => Self::Invalid,
            (Self::Absent, Self::Absent) => Self::Absent,
        }
    }
}
