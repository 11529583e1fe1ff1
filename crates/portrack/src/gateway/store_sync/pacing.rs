//! How long changes are gathered between watches of the store. Every watch is a call with a price.

use std::time::Duration;

/// Between watches of a store that changes now and then; in 0.4 s a change of the configuration is
/// still in force well within the two seconds that deployments set.
const GATHER: Duration = Duration::from_millis(400);
/// Between watches of a store that changes all the time, as a share of the time within which news
/// must have come: half, so that one slow answer does no harm.
const BUSY_SHARE: f64 = 0.5;
/// The same where other daemons learn from this one: it may lose the store, and they then have to
/// notice it and turn to another one within the same time.
const FEEDING_SHARE: f64 = 0.25;
/// A watch that is answered sooner than this had changes waiting for it.
const AT_ONCE: Duration = Duration::from_millis(60);
/// The store changes all the time once this many watches in a row were answered at once.
const BUSY_AFTER: u32 = 3;

/// The pace of the watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPacing {
    gather_busy: Duration,
    gather_feeding: Duration,
    at_once: u32,
}

impl WatchPacing {
    /// The pace where news must be known `within` a time.
    pub fn new(within: Duration) -> Self {
        Self {
            gather_busy: within.mul_f64(BUSY_SHARE).max(GATHER),
            gather_feeding: within.mul_f64(FEEDING_SHARE).max(GATHER),
            at_once: 0,
        }
    }

    /// The pause after a watch that `waited` for a change; `None` after a whole reading. `feeds` is
    /// true where other daemons learn from this one.
    pub fn after(&mut self, waited: Option<Duration>, feeds: bool) -> Duration {
        self.at_once = match waited {
            Some(waited) if waited < AT_ONCE => self.at_once + 1,
            Some(_) | None => 0,
        };
        match (self.at_once >= BUSY_AFTER, feeds) {
            (false, _) => GATHER,
            (true, false) => self.gather_busy,
            (true, true) => self.gather_feeding,
        }
    }
}
