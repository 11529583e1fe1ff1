//! Requirements of a request, and the grant it receives.

use crate::router::Wanted;
use crate::types::{EngineName, Fence, ReservationId, Time};

/// Identifies a request within its entry node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// A request that needs an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spec {
    /// Routing requirements.
    pub wanted: Wanted,
    /// The latest time at which the request may start.
    pub deadline: Time,
}

/// A granted reservation on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The engine.
    pub engine: EngineName,
    /// The reservation, which is also the request's id at the engine.
    pub id: ReservationId,
    /// The fence it was granted under.
    pub fence: Fence,
    /// The request must be written to the connection before this time.
    pub start_by: Time,
}
