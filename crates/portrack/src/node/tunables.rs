//! All parameters of a node.

use crate::loads::Budget;
use crate::membership::Timing;
use crate::owner::Tuning;
use crate::reserve::Patience;
use crate::router::Weights;
use std::time::Duration;

/// Parameters derived from the settings in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Tunables {
    /// Parameters of engine owners.
    pub owner: Tuning,
    /// Timeouts of requests that wait for a reservation.
    pub patience: Patience,
    /// Weights of the router.
    pub weights: Weights,
    /// Budget of the load planner.
    pub budget: Budget,
    /// Timings of the membership.
    pub timing: Timing,
    /// How long idempotency keys are stored.
    pub key_window: Duration,
}

impl Default for Tunables {
    fn default() -> Self {
        Self {
            owner: Tuning::default(),
            patience: Patience::default(),
            weights: Weights::default(),
            budget: Budget::default(),
            timing: Timing::default(),
            key_window: Duration::from_secs(60),
        }
    }
}
