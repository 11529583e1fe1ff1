//! Inputs and outputs of an owner.

use super::{Answer, Ask, End, Order, OrderId, OrderResult, Report};
use crate::types::{AdapterVersion, Fence, Instance, ReservationId};

/// Input of an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Periodic timer.
    Tick,
    /// An entry node asks for a reservation.
    Reserve {
        /// The entry node.
        from: Instance,
        /// The ask.
        ask: Ask,
    },
    /// An entry node releases a reservation, whether or not the request ran.
    Release {
        /// The reservation.
        id: ReservationId,
        /// How the request ended.
        end: End,
    },
    /// A status report of the engine.
    Report(Report),
    /// The engine has accepted the fence.
    FenceRaised(Fence),
    /// The engine refused the fence because it has this one, which is at least as high.
    FenceRefused(Fence),
    /// An order has ended.
    OrderDone {
        /// The order.
        id: OrderId,
        /// Its result.
        result: OrderResult,
    },
    /// The load planner permits a load of this adapter.
    Permit(AdapterVersion),
    /// The node list marks the engine as leaving.
    Leaving,
    /// Every member of the hall has confirmed that it grants nothing on this engine.
    Cleared,
}

/// Action requested by an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send an answer to an entry node.
    Answer {
        /// The entry node.
        to: Instance,
        /// The answer.
        answer: Answer,
    },
    /// Request a status report from the engine.
    Poll,
    /// Ask the engine to accept this fence.
    RaiseFence(Fence),
    /// Send an order to the engine.
    Order(Order),
    /// Request a permit from the load planner; repeated until it is granted.
    AskPermit {
        /// The adapter.
        adapter: AdapterVersion,
        /// How long the oldest request has waited for the adapter, in milliseconds.
        waited_ms: u32,
        /// Number of waiting requests, with a higher weight for interactive ones.
        weight: u32,
    },
    /// Return a permit: the load has ended or is no longer needed.
    PermitDone(AdapterVersion),
}
