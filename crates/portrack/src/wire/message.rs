//! Everything that daemons say to each other in datagrams.

use super::{Heartbeat, KeyClaim, KeyReply, Kind, PermitAsk, PermitRef};
use crate::owner::{Answer, Ask, End, Holdings, Load};
use crate::types::{EngineName, Fence, ReservationId};
use serde::{Deserialize, Serialize};

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Membership, settings mark and load.
    Heartbeat(Heartbeat),
    /// More engines than one heartbeat carries.
    Loads(Vec<Load>),
    /// Which adapters an engine holds.
    Holdings(Holdings),
    /// Asks the owner for the holdings of an engine.
    HoldingsAsk(EngineName),
    /// Asks an owner for a place.
    Reserve {
        /// The engine.
        engine: EngineName,
        /// The ask.
        ask: Ask,
    },
    /// The owner's answer.
    Answer(Answer),
    /// Gives a place back.
    Release {
        /// The engine.
        engine: EngineName,
        /// The reservation.
        id: ReservationId,
        /// What is known of its end.
        end: End,
    },
    /// The owner has taken a release in.
    Released(ReservationId),
    /// Asks for a load permit.
    PermitAsk(PermitAsk),
    /// The planner has the ask, and no permit yet.
    PermitSeen(PermitRef),
    /// Grants a load permit.
    PermitGrant(PermitRef),
    /// Gives a load permit back.
    PermitDone(PermitRef),
    /// The sender holds the lease of an engine that checks no fence: grant nothing there.
    Takeover {
        /// The engine.
        engine: EngineName,
        /// The fence it is held under.
        fence: Fence,
    },
    /// The sender grants nothing on the engine below this fence.
    TakeoverSeen {
        /// The engine.
        engine: EngineName,
        /// The fence.
        fence: Fence,
    },
    /// Claims an idempotency key at its first keeper.
    KeyClaim(KeyClaim),
    /// The first keeper tells the second before it answers.
    KeyCopy(KeyClaim),
    /// The second keeper's word to the first.
    KeyCopied(KeyReply),
    /// The first keeper's word to the entry node.
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
