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

/// How a claim ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyVerdict {
    /// The key is this request's; it may be sent once.
    Yours,
    /// Another request has it.
    Taken,
    /// Too little is remembered to tell.
    Untrusted,
    /// This node does not keep the key.
    NotKeeper,
}

/// Answers a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyReply {
    /// The key.
    pub key: u128,
    /// The request that claimed it.
    pub request: ReservationId,
    /// The verdict.
    pub verdict: KeyVerdict,
}
