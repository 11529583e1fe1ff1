//! How long changes are gathered between watches of the store. Every watch is a call with a price.

use std::time::Duration;

/// Between watches of a prefix that changes now and then.
const GATHER: Duration = Duration::from_millis(400);
/// Between watches of a prefix that changes all the time. Half of the time within which a leaving
/// server must get no more work.
const GATHER_BUSY: Duration = Duration::from_millis(1_000);
/// A watch that is answered sooner than this had changes waiting for it.
const AT_ONCE: Duration = Duration::from_millis(60);
/// A prefix changes all the time once this many watches in a row were answered at once.
const BUSY_AFTER: u32 = 3;

/// The pace of the watches of one prefix.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatchPacing {
    at_once: u32,
}

impl WatchPacing {
    /// The pause after a watch that `waited` for a change; `None` after a whole reading.
    pub fn after(&mut self, waited: Option<Duration>) -> Duration {
        self.at_once = match waited {
            Some(waited) if waited < AT_ONCE => self.at_once + 1,
            Some(_) | None => 0,
        };
        if self.at_once >= BUSY_AFTER { GATHER_BUSY } else { GATHER }
    }
}
