//! Retry budget and circuit breakers.

mod breaker;
mod budget;

pub use breaker::{BreakerConfig, Breakers};
pub use budget::RetryBudget;
