//! Configuration of a stand-in engine.

use std::net::SocketAddr;
use std::time::Duration;

/// Sizes, speeds and capabilities of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Adapter slots.
    pub slots: usize,
    /// Most requests in one batch.
    pub batch: usize,
    /// Base duration of a step.
    pub step: Duration,
    /// Time that each request in the batch adds to a step.
    pub step_each: Duration,
    /// How old the reported load is.
    pub lag: Duration,
    /// Whether orders with a fence below the current one are refused.
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
