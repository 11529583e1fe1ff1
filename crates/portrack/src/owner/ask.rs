//! An entry node's request for a reservation.

use crate::types::{AdapterVersion, Class, ReservationId};
use serde::{Deserialize, Serialize};

/// Sent by an entry node to the engine's owner; idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The reservation, the same for every attempt.
    pub id: ReservationId,
    /// Attempt number; the answer repeats it.
    pub attempt: u32,
    /// The adapter that the request runs on.
    pub adapter: AdapterVersion,
    /// Urgency of the request.
    pub class: Class,
    /// Remaining time until the request must have started, in milliseconds.
    pub wait_ms: u32,
}
