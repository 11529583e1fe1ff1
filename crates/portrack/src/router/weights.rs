//! Cost weights of the router.

/// Costs, all in milliseconds of expected wait.
#[derive(Debug, Clone, PartialEq)]
pub struct Weights {
    /// A load, including the wait for its permit.
    pub load_ms: f64,
    /// One request ahead in a queue.
    pub queued_ms: f64,
    /// Slowdown of a step from an empty to a full batch.
    pub depth_ms: f64,
    /// Time saved by a cached prompt prefix.
    pub prefix_ms: f64,
    /// Network latency to another hall of the region.
    pub hall_ms: f64,
    /// Preference for engines whose batches are already deep, from 0 (none) to 1 (strong).
    pub batch: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            load_ms: 2_000.0,
            queued_ms: 200.0,
            depth_ms: 60.0,
            prefix_ms: 40.0,
            hall_ms: 5.0,
            batch: 0.0,
        }
    }
}
