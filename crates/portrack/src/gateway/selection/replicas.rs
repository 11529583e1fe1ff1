//! Computes the number of servers on which an adapter should be loaded from its request rate.
//!
//! The daemon that holds the claim on a server learns of every request there, whichever daemon sent
//! it. In a fleet of 195 nodes, a single node sees at most about one request per second for the
//! same adapter.

use std::time::Duration;

/// Average share of a server's slots that one adapter may use. Requests arrive in bursts; above
/// about two thirds they wait for slots.
const TARGET_SHARE: f64 = 0.45;
/// Share of its time that a server may spend on prefill for one adapter. Prompts arrive in bursts,
/// and prefill between two events pauses every stream. See docs/design/arrivals-ways.md.
const PREFILL_SHARE: f64 = 0.2;
/// Assumed run time of a request before any is known.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(1_500);
/// Bounds of the estimated run time, in seconds.
const RUN_TIME_BOUNDS: (f64, f64) = (0.3, 10.0);
/// Maximum number of replicas that one daemon requests at a time for one adapter.
const MAX_REPLICAS_PER_REQUEST: usize = 4;

/// Mean run time of requests, from the number running and the number started per second.
pub fn mean_run_time(running: f64, per_second: f64) -> Duration {
    if per_second < 1.0 {
        return DEFAULT_RUN_TIME;
    }
    Duration::from_secs_f64((running / per_second).clamp(RUN_TIME_BOUNDS.0, RUN_TIME_BOUNDS.1))
}

/// The demand for an adapter on one of the servers that hold it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaDemand {
    /// Requests per second at this server.
    pub per_second: f64,
    /// Mean run time of a request.
    pub run_time: Duration,
    /// Mean prefill time of a request; zero if unknown.
    pub prefill_time: Duration,
    /// Number of requests that one server runs concurrently.
    pub slots: usize,
    /// Number of servers that share this demand, including this one.
    pub holders: usize,
    /// Number of servers that hold the newest version.
    pub current: usize,
    /// Number of servers that are loading the newest version.
    pub coming: usize,
    /// Index of this server among those that share the demand.
    pub index: usize,
}

impl ReplicaDemand {
    /// Number of servers that should hold the adapter, assuming the same demand at all holders.
    fn wanted_holders(&self) -> usize {
        let per_second = self.per_second * self.holders as f64;
        let at_once = per_second * self.run_time.as_secs_f64();
        let for_slots = at_once / (self.slots as f64 * TARGET_SHARE);
        let for_prefill = per_second * self.prefill_time.as_secs_f64() / PREFILL_SHARE;
        for_slots.max(for_prefill).ceil() as usize
    }

    /// Number of replicas that the daemon holding the claim on this server requests: its part of
    /// those missing.
    pub fn replicas_to_request(&self) -> usize {
        let missing = self.wanted_holders().saturating_sub(self.current + self.coming);
        let holders = self.holders.max(1);
        let part = missing / holders + usize::from(self.index < missing % holders);
        part.min(MAX_REPLICAS_PER_REQUEST)
    }
}
