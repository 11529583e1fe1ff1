//! What an entry node wants a place for, and the place it gets.

use crate::router::Wanted;
use crate::types::{EngineName, Fence, ReservationId, Time};

/// Names a request within its entry node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// A request that needs an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spec {
    /// What routing needs to know.
    pub wanted: Wanted,
    /// The latest useful start.
    pub deadline: Time,
}

/// A place on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The engine.
    pub engine: EngineName,
    /// The reservation, also the request's id at the engine.
    pub id: ReservationId,
    /// The fence it was granted under.
    pub fence: Fence,
    /// The request must be handed to the connection before this.
    pub start_by: Time,
}
