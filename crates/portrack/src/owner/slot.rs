//! An adapter slot of an engine.

use super::OrderId;
use crate::types::Time;

/// State of an adapter slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// A load order is pending.
    Loading(OrderId),
    /// The adapter is loaded.
    Ready,
    /// An unload order is pending; requests for the adapter are not granted.
    Unloading(OrderId),
    /// The state became unknown at this time, for instance because the result of an order was
    /// lost; a later report resolves it.
    Unsure(Time),
}

/// An occupied adapter slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// Current state.
    pub state: SlotState,
    /// When the current state began.
    pub since: Time,
    /// When the last pin was removed; reports requested earlier do not prove the slot idle.
    pub idle_since: Time,
    /// Loaded for a waiting request that has not been granted yet.
    pub for_waiting: bool,
}

impl Slot {
    /// Creates a slot that enters `state` at `now`.
    pub fn new(state: SlotState, now: Time, for_waiting: bool) -> Self {
        Self { state, since: now, idle_since: now, for_waiting }
    }
}
