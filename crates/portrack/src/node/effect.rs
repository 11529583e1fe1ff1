//! What a node wants done.

use crate::owner::Order;
use crate::reserve::{Grant, Token};
use crate::types::{EngineName, Fence, NodeName, Refusal, Time};
use crate::wire::{KeyVerdict, Message};

/// Something for an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineTask {
    /// Ask for a report.
    Poll,
    /// Ask it to accept this fence.
    RaiseFence(Fence),
    /// Give it an order.
    Order(Order),
    /// This node owns it no more; what holds it in the key-value service is to be given up.
    LetGo,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a daemon.
    Send {
        /// The receiver.
        to: NodeName,
        /// The message.
        body: Message,
    },
    /// Turn to an engine that this node owns.
    Engine {
        /// The engine.
        engine: EngineName,
        /// What to do there.
        task: EngineTask,
    },
    /// Start a request at its engine.
    Start {
        /// The request.
        token: Token,
        /// Its place.
        grant: Grant,
    },
    /// Answer a caller with a refusal.
    GiveUp {
        /// The request.
        token: Token,
        /// The refusal.
        refusal: Refusal,
    },
    /// An idempotency key is settled.
    KeySettled {
        /// The request.
        token: Token,
        /// Whether it may be sent.
        verdict: KeyVerdict,
        /// It must be handed to the connection before this.
        use_by: Time,
    },
}
