//! The messages that daemons exchange in datagrams.

use super::{Heartbeat, KeyClaim, KeyReply, Kind, PermitAsk, PermitRef};
use crate::owner::{Answer, Ask, End, Holdings, Load};
use crate::types::{EngineName, Fence, ReservationId};
use serde::{Deserialize, Serialize};

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Member state, settings in force and loads.
    Heartbeat(Heartbeat),
    /// Loads that did not fit into the heartbeat.
    Loads(Vec<Load>),
    /// The adapters that an engine holds.
    Holdings(Holdings),
    /// Asks the owner for the holdings of an engine.
    HoldingsAsk(EngineName),
    /// Requests a reservation from an owner.
    Reserve {
        /// The engine.
        engine: EngineName,
        /// The reservation request.
        ask: Ask,
    },
    /// The owner's answer to a reservation request.
    Answer(Answer),
    /// Releases a reservation.
    Release {
        /// The engine.
        engine: EngineName,
        /// The reservation.
        id: ReservationId,
        /// What is known about how it ended.
        end: End,
    },
    /// The owner confirms a release.
    Released(ReservationId),
    /// Requests a load permit.
    PermitAsk(PermitAsk),
    /// The planner has received the request and has not granted it yet.
    PermitSeen(PermitRef),
    /// Grants a load permit.
    PermitGrant(PermitRef),
    /// Returns a load permit.
    PermitDone(PermitRef),
    /// The sender holds the lease of an engine that checks no fence: the receiver stops granting there.
    Takeover {
        /// The engine.
        engine: EngineName,
        /// The fence it is held under.
        fence: Fence,
    },
    /// Confirms a takeover: the sender grants nothing on the engine below this fence.
    TakeoverSeen {
        /// The engine.
        engine: EngineName,
        /// The fence.
        fence: Fence,
    },
    /// Claims an idempotency key at its first keeper.
    KeyClaim(KeyClaim),
    /// Copies a claim from the first keeper to the second before the first one answers.
    KeyCopy(KeyClaim),
    /// The second keeper's answer to the first.
    KeyCopied(KeyReply),
    /// The first keeper's answer to the entry node.
    KeyReply(KeyReply),
    /// The request was certainly not sent: the key is free again.
    KeyFree(KeyClaim),
}

impl Message {
    /// The kind of this message.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Heartbeat(_) | Self::Loads(_) => Kind::Heartbeat,
            Self::Holdings(_) | Self::HoldingsAsk(_) => Kind::Holdings,
            Self::Reserve { .. } | Self::Answer(_) => Kind::Reserve,
            Self::Release { .. } | Self::Released(_) => Kind::Reserve,
            Self::Takeover { .. } | Self::TakeoverSeen { .. } => Kind::Reserve,
            Self::PermitAsk(_) | Self::PermitSeen(_) => Kind::Permit,
            Self::PermitGrant(_) | Self::PermitDone(_) => Kind::Permit,
            Self::KeyClaim(_) | Self::KeyCopy(_) | Self::KeyCopied(_) => Kind::Key,
            Self::KeyReply(_) | Self::KeyFree(_) => Kind::Key,
        }
    }
}
