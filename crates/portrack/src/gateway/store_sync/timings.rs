//! Timeouts and intervals of store synchronisation, all derived from the time within which a change
//! must reach every daemon.

use std::time::Duration;

/// The longest watch of the store. It is capped because followers learn of a loss of the store only
/// after the watch has ended.
const MAX_WATCH: Duration = Duration::from_millis(1_000);
/// Share for one watch of a store in which nothing changes.
const WATCH_SHARE: f64 = 1.0 / 6.0;
/// Share for the longest pause between two watches.
const PAUSE_SHARE: f64 = 0.2;
/// Share for a response that the store or a daemon sends immediately.
const RESPONSE_SHARE: f64 = 0.05;
/// Share for the interval between a follower's freshness queries, and between frames without
/// changes.
const QUERY_SHARE: f64 = 0.1;
/// Share for the first response of another daemon: connecting and one query, also between regions.
const FIRST_RESPONSE_SHARE: f64 = 0.1;
/// Share after which a feed that sends nothing is dropped: two frames are late by then.
const SILENCE_SHARE: f64 = 0.2;
/// Share for the rest of a large reply, within which no other is received beside it.
const REPLY_SHARE: f64 = 0.5;
/// Share for the staleness of a daemon with a healthy source: two watches, the pause between them,
/// the store's response and a frame.
const HEALTHY_SHARE: f64 = 0.66;
/// Share for one step of the fallback delay, after which daemons that know of no source query the
/// store themselves.
const FALLBACK_STEP_SHARE: f64 = 0.03;
/// The largest number of steps in the fallback delay.
const MAX_FALLBACK_STEPS: u32 = 3;
/// Share for the guaranteed bound on the staleness of every connected daemon.
const MAX_STALENESS_SHARE: f64 = 0.95;
/// Share for the staleness that is logged as a warning.
const WARN_SHARE: f64 = 0.8;

/// Timeouts and intervals of store synchronisation, as shares of the time within which a change
/// must reach every daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SyncTimings {
    within: Duration,
}

impl SyncTimings {
    /// Timings for changes that must reach every daemon `within` a time.
    pub fn new(within: Duration) -> Self {
        Self { within }
    }

    fn share(&self, share: f64) -> Duration {
        self.within.mul_f64(share)
    }

    /// How long a watch of the store waits for changes.
    pub fn watch_timeout(&self) -> Duration {
        self.share(WATCH_SHARE).min(MAX_WATCH)
    }

    /// The longest pause between two watches.
    pub fn max_watch_pause(&self) -> Duration {
        self.share(PAUSE_SHARE)
    }

    /// Time allowed for an immediate response; also the interval at which a daemon reconsiders its
    /// source.
    pub fn response_time(&self) -> Duration {
        self.share(RESPONSE_SHARE)
    }

    /// Interval between a follower's freshness queries, and between frames without changes.
    pub fn query_interval(&self) -> Duration {
        self.share(QUERY_SHARE)
    }

    /// Time allowed for the first response of a daemon that is queried or followed anew.
    pub fn first_response_timeout(&self) -> Duration {
        self.share(FIRST_RESPONSE_SHARE)
    }

    /// A feed that sends nothing for this long is dropped.
    pub fn silence_timeout(&self) -> Duration {
        self.share(SILENCE_SHARE)
    }

    /// A large reply that is expected to be there within this time is received alone; if it takes
    /// longer, others are received beside it.
    pub fn acceptable_reply_time(&self) -> Duration {
        self.share(REPLY_SHARE)
    }

    /// The staleness that a daemon with a healthy source does not exceed. A source with an older
    /// copy is dropped.
    pub fn healthy_staleness(&self) -> Duration {
        self.share(HEALTHY_SHARE)
    }

    /// How long a daemon that knows of no source, or whose copy is stale, waits before it queries
    /// the store, by its rank in its group: few query first, and each step admits twice as many.
    pub fn fallback_delay(&self, rank: usize) -> Duration {
        let steps = ((rank + 2) / 2).ilog2().min(MAX_FALLBACK_STEPS);
        self.share(FALLBACK_STEP_SHARE) * steps
    }

    /// The guaranteed bound: no connected daemon's copy is staler.
    pub fn max_staleness(&self) -> Duration {
        self.share(MAX_STALENESS_SHARE)
    }

    /// Staleness above this is logged as a warning.
    pub fn warn_staleness(&self) -> Duration {
        self.share(WARN_SHARE)
    }
}
