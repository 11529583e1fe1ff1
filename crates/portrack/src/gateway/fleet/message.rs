//! What daemons of a gateway fleet tell each other by datagram.

use super::trailing_field::or_default;
use crate::gateway::admission::QuotaMessage;
use crate::gateway::arrivals::GrantMessage;
use crate::gateway::backpressure::message::LimitReport;
use crate::gateway::dispatch::SlotMessage;
use crate::gateway::quarantine::message::QuarantineMessage;
use crate::gateway::selection::load::OutstandingWork;
use crate::gateway::store_sync::era::EraReport;
use crate::gateway::store_sync::report::SyncReport;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version of the messages; others are dropped.
pub const MESSAGE_VERSION: u8 = 5;
/// The longest datagram, in bytes.
pub const MAX_DATAGRAM: usize = 1_400;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Who is there and what it knows.
    Heartbeat(Heartbeat),
    /// Adapters wished for at servers that the receiver orders.
    Wishes(Vec<AdapterLoadRequest>),
    /// How often adapters were used at servers that the receiver orders.
    Uses(Vec<AdapterUsage>),
    /// What the sender has changed at servers that it orders.
    Placement(Vec<PlacementNotice>),
    /// What servers that the sender orders report of their load.
    Loads(Vec<ServerLoad>),
    /// Daemons that the receiver, which knows few, may not have heard of.
    Known(Vec<SocketAddr>),
    /// What is counted of organisations' quotas.
    Quota(QuotaMessage),
    /// Slots of the servers of small services.
    Slots(SlotMessage),
    /// Arrivals at a server.
    Grants(GrantMessage),
    /// Requests that servers ended under.
    Quarantine(QuarantineMessage),
    /// Limits that servers name.
    Limits(Vec<LimitReport>),
    /// Servers that leave, by the marks of their lives.
    Leaving(Vec<u32>),
    /// The sender knows the receiver by a later life than the one that the receiver tells of.
    KnownAs(u64),
}

impl PeerMessage {
    /// The kind of message, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeats",
            Self::Wishes(_) => "wishes",
            Self::Uses(_) => "uses",
            Self::Placement(_) => "notices",
            Self::Loads(_) => "loads",
            Self::Known(_) => "known",
            Self::Quota(_) => "quotas",
            Self::Slots(_) => "slots",
            Self::Grants(_) => "grants",
            Self::Quarantine(_) => "quarantine",
            Self::Limits(_) => "limits",
            Self::Leaving(_) => "leaving",
            Self::KnownAs(_) => "known_as",
        }
    }
}

/// A sign of life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub node: String,
    /// Its data hall.
    pub hall: String,
    /// Where it hears datagrams.
    pub address: SocketAddr,
    /// Differs with every start, and rises.
    pub incarnation: u64,
    /// The store's revision up to which it knows everything.
    pub revision: u64,
    /// It is being stopped.
    pub leaving: bool,
    /// It can reach the store.
    pub sees_store: bool,
    /// It watches the store itself; others may follow it.
    pub watches: bool,
    /// The servers that it may order now, by their marks.
    pub orders: Vec<u32>,
    /// Its requests at servers, by the marks of their lives.
    pub work: Vec<(u32, OutstandingWork)>,
    /// Some daemons it knows.
    pub known: Vec<SocketAddr>,
    /// How many daemons it has heard.
    pub heard: u16,
    /// How much work for others its node is suited to, compared with others.
    pub capacity: u32,
    /// How fresh its news of the store is, and then that of some others that watch.
    pub news: Vec<SyncReport>,
    /// What it does for others beyond what every build does.
    #[serde(deserialize_with = "or_default")]
    pub capabilities: Capabilities,
    /// Which era of the store it is in.
    #[serde(deserialize_with = "or_default")]
    pub store: EraReport,
}

/// What a build does for others that former ones do not: each capability is a bit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capabilities(u32);

impl Capabilities {
    /// What this build does.
    pub const OWN: Self = Self(Self::KEEPS_LIMITS);
    /// Grants no more arrivals at a server than the limit that it names.
    const KEEPS_LIMITS: u32 = 1;

    /// True if the limits that servers name are kept.
    pub fn enforces_limits(self) -> bool {
        self.0 & Self::KEEPS_LIMITS != 0
    }
}

/// An adapter wished for at a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdapterLoadRequest {
    /// The server.
    pub server: String,
    /// The base model.
    pub model: String,
    /// The adapter.
    pub adapter: String,
    /// The oldest version that will do.
    pub version: u64,
    /// Requests that missed it since the last wish.
    pub requests: u16,
}

/// How often an adapter was used at a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdapterUsage {
    /// The server, by its mark.
    pub server: u32,
    /// The base model.
    pub model: String,
    /// The adapter.
    pub adapter: String,
    /// Requests since the last report.
    pub times: u16,
    /// A request of the sender runs there now.
    pub running: bool,
}

/// How busy a server says it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server, by the mark of its life.
    pub server: u32,
    /// Requests that run there or wait to run.
    pub requests: u16,
}

/// A change at a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementNotice {
    /// The server.
    pub server: String,
    /// The base model.
    pub model: String,
    /// The adapter.
    pub adapter: String,
    /// What holds now.
    pub state: NoticeState,
    /// The life of the server that it holds for, by its start; see [`Backend::born`].
    ///
    /// [`Backend::born`]: super::backend::Backend::born
    pub born: Option<u64>,
}

/// What holds of an adapter at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeState {
    /// It can be used, at this version.
    Held(u64),
    /// This version is expected in so many milliseconds.
    Coming(u64, u32),
    /// It is gone or about to go.
    Absent,
    /// It could not be loaded there.
    Refused,
}

/// A datagram as bytes; `None` if it is too long.
pub fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    let mut bytes = vec![MESSAGE_VERSION];
    bytes.extend(postcard::to_allocvec(message).ok()?);
    (bytes.len() <= MAX_DATAGRAM).then_some(bytes)
}

/// Reads a datagram; `None` for bytes that are no message of this version.
pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    let (version, body) = bytes.split_first()?;
    if *version != MESSAGE_VERSION || bytes.len() > MAX_DATAGRAM {
        return None;
    }
    postcard::from_bytes(body).ok()
}
