//! An owner's answer to an ask.

use crate::types::{Fence, Reason, ReservationId};
use serde::{Deserialize, Serialize};

/// The owner's decision on a reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request may start now, under this fence.
    Granted(Fence),
    /// The request waits: the adapter is not loaded or the batch is full.
    Queued,
    /// The request cannot run on this engine now.
    Refused {
        /// The reason.
        reason: Reason,
        /// Suggested delay before the next attempt, in milliseconds.
        retry_ms: u32,
    },
}

/// Sent by an owner to an entry node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The reservation.
    pub id: ReservationId,
    /// The attempt that this answers.
    pub attempt: u32,
    /// The decision.
    pub verdict: Verdict,
}
