//! Everything that daemons say to each other in datagrams.

use crate::owner::{Answer, Ask, End, Holdings, Load};
use crate::types::{AdapterVersion, EngineName, Fence, Instance, NodeName, ReservationId};
use serde::{Deserialize, Serialize};

/// What a daemon says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Works.
    Alive,
    /// Finishes what it has; owns nothing, takes nothing new.
    Leaving,
}

/// Which settings a daemon has in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsMark {
    /// The highest revision applied.
    pub revision: u64,
    /// A hash over all entries and their revisions.
    pub digest: u64,
}

/// Sent by every daemon at a steady pace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Alive or leaving.
    pub state: MemberState,
    /// Settings in force.
    pub settings: SettingsMark,
    /// True if the platform's key-value service answered lately.
    pub platform: bool,
    /// Nodes of the own hall that this daemon no longer hears.
    pub suspects: Vec<NodeName>,
    /// The engines owned.
    pub loads: Vec<Load>,
}

/// Asks the load planner for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// Which load.
    pub load: PermitRef,
    /// How long the first request has waited, in milliseconds.
    pub waited_ms: u32,
    /// Requests that wait, interactive ones counted more.
    pub weight: u32,
}

/// Names one load.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitRef {
    /// The engine.
    pub engine: EngineName,
    /// The adapter.
    pub adapter: AdapterVersion,
}

/// A claim of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Hash of service, caller's scope and key.
    pub key: u128,
    /// The request that claims it.
    pub request: ReservationId,
    /// The entry node that will send the request.
    pub entry: Instance,
}

/// How a claim ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyVerdict {
    /// The key is this request's; it may be sent once.
    Yours,
    /// Another request has it.
    Taken,
    /// Too little is remembered to tell.
    Untrusted,
    /// This node does not keep the key.
    NotKeeper,
}

/// Answers a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyReply {
    /// The key.
    pub key: u128,
    /// The request that claimed it.
    pub request: ReservationId,
    /// The verdict.
    pub verdict: KeyVerdict,
}

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

/// The kinds of messages, for meters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Heartbeats and further loads.
    Heartbeat,
    /// Holdings and asks for them.
    Holdings,
    /// Reservations, answers and releases.
    Reserve,
    /// Load permits.
    Permit,
    /// Idempotency keys.
    Key,
    /// Settings fetched over TCP.
    Settings,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 6] =
        [Self::Heartbeat, Self::Holdings, Self::Reserve, Self::Permit, Self::Key, Self::Settings];

    /// The kind as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Holdings => "holdings",
            Self::Reserve => "reserve",
            Self::Permit => "permit",
            Self::Key => "key",
            Self::Settings => "settings",
        }
    }
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
