//! Orders to an engine.

use crate::types::{AdapterVersion, Fence};
use serde::{Deserialize, Serialize};

/// Counts the orders of one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub u64);

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Load an adapter into a free slot.
    Load,
    /// Free the slot of an adapter.
    Unload,
}

/// A fenced order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Its number.
    pub id: OrderId,
    /// The fence it is given under.
    pub fence: Fence,
    /// Load or unload.
    pub kind: OrderKind,
    /// The adapter.
    pub adapter: AdapterVersion,
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine did it.
    Done,
    /// The engine tried and failed, or refused it.
    Failed,
    /// The engine has accepted a higher fence.
    Fenced(Fence),
    /// No answer: it may have been done. The next report tells.
    Unknown,
}
