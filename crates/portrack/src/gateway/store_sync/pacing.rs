//! The pause between watches of the store, in which changes accumulate. Every watch is a call that
//! has a cost.

use std::time::Duration;

/// Pause between watches of a store that changes now and then. After 0.4 s a configuration change
/// still takes effect well within the two seconds that deployments set.
const BATCH_PAUSE: Duration = Duration::from_millis(400);
/// Pause between watches of a store that changes constantly, as a share of the time within which
/// changes must arrive: half, so that one slow response does no harm.
const BUSY_SHARE: f64 = 0.5;
/// The same share where other daemons follow this one: if it loses the store, they have to notice
/// that and switch to another source within the same time.
const SERVING_SHARE: f64 = 0.25;
/// A watch that is answered sooner than this had changes waiting for it.
const IMMEDIATE_RESPONSE: Duration = Duration::from_millis(60);
/// The store counts as constantly changing after this many consecutive watches that were answered
/// immediately.
const BUSY_AFTER: u32 = 3;

/// Computes the pause after each watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPacing {
    busy_pause: Duration,
    serving_pause: Duration,
    immediate_responses: u32,
}

impl WatchPacing {
    /// The pacing for changes that must be known `within` a time.
    pub fn new(within: Duration) -> Self {
        Self {
            busy_pause: within.mul_f64(BUSY_SHARE).max(BATCH_PAUSE),
            serving_pause: within.mul_f64(SERVING_SHARE).max(BATCH_PAUSE),
            immediate_responses: 0,
        }
    }

    /// The pause after a watch that `waited` for a change, or `None` after a complete read. `feeds`
    /// is true where other daemons follow this one.
    pub fn after(&mut self, waited: Option<Duration>, feeds: bool) -> Duration {
        self.immediate_responses = match waited {
            Some(waited) if waited < IMMEDIATE_RESPONSE => self.immediate_responses + 1,
            Some(_) | None => 0,
        };
        match (self.immediate_responses >= BUSY_AFTER, feeds) {
            (false, _) => BATCH_PAUSE,
            (true, false) => self.busy_pause,
            (true, true) => self.serving_pause,
        }
    }
}
