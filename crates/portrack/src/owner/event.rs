//! What goes into and comes out of an owner.

use super::{Answer, Ask, End, Order, OrderId, OrderResult, Report};
use crate::types::{AdapterVersion, Fence, Instance, ReservationId};

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// An entry node asks for a place.
    Reserve {
        /// The entry node.
        from: Instance,
        /// What it asks.
        ask: Ask,
    },
    /// An entry node is done with a reservation, run or not.
    Release {
        /// Which.
        id: ReservationId,
        /// What is known of its end.
        end: End,
    },
    /// The engine has reported.
    Report(Report),
    /// The engine has accepted the fence.
    FenceRaised(Fence),
    /// The engine has a fence that is at least as high.
    FenceRefused(Fence),
    /// An order has ended.
    OrderDone {
        /// Which.
        id: OrderId,
        /// How.
        result: OrderResult,
    },
    /// The load planner allows a load.
    Permit(AdapterVersion),
    /// The node list says that the engine is leaving.
    Leaving,
    /// Every member of the hall has said that it grants nothing on this engine.
    Cleared,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send an answer to an entry node.
    Answer {
        /// The entry node.
        to: Instance,
        /// What to say.
        answer: Answer,
    },
    /// Ask the engine for a report.
    Poll,
    /// Ask the engine to accept this fence.
    RaiseFence(Fence),
    /// Give the engine an order.
    Order(Order),
    /// Ask the load planner for a permit; repeated until it comes.
    AskPermit {
        /// The adapter.
        adapter: AdapterVersion,
        /// How long the first request has waited for it, in milliseconds.
        waited_ms: u32,
        /// Requests that wait, interactive ones counted more.
        weight: u32,
    },
    /// Give a permit back: the load has ended or is wanted no more.
    PermitDone(AdapterVersion),
}
