//! For how long a server wants nothing from this node, by its own word.

use std::time::Duration;

/// A rest that is longer is cut to this, a year: what comes after it is not reckoned with.
const LONGEST: Duration = Duration::from_secs(365 * 24 * 3_600);

/// What one answer says of a rest.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedRest {
    /// It names none.
    #[default]
    Unnamed,
    /// It names one that cannot be read.
    Unreadable,
    /// It names this one.
    Named(Duration),
}

impl NamedRest {
    /// A rest of so many seconds; `None` where it is no number.
    pub fn of(seconds: Option<f64>) -> Self {
        let seconds = seconds.filter(|seconds| *seconds >= 0.0);
        let rest = |seconds| Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST).min(LONGEST);
        seconds.map_or(Self::Unreadable, |seconds| Self::Named(rest(seconds)))
    }

    /// What an answer says that names a rest once more: the longest one binds.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Named(one), Self::Named(two)) => Self::Named(one.max(two)),
            (Self::Named(only), _) | (_, Self::Named(only)) => Self::Named(only),
            (Self::Unreadable, _) | (_, Self::Unreadable) => Self::Unreadable,
            (Self::Unnamed, Self::Unnamed) => Self::Unnamed,
        }
    }

    /// The rest, if one is named that can be read.
    pub fn get(self) -> Option<Duration> {
        match self {
            Self::Named(rest) => Some(rest),
            Self::Unnamed | Self::Unreadable => None,
        }
    }
}
