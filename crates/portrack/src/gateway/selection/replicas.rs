//! How many servers an adapter should be loaded at, from the pace of its requests.
//!
//! The daemon that orders a server hears of every request there, whichever daemon sent it; of 195
//! nodes each sees a request of the same adapter once in a second or less.

use std::time::Duration;

/// Share of its slots that an adapter may take of a server on average. Requests come in clumps;
/// above about two thirds they wait for slots.
const TARGET_SHARE: f64 = 0.45;
/// Share of its time that a server may read for one adapter. Prompts come in clumps, and what is read
/// within the time between events is a pause for every stream. Measured in
/// docs/design/arrivals-ways.md.
const READING_SHARE: f64 = 0.2;
/// How long a request runs if nothing is known of it yet.
const FIRST_GUESS: Duration = Duration::from_millis(1_500);
/// Bounds of the time that requests are taken to run.
const RUNS: (f64, f64) = (0.3, 10.0);
/// Replicas that one daemon asks for at a time for one adapter.
const MOST_AT_ONCE: usize = 4;

/// How long requests run on average, by the number of those that run and how many begin a second.
pub fn mean_run_time(running: f64, per_second: f64) -> Duration {
    if per_second < 1.0 {
        return FIRST_GUESS;
    }
    Duration::from_secs_f64((running / per_second).clamp(RUNS.0, RUNS.1))
}

/// The demand for an adapter at one of the servers that hold it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaDemand {
    /// Requests a second at this server.
    pub per_second: f64,
    /// How long they run.
    pub runs: Duration,
    /// How long a server reads the prompt of one; zero if that is not known.
    pub reads: Duration,
    /// Requests at once at one server.
    pub slots: usize,
    /// Servers that share this demand, this one included.
    pub holders: usize,
    /// Servers that hold the newest version.
    pub current: usize,
    /// Servers to which it is on its way.
    pub coming: usize,
    /// The place of this server among those that share the demand.
    pub place: usize,
}

impl ReplicaDemand {
    /// How many servers should hold the adapter if all holders see the same demand.
    fn wanted(&self) -> usize {
        let per_second = self.per_second * self.holders as f64;
        let at_once = per_second * self.runs.as_secs_f64();
        let for_slots = at_once / (self.slots as f64 * TARGET_SHARE);
        let for_reading = per_second * self.reads.as_secs_f64() / READING_SHARE;
        for_slots.max(for_reading).ceil() as usize
    }

    /// How many replicas the daemon that orders this server asks for: its part of what is missing.
    pub fn missing_here(&self) -> usize {
        let missing = self.wanted().saturating_sub(self.current + self.coming);
        let holders = self.holders.max(1);
        let part = missing / holders + usize::from(self.place < missing % holders);
        part.min(MOST_AT_ONCE)
    }
}
