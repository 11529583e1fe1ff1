//! What a request does next.

use super::Grant;
use crate::owner::Ask;
use crate::types::{EngineName, Refusal, ReservationId};

/// An output of [`super::Request`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this ask to the engine's owner.
    Send(EngineName, Ask),
    /// Give the reservation back.
    Release(EngineName, ReservationId),
    /// Start now.
    Start(Grant),
    /// Choose another engine, then call [`super::Request::try_engine`].
    ChooseAgain,
    /// It is over; the caller gets this at once.
    GiveUp(Refusal),
}
