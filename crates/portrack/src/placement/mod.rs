//! Which adapters are worth keeping.

mod demand;
mod evict;

pub use demand::Demand;
pub use evict::{Candidate, cheapest};
