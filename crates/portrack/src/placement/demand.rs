//! Exponentially decaying request counts.

use crate::types::{AdapterVersion, Time};
use std::collections::HashMap;
use std::time::Duration;

/// Lower counts are removed when the table is swept.
const MIN_COUNT: f64 = 0.01;

#[derive(Debug, Clone, Copy)]
struct Count {
    value: f64,
    at: Time,
}

/// Request count for each adapter, halved with every half-life that passes.
#[derive(Debug, Clone)]
pub struct Demand {
    half_life_ms: f64,
    counts: HashMap<AdapterVersion, Count>,
}

impl Demand {
    /// Creates an empty table.
    pub fn new(half_life: Duration) -> Self {
        Self { half_life_ms: half_life.as_millis().max(1) as f64, counts: HashMap::new() }
    }

    fn decayed(&self, count: Count, now: Time) -> f64 {
        let age = now.since(count.at).as_millis() as f64;
        count.value * (-age / self.half_life_ms).exp2()
    }

    /// Counts a request for an adapter.
    pub fn note(&mut self, adapter: &AdapterVersion, now: Time) {
        let value = self.of(adapter, now) + 1.0;
        self.counts.insert(adapter.clone(), Count { value, at: now });
    }

    /// The decayed count of an adapter.
    pub fn of(&self, adapter: &AdapterVersion, now: Time) -> f64 {
        self.counts.get(adapter).map_or(0.0, |count| self.decayed(*count, now))
    }

    /// The adapter with the highest count among those for which `fits` is true.
    pub fn highest(
        &self,
        now: Time,
        fits: impl Fn(&AdapterVersion) -> bool,
    ) -> Option<(AdapterVersion, f64)> {
        let fitting = self.counts.iter().filter(|(adapter, _)| fits(adapter));
        let valued = fitting.map(|(adapter, count)| (adapter, self.decayed(*count, now)));
        let order = |a: &(&AdapterVersion, f64), b: &(&AdapterVersion, f64)| {
            a.1.total_cmp(&b.1).then_with(|| b.0.cmp(a.0))
        };
        valued.max_by(order).map(|(adapter, value)| (adapter.clone(), value))
    }

    /// Removes adapters with a negligible count.
    pub fn sweep(&mut self, now: Time) {
        let half_life_ms = self.half_life_ms;
        self.counts.retain(|_, count| {
            let age = now.since(count.at).as_millis() as f64;
            count.value * (-age / half_life_ms).exp2() >= MIN_COUNT
        });
    }

    /// Number of adapters in the table.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// True if the table is empty.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
