//! Selection of the adapter to unload.

use crate::types::{AdapterVersion, Time};

/// An adapter that may be unloaded.
#[derive(Debug, Clone, PartialEq)]
pub struct EvictionCandidate {
    /// The adapter.
    pub adapter: AdapterVersion,
    /// Its decayed request count.
    pub demand: f64,
    /// When it was last used.
    pub idle_since: Time,
}

/// The candidate whose eviction is expected to cost the least stall time: lowest demand first, then
/// longest idle. Reload times are about equal on one engine and are not compared.
pub fn eviction_victim(candidates: Vec<EvictionCandidate>) -> Option<AdapterVersion> {
    let order = |a: &EvictionCandidate, b: &EvictionCandidate| {
        let by_demand = a.demand.total_cmp(&b.demand);
        let by_age = a.idle_since.cmp(&b.idle_since);
        by_demand.then(by_age).then_with(|| a.adapter.cmp(&b.adapter))
    };
    candidates.into_iter().min_by(order).map(|c| c.adapter)
}
