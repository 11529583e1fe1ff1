//! An adapter slot of an engine.

use super::OrderId;
use crate::types::Time;

/// What a slot is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// A load order is out.
    Loading(OrderId),
    /// The adapter can be used.
    Ready,
    /// An unload order is out; no grants.
    Unloading(OrderId),
    /// The order's answer was lost at this time; a later report tells.
    Unsure(Time),
}

/// One used slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// What it is doing.
    pub state: SlotState,
    /// When this state began.
    pub since: Time,
    /// When the last pin went; reports asked for earlier do not prove it idle.
    pub idle_since: Time,
    /// Loaded for a waiting request that has not been granted yet.
    pub owed: bool,
}

impl Slot {
    /// A slot that enters `state` at `now`.
    pub fn new(state: SlotState, now: Time, owed: bool) -> Self {
        Self { state, since: now, idle_since: now, owed }
    }
}
