//! The weight store's budget: who may load next.

mod budget;
mod choice;
mod planner;

pub use budget::Budget;
pub use choice::PlannerChoice;
pub use planner::LoadPlanner;
