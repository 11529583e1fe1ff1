//! A request for a place on an engine.

use crate::types::{AdapterVersion, Class, ReservationId};
use serde::{Deserialize, Serialize};

/// Sent by an entry node to the engine's owner; repeating it changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The reservation, the same in every repetition.
    pub id: ReservationId,
    /// Counts the repetitions; the answer names the one it answers.
    pub attempt: u32,
    /// What the request runs on.
    pub adapter: AdapterVersion,
    /// How urgent it is.
    pub class: Class,
    /// How long it may still wait for its start, in milliseconds.
    pub wait_ms: u32,
}
