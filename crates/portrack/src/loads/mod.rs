//! The weight store's budget: who may load next.

mod budget;
mod planner;

pub use budget::Budget;
pub use planner::LoadPlanner;
