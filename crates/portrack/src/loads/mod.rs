//! Load permits: limits adapter loads to the weight store's budget.

mod budget;
mod choice;
mod planner;

pub use budget::Budget;
pub use choice::PlannerSelector;
pub use planner::LoadPlanner;
