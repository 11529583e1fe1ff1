//! The effects that a node asks its daemon to execute.

use crate::owner::Order;
use crate::reserve::{Grant, Token};
use crate::types::{EngineName, Fence, NodeName, Refusal, Time};
use crate::wire::{KeyVerdict, Message};

/// A task at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineTask {
    /// Request a status report.
    Poll,
    /// Ask the engine to accept this fence.
    RaiseFence(Fence),
    /// Send an order.
    Order(Order),
    /// This node no longer owns the engine: release its lock in the key-value service.
    LetGo,
}

/// An effect to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a daemon.
    Send {
        /// The receiver.
        to: NodeName,
        /// The message.
        body: Message,
    },
    /// Run a task at an engine that this node owns.
    Engine {
        /// The engine.
        engine: EngineName,
        /// The task.
        task: EngineTask,
    },
    /// Start a request at its engine.
    Start {
        /// The request.
        token: Token,
        /// Its grant.
        grant: Grant,
    },
    /// Answer a caller with a refusal.
    GiveUp {
        /// The request.
        token: Token,
        /// The refusal.
        refusal: Refusal,
    },
    /// The claim of an idempotency key has ended.
    KeySettled {
        /// The request.
        token: Token,
        /// The outcome: whether the request may be sent.
        verdict: KeyVerdict,
        /// The request must be sent before this time.
        use_by: Time,
    },
}
