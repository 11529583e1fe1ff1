//! Load and unload orders to an engine.

use crate::types::{AdapterVersion, Fence};
use serde::{Deserialize, Serialize};

/// Sequence number of an order, unique within one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub u64);

/// Kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Loads an adapter into a free slot.
    Load,
    /// Unloads an adapter and frees its slot.
    Unload,
}

/// An order to an engine, protected by a fence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Sequence number.
    pub id: OrderId,
    /// Fence of the owner that sent it.
    pub fence: Fence,
    /// Load or unload.
    pub kind: OrderKind,
    /// The adapter to load or unload.
    pub adapter: AdapterVersion,
}

/// Result of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine carried out the order.
    Done,
    /// The engine refused the order or failed to carry it out.
    Failed,
    /// The engine refused the order because it has accepted this higher fence.
    Fenced(Fence),
    /// No result arrived; the order may have been carried out. The next report resolves it.
    Unknown,
}
