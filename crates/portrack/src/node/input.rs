//! What a node takes in.

use crate::membership::Peer;
use crate::owner::Event;
use crate::reserve::{Spec, Token};
use crate::router::BackendServer;
use crate::types::{EngineName, Instance, ReservationId};
use crate::wire::{Message, SettingsMark};

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed; expected every 50 ms or so.
    Tick,
    /// The platform's node list.
    Servers(Vec<BackendServer>),
    /// Daemons to know of.
    Peers(Vec<Peer>),
    /// All daemons by the platform's node list: the dead that it no longer names are forgotten.
    Listed(Vec<Peer>),
    /// The settings in force, and whether the platform answers.
    Settings {
        /// Which settings.
        mark: SettingsMark,
        /// Whether the key-value service answered lately.
        platform: bool,
    },
    /// A message from another daemon.
    Message {
        /// The sender.
        from: Instance,
        /// The message.
        body: Message,
    },
    /// An engine's word to its owner.
    Engine {
        /// The engine.
        engine: EngineName,
        /// Its word.
        event: Event,
    },
    /// A request wants a place.
    Begin {
        /// The request.
        token: Token,
        /// What it wants.
        spec: Spec,
    },
    /// The engine certainly did not run the granted request: find another place.
    NotRun {
        /// The request.
        token: Token,
        /// The engine.
        engine: EngineName,
        /// The reservation.
        id: ReservationId,
        /// True if the engine said that it does not hold the adapter.
        missing: bool,
    },
    /// A granted request is over.
    Finished {
        /// The request.
        token: Token,
        /// The engine.
        engine: EngineName,
        /// The reservation.
        id: ReservationId,
        /// True if the engine certainly runs nothing of it.
        ended: bool,
    },
    /// The caller is gone before the request started.
    Cancel(Token),
    /// A request that must not run twice wants its key.
    Claim {
        /// The request.
        token: Token,
        /// The key's hash.
        key: u128,
    },
    /// The request with this key was certainly not sent.
    FreeKey {
        /// The request.
        token: Token,
    },
    /// The request with this key is over: its claim stays remembered.
    KeepKey {
        /// The request.
        token: Token,
    },
    /// This node begins its planned stop.
    Leave,
}
