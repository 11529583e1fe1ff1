//! Actions of a request.

use super::Grant;
use crate::owner::Ask;
use crate::types::{EngineName, Refusal, ReservationId};

/// An output of [`super::Request`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an ask to the engine's owner.
    Send(EngineName, Ask),
    /// Release the reservation.
    Release(EngineName, ReservationId),
    /// Start the request on the granted engine.
    Start(Grant),
    /// Select another engine, then call [`super::Request::try_engine`].
    ChooseAgain,
    /// The request has failed; the caller gets this refusal.
    GiveUp(Refusal),
}
