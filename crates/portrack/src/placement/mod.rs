//! Adapter demand and eviction.

mod demand;
mod evict;

pub use demand::Demand;
pub use evict::{EvictionCandidate, eviction_victim};
