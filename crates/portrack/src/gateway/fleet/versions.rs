//! Which versions of an adapter may be used, and how the one for a request was chosen.

use crate::types::Time;
use std::time::Duration;

/// An older version may still be used for this long after a newer one became known, so that requests
/// need not wait while the newer one is loaded. With the time until its name is known everywhere,
/// and the time that a request may wait at its server, that stays below the 5 s after which users
/// allow no older version.
pub const VERSION_GRACE: Duration = Duration::from_millis(1_200);

/// The name of a version whose grace may not be over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RecentName {
    version: u64,
    learned_at: Time,
}

/// The named versions of one adapter, as far as they decide what may be used.
///
/// Each name ends the use of all versions below it, a grace after it became known *itself*. It is not
/// enough to keep the newest name and its time: version 1 then came back into use with the name of
/// version 3, for another grace, although version 2 had ended its use long before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncedVersions {
    newest: u64,
    learned_at: Option<Time>,
    /// The names above `oldest_usable`, the oldest first.
    recent: Vec<RecentName>,
    /// Versions below it are out of use for good.
    oldest_usable: u64,
}

impl AnnouncedVersions {
    /// The first name known. `learned_at` is `None` for a name that may be of any age: it gives
    /// older versions no grace.
    pub fn new(version: u64, learned_at: Option<Time>) -> Self {
        let mut names = Self { newest: 0, learned_at: None, recent: Vec::new(), oldest_usable: 0 };
        names.learn(version, learned_at);
        names
    }

    /// Takes a name in; false if it is not newer than those known. Whatever the order of names, it
    /// makes no version usable that was not before.
    pub fn learn(&mut self, version: u64, learned_at: Option<Time>) -> bool {
        if version <= self.newest {
            return false;
        }
        self.newest = version;
        self.learned_at = learned_at;
        match learned_at {
            Some(learned_at) => {
                self.end_graces(learned_at);
                self.recent.push(RecentName { version, learned_at });
            }
            None => {
                self.oldest_usable = version;
                self.recent.clear();
            }
        }
        true
    }

    /// The newest version named.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Forgets names whose grace is over, and keeps what they put out of use.
    fn end_graces(&mut self, now: Time) {
        self.oldest_usable = self.oldest_usable_at(now);
        let oldest = self.oldest_usable;
        self.recent.retain(|name| name.version > oldest);
    }

    fn oldest_usable_at(&self, now: Time) -> u64 {
        let over = |name: &&RecentName| now.since(name.learned_at) >= VERSION_GRACE;
        let ended = self.recent.iter().filter(over).map(|name| name.version);
        ended.max().unwrap_or(0).max(self.oldest_usable)
    }

    /// What they amount to at this moment.
    pub fn at(&self, now: Time) -> UsableVersions {
        UsableVersions {
            newest: self.newest,
            oldest: self.oldest_usable_at(now),
            newest_known_for: self.learned_at.map(|at| now.since(at)),
        }
    }
}

/// The versions of an adapter that may be used at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsableVersions {
    /// The newest one named.
    pub newest: u64,
    /// The oldest one that may still be used where the newest is missing or busy.
    pub oldest: u64,
    /// Since when the newest is known; `None` if its name may be of any age.
    pub newest_known_for: Option<Duration>,
}

/// How the version for a request was chosen, for its log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionChoice {
    /// What the chosen server is believed to hold.
    pub held: u64,
    /// What could be used then; `None` if nobody ever named a version.
    pub usable: Option<UsableVersions>,
}

impl VersionChoice {
    /// What the server is told that it must hold; `None` if it may run any version. Once a version was
    /// named, the server is told which one is meant, also if it is an older one: a server that holds
    /// something else than believed turns the request away in place of running it.
    pub fn demanded(&self) -> Option<u64> {
        self.usable.map(|_| self.held)
    }

    /// True if a newer version was known when the server was chosen.
    pub fn is_older(&self) -> bool {
        self.usable.is_some_and(|usable| self.held < usable.newest)
    }
}

/// A [`VersionChoice`] as the fields of a log line; all 0 if no server with an adapter was chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::gateway) struct VersionFields {
    /// What the server is believed to hold.
    pub held: u64,
    /// What it is told that it must hold; 0 if it may run any version.
    pub demanded: u64,
    /// The newest version named; 0 if nobody ever named one.
    pub newest: u64,
    /// The oldest that could still be used; 0 likewise.
    pub oldest: u64,
    /// Since when the newest is known, in milliseconds; -1 if its name may be of any age.
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
