//! All numbers a node goes by.

use crate::loads::Budget;
use crate::membership::Timing;
use crate::owner::Tuning;
use crate::reserve::Patience;
use crate::router::Weights;
use std::time::Duration;

/// Collected from the settings in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Tunables {
    /// For engine owners.
    pub owner: Tuning,
    /// For the asking side.
    pub patience: Patience,
    /// For the router.
    pub weights: Weights,
    /// For the load planner.
    pub budget: Budget,
    /// For the membership.
    pub timing: Timing,
    /// How long idempotency keys are remembered.
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
