//! The inputs of a node.

use crate::membership::Peer;
use crate::owner::Event;
use crate::reserve::{Spec, Token};
use crate::router::BackendServer;
use crate::types::{EngineName, Instance, ReservationId};
use crate::wire::{Message, SettingsMark};

/// An event that a node handles.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed; expected about every 50 ms.
    Tick,
    /// The platform's node list.
    Servers(Vec<BackendServer>),
    /// Daemons to add to the members.
    Peers(Vec<Peer>),
    /// All daemons in the platform's node list. Dead members that are not in it are removed.
    Listed(Vec<Peer>),
    /// The settings in force, and whether the platform answers.
    Settings {
        /// The revision and digest of the settings.
        mark: SettingsMark,
        /// Whether the key-value service answered recently.
        platform: bool,
    },
    /// A message from another daemon.
    Message {
        /// The sender.
        from: Instance,
        /// The message.
        body: Message,
    },
    /// An event of an engine, for its owner.
    Engine {
        /// The engine.
        engine: EngineName,
        /// The event.
        event: Event,
    },
    /// A request needs a reservation on an engine.
    Begin {
        /// The request.
        token: Token,
        /// The requirements.
        spec: Spec,
    },
    /// The engine certainly did not run the granted request: reserve again.
    NotRun {
        /// The request.
        token: Token,
        /// The engine.
        engine: EngineName,
        /// The reservation.
        id: ReservationId,
        /// Whether the engine reported that the adapter is not loaded.
        missing: bool,
    },
    /// A granted request has ended.
    Finished {
        /// The request.
        token: Token,
        /// The engine.
        engine: EngineName,
        /// The reservation.
        id: ReservationId,
        /// Whether the engine has certainly stopped running it.
        ended: bool,
    },
    /// The caller disconnected before the request started.
    Cancel(Token),
    /// Claims the idempotency key of a request that must not run twice.
    Claim {
        /// The request.
        token: Token,
        /// The key's hash.
        key: u128,
    },
    /// The request with this key was certainly not sent: free the key.
    FreeKey {
        /// The request.
        token: Token,
    },
    /// The request with this key has ended: its keepers keep the key.
    KeepKey {
        /// The request.
        token: Token,
    },
    /// Begins the planned stop of this node.
    Leave,
}
