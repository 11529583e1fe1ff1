//! What the weight store bears.

use std::time::Duration;

/// Rate and concurrency of loads in a region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Loads a second.
    pub per_second: f64,
    /// Loads at the same time.
    pub at_once: usize,
    /// A permit that is not given back is free again after this.
    pub permit_ttl: Duration,
}

impl Default for Budget {
    fn default() -> Self {
        Self { per_second: 3.0, at_once: 2, permit_ttl: Duration::from_secs(60) }
    }
}
