//! Which version of an adapter a request was sent for, and what was known then.

use std::time::Duration;

/// How the version for a request was chosen, for its log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionChoice {
    /// What the chosen server is believed to hold.
    pub held: u64,
    /// What the server is told that it must hold; `None` if it may run any version.
    pub demanded: Option<u64>,
    /// The newest version named; `None` if nobody ever named one.
    pub newest: Option<u64>,
    /// Since when the newest is known; `None` if it was named before this daemon knew anything.
    pub newest_known_for: Option<Duration>,
}

impl VersionChoice {
    /// True if a newer version was known when the server was chosen.
    pub fn is_older(&self) -> bool {
        self.newest.is_some_and(|newest| self.held < newest)
    }
}

/// A [`VersionChoice`] as the fields of a log line; all 0 if no server with an adapter was chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct VersionFields {
    /// What the server is believed to hold.
    pub held: u64,
    /// What it is told that it must hold; 0 if it may run any version.
    pub demanded: u64,
    /// The newest version named; 0 if nobody ever named one.
    pub newest: u64,
    /// Since when the newest is known, in milliseconds; -1 if it was named before this daemon knew
    /// anything.
    pub newest_ms: i64,
}

impl From<Option<VersionChoice>> for VersionFields {
    fn from(choice: Option<VersionChoice>) -> Self {
        let Some(choice) = choice else { return Self::default() };
        let known_for = choice.newest_known_for.map(|known| known.as_millis());
        Self {
            held: choice.held,
            demanded: choice.demanded.unwrap_or(0),
            newest: choice.newest.unwrap_or(0),
            newest_ms: known_for.and_then(|ms| i64::try_from(ms).ok()).unwrap_or(-1),
        }
    }
}
