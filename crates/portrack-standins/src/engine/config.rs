//! What a stand-in engine is like.

use std::net::SocketAddr;
use std::time::Duration;

/// Sizes and speeds.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Where it listens.
    pub address: SocketAddr,
    /// Adapter slots.
    pub slots: usize,
    /// Requests that one step carries.
    pub batch: usize,
    /// Time of a step with an empty batch.
    pub step: Duration,
    /// What each request in the batch adds to a step.
    pub step_each: Duration,
    /// How far the reported load lags.
    pub lag: Duration,
    /// Whether it refuses orders below its highest fence.
    pub checks_fence: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 4,
            batch: 8,
            step: Duration::from_millis(4),
            step_each: Duration::from_micros(500),
            lag: Duration::from_millis(100),
            checks_fence: true,
        }
    }
}
