//! Limits on adapter loads from the weight store.

use std::time::Duration;

/// Concurrent adapter loads assumed for a weight store whose limits are not configured.
const DEFAULT_AT_ONCE: usize = 8;
/// Adapter loads per second: 8 concurrent loads of a quarter of a second each.
const DEFAULT_PER_SECOND: f64 = 32.0;

/// Rate and concurrency of adapter loads in a region. A store's limits for base models do not
/// apply to them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Loads per second.
    pub per_second: f64,
    /// Concurrent loads.
    pub at_once: usize,
    /// Time after which a permit that was not returned expires.
    pub permit_ttl: Duration,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            per_second: DEFAULT_PER_SECOND,
            at_once: DEFAULT_AT_ONCE,
            permit_ttl: Duration::from_secs(60),
        }
    }
}
