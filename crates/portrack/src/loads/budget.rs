//! What the weight store bears.

use std::time::Duration;

/// Loads of adapters that a weight store bears at least where nothing else is said.
const AT_ONCE: usize = 8;
/// As many a second: each takes a quarter of a second while no more are on their way.
const PER_SECOND: f64 = 32.0;

/// Rate and concurrency of loads of adapters in a region. A store's limits for base models do not hold for
/// them.
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
        Self { per_second: PER_SECOND, at_once: AT_ONCE, permit_ttl: Duration::from_secs(60) }
    }
}
