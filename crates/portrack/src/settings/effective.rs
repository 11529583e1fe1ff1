//! The effective settings at one place.

use super::{KEYS, Overrides};
use crate::loads::Budget;
use crate::node::Tunables;
use std::time::Duration;

/// Percentage that corresponds to a fraction of 1.
const PERCENT: f64 = 100.0;

/// The effective value of every key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effective(Overrides);

impl Effective {
    /// The defaults, overridden by each of `levels` in turn.
    pub fn of<'a>(levels: impl IntoIterator<Item = &'a Overrides>) -> Self {
        let mut all = Overrides::default();
        for key in KEYS {
            all.put(key.name, Some(key.default));
        }
        for level in levels {
            for key in KEYS {
                if let Some(value) = level.get(key.name) {
                    all.put(key.name, Some(value));
                }
            }
        }
        Self(all)
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> u64 {
        self.0.get(key).unwrap_or(0)
    }

    fn millis(&self, key: &str) -> Duration {
        Duration::from_millis(self.get(key))
    }

    fn seconds(&self, key: &str) -> Duration {
        Duration::from_secs(self.get(key))
    }

    /// Maximum time until a request must start.
    pub fn deadline(&self) -> Duration {
        self.millis("deadline_ms")
    }

    /// Maximum body size of a request, in bytes.
    pub fn body_limit(&self) -> usize {
        usize::try_from(self.get("body_limit")).unwrap_or(usize::MAX)
    }

    /// Maximum time for which a planned stop waits for requests in flight.
    pub fn drain(&self) -> Duration {
        self.seconds("drain_s")
    }

    /// Retries allowed, as a fraction of requests.
    pub fn retry_budget(&self) -> f64 {
        self.get("retry_budget") as f64 / PERCENT
    }

    /// The tunables of a node, based on `base`.
    pub fn tunables(&self, base: &Tunables) -> Tunables {
        let mut tunables = base.clone();
        let owner = &mut tunables.owner;
        owner.report_lag = self.millis("report_lag_ms");
        owner.min_hold = self.millis("min_hold_ms");
        owner.demand_half_life = self.seconds("demand_half_life_s");
        owner.queue_len = usize::try_from(self.get("queue_len")).unwrap_or(usize::MAX);
        owner.background_every = u32::try_from(self.get("background_every")).unwrap_or(1);
        tunables.weights.batch = 1.0 - self.get("stall_weight") as f64 / PERCENT;
        tunables.budget = Budget {
            per_second: self.get("load_per_second") as f64,
            at_once: usize::try_from(self.get("load_at_once")).unwrap_or(usize::MAX),
            ..tunables.budget
        };
        tunables.key_window = self.seconds("key_window_s");
        tunables
    }
}
