//! Determines which versions of an adapter may be used, and how the one for a request was chosen.

use crate::types::Time;
use std::time::Duration;

/// For this long after a newer version became known an older one may still be used, so that
/// requests need not wait while the newer one loads. Together with the time until the announcement
/// is known everywhere and the time that a request may wait at its server, this stays below the 5 s
/// after which users allow no older version.
pub const VERSION_GRACE: Duration = Duration::from_millis(1_200);

/// An announced version whose grace period may still run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RecentAnnouncement {
    version: u64,
    learned_at: Time,
}

/// The announced versions of one adapter, as far as they affect what may be used.
///
/// Each announcement ends the use of all lower versions one grace period after it became known
/// *itself*. Keeping only the newest announcement and its time is not enough: version 1 then became
/// usable again with the announcement of version 3, for another grace period, although version 2
/// had ended its use long before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncedVersions {
    newest: u64,
    learned_at: Option<Time>,
    /// Announcements above `oldest_usable`, the oldest first.
    recent: Vec<RecentAnnouncement>,
    /// Lower versions are never usable again.
    oldest_usable: u64,
}

impl AnnouncedVersions {
    /// Starts with the first announcement. `learned_at` is `None` if its age is unknown: it then
    /// gives older versions no grace period.
    pub fn new(version: u64, learned_at: Option<Time>) -> Self {
        let mut announced =
            Self { newest: 0, learned_at: None, recent: Vec::new(), oldest_usable: 0 };
        announced.learn(version, learned_at);
        announced
    }

    /// Applies an announcement. Returns false if it is not newer than those known. Whatever the
    /// order of announcements, none makes a version usable that was not usable before.
    pub fn learn(&mut self, version: u64, learned_at: Option<Time>) -> bool {
        if version <= self.newest {
            return false;
        }
        self.newest = version;
        self.learned_at = learned_at;
        match learned_at {
            Some(learned_at) => {
                self.expire_grace_periods(learned_at);
                self.recent.push(RecentAnnouncement { version, learned_at });
            }
            None => {
                self.oldest_usable = version;
                self.recent.clear();
            }
        }
        true
    }

    /// The newest announced version.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Drops announcements whose grace period is over, and keeps their effect.
    fn expire_grace_periods(&mut self, now: Time) {
        self.oldest_usable = self.oldest_usable_at(now);
        let oldest = self.oldest_usable;
        self.recent.retain(|announcement| announcement.version > oldest);
    }

    fn oldest_usable_at(&self, now: Time) -> u64 {
        let over = |announcement: &&RecentAnnouncement| {
            now.since(announcement.learned_at) >= VERSION_GRACE
        };
        let ended = self.recent.iter().filter(over).map(|announcement| announcement.version);
        ended.max().unwrap_or(0).max(self.oldest_usable)
    }

    /// Computes the usable versions at a time.
    pub fn at(&self, now: Time) -> UsableVersions {
        UsableVersions {
            newest: self.newest,
            oldest: self.oldest_usable_at(now),
            newest_known_for: self.learned_at.map(|at| now.since(at)),
        }
    }
}

/// The versions of an adapter that may be used at a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsableVersions {
    /// The newest announced version.
    pub newest: u64,
    /// The oldest version that may still be used if the newest is missing or busy.
    pub oldest: u64,
    /// Time since the newest version became known; `None` if its age is unknown.
    pub newest_known_for: Option<Duration>,
}

/// How the version for a request was chosen, for its log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionChoice {
    /// The version that the chosen server is assumed to hold.
    pub held: u64,
    /// The versions that were usable then; `None` if no version was ever announced.
    pub usable: Option<UsableVersions>,
}

impl VersionChoice {
    /// The version that the server is required to hold; `None` if it may run any version. Once a
    /// version was announced, the required version is always sent, even an older one: a server that
    /// holds another version than assumed then rejects the request instead of running it.
    pub fn demanded(&self) -> Option<u64> {
        self.usable.map(|_| self.held)
    }

    /// Returns true if a newer version was known when the server was chosen.
    pub fn is_older(&self) -> bool {
        self.usable.is_some_and(|usable| self.held < usable.newest)
    }
}

/// A [`VersionChoice`] as the fields of a log line; all 0 if no server with an adapter was chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::gateway) struct VersionFields {
    /// The version that the server is assumed to hold.
    pub held: u64,
    /// The version that it is required to hold; 0 if it may run any version.
    pub demanded: u64,
    /// The newest announced version; 0 if there was none.
    pub newest: u64,
    /// The oldest usable version; 0 if none was announced.
    pub oldest: u64,
    /// Milliseconds since the newest version became known; -1 if its age is unknown.
    pub newest_ms: i64,
}

impl From<Option<VersionChoice>> for VersionFields {
    fn from(choice: Option<VersionChoice>) -> Self {
        let Some(choice) = choice else { return Self::default() };
        let known_for = choice.usable.and_then(|usable| usable.newest_known_for);
        let known_ms = known_for.and_then(|known| i64::try_from(known.as_millis()).ok());
        Self {
            held: choice.held,
            demanded: choice.demanded().unwrap_or(0),
            newest: choice.usable.map_or(0, |usable| usable.newest),
            oldest: choice.usable.map_or(0, |usable| usable.oldest),
            newest_ms: known_ms.unwrap_or(-1),
        }
    }
}
