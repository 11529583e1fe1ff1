//! Claims of idempotency keys.

use crate::types::{Instance, ReservationId};
use serde::{Deserialize, Serialize};

/// A claim of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Hash of service, caller's scope and key.
    pub key: u128,
    /// The request that claims it.
    pub request: ReservationId,
    /// The entry node that will send the request.
    pub entry: Instance,
}

/// The outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyVerdict {
    /// The request holds the key and may be sent once.
    Yours,
    /// Another request holds the key.
    Taken,
    /// It cannot be determined whether the key was used.
    Untrusted,
    /// This node is not the first keeper of the key.
    NotKeeper,
}

/// The reply to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyReply {
    /// The key.
    pub key: u128,
    /// The request that claimed it.
    pub request: ReservationId,
    /// The verdict.
    pub verdict: KeyVerdict,
}
