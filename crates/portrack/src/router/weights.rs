//! The numbers the router goes by.

/// Costs, all in milliseconds of expected wait.
#[derive(Debug, Clone, PartialEq)]
pub struct Weights {
    /// A load, permit included.
    pub load_ms: f64,
    /// One request ahead in a queue.
    pub queued_ms: f64,
    /// What a step loses when its batch goes from empty to full.
    pub depth_ms: f64,
    /// What a cached prompt prefix saves.
    pub prefix_ms: f64,
    /// The way to another hall of the region.
    pub hall_ms: f64,
    /// Pull toward engines whose batches are already deep; 0 none, 1 strong.
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
