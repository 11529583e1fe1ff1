//! How a reservation ended.

use serde::{Deserialize, Serialize};

/// What the entry node knows about a request when it releases the reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The request is certainly not running on the engine.
    Ended,
    /// The engine refused the request because the adapter is not loaded.
    Missing,
    /// The request may still be running; the engine's reports decide.
    Unsure,
}

impl End {
    /// The end of a request that was sent to the engine.
    pub fn of(ended: bool) -> Self {
        match ended {
            true => Self::Ended,
            false => Self::Unsure,
        }
    }
}
