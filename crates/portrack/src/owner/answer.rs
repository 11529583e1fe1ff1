//! What the owner says to an ask.

use crate::types::{Fence, Reason, ReservationId};
use serde::{Deserialize, Serialize};

/// The owner's verdict on a reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Start now, under this fence.
    Granted(Fence),
    /// Wait: the adapter is loading or the batch is full.
    Queued,
    /// Not here.
    Refused {
        /// Why.
        reason: Reason,
        /// When to ask again, in milliseconds.
        retry_ms: u32,
    },
}

/// Sent by an owner to an entry node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The reservation.
    pub id: ReservationId,
    /// The repetition that this answers.
    pub attempt: u32,
    /// The verdict.
    pub verdict: Verdict,
}
