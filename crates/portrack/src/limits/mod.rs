//! Limits on retries and on backend servers that fail.

mod breaker;
mod budget;

pub use breaker::{Breakers, Patience};
pub use budget::RetryBudget;
