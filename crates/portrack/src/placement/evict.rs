//! The choice of the adapter to unload.

use crate::types::{AdapterVersion, Time};

/// An adapter that may be unloaded.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The adapter.
    pub adapter: AdapterVersion,
    /// Its decayed request count.
    pub demand: f64,
    /// When it was last in use.
    pub idle_since: Time,
}

/// The candidate whose loss is expected to cost the least stall: the least demand, then the
/// longest idle. Reload times are alike on one engine and drop out.
pub fn cheapest(candidates: Vec<Candidate>) -> Option<AdapterVersion> {
    let order = |a: &Candidate, b: &Candidate| {
        let by_demand = a.demand.total_cmp(&b.demand);
        let by_age = a.idle_since.cmp(&b.idle_since);
        by_demand.then(by_age).then_with(|| a.adapter.cmp(&b.adapter))
    };
    candidates.into_iter().min_by(order).map(|c| c.adapter)
}
