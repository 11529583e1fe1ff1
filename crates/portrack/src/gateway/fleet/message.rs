//! Datagrams between the daemons of a gateway fleet.

use super::trailing_field::or_default;
use crate::gateway::admission::QuotaMessage;
use crate::gateway::arrivals::GrantMessage;
use crate::gateway::backpressure::message::LimitReport;
use crate::gateway::dispatch::SlotMessage;
use crate::gateway::quarantine::message::QuarantineMessage;
use crate::gateway::retries::message::RetryMessage;
use crate::gateway::selection::load::OutstandingWork;
use crate::gateway::software::message::OriginMessage;
use crate::gateway::store_sync::era::EraReport;
use crate::gateway::store_sync::report::SyncReport;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the datagram format; datagrams of other versions are dropped.
pub const MESSAGE_VERSION: u8 = 5;
/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM: usize = 1_400;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's state and what it knows.
    Heartbeat(Heartbeat),
    /// Requests to load adapters at servers whose claims the receiver holds.
    Wishes(Vec<AdapterLoadRequest>),
    /// Adapter usage at servers whose claims the receiver holds.
    Uses(Vec<AdapterUsage>),
    /// Changes that the sender has made at servers whose claims it holds.
    Placement(Vec<PlacementNotice>),
    /// Loads reported by servers whose claims the sender holds.
    Loads(Vec<ServerLoad>),
    /// Addresses of daemons, for a receiver that knows only a few.
    Known(Vec<SocketAddr>),
    /// Counts for organisations' quotas.
    Quota(QuotaMessage),
    /// Slots at the servers of small services.
    Slots(SlotMessage),
    /// Grants of arrivals at a server.
    Grants(GrantMessage),
    /// Requests that were running when their server ended.
    Quarantine(QuarantineMessage),
    /// Limits that servers advertise.
    Limits(Vec<LimitReport>),
    /// Incarnation hashes of servers that are leaving.
    Leaving(Vec<u32>),
    /// The sender knows a later incarnation of the receiver than the receiver reports; this is its
    /// number.
    KnownAs(u64),
    /// Retries of services' budgets.
    Retries(RetryMessage),
    /// Origins of streams.
    Origins(OriginMessage),
}

impl PeerMessage {
    /// Kind of message, for metrics.
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
            Self::Retries(_) => "retries",
            Self::Origins(_) => "origins",
        }
    }
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub node: String,
    /// Data hall of the sender.
    pub hall: String,
    /// The address it receives datagrams on.
    pub address: SocketAddr,
    /// Incarnation number, which increases with every start.
    pub incarnation: u64,
    /// Store revision up to which the sender knows all changes.
    pub revision: u64,
    /// The sender is stopping.
    pub leaving: bool,
    /// The sender can reach the store.
    pub sees_store: bool,
    /// The sender watches the store itself, so others may follow it.
    pub watches: bool,
    /// Id hashes of the servers that the sender may send orders to at present.
    pub orders: Vec<u32>,
    /// The sender's outstanding work at servers, by incarnation hash.
    pub work: Vec<(u32, OutstandingWork)>,
    /// Addresses of some daemons that the sender knows.
    pub known: Vec<SocketAddr>,
    /// Number of daemons that the sender receives heartbeats from.
    pub heard: u16,
    /// Capacity of its node for work on behalf of others, relative to other nodes.
    pub capacity: u32,
    /// Staleness of the sender's copy of the store, followed by that of some other daemons that
    /// watch it.
    pub news: Vec<SyncReport>,
    /// Optional features that the sender's build supports.
    #[serde(deserialize_with = "or_default")]
    pub capabilities: Capabilities,
    /// The era of the store that the sender is in.
    #[serde(deserialize_with = "or_default")]
    pub store: EraReport,
    /// The sender reaches no server.
    #[serde(deserialize_with = "or_default")]
    pub cut_off_from_servers: bool,
}

/// Bit set of features that earlier builds lack.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capabilities(u32);

impl Capabilities {
    /// The features of this build.
    pub const OWN: Self = Self(
        Self::ENFORCES_LIMITS
            | Self::SHARES_RETRY_SLACK
            | Self::CARRIES_TUNNELS
            | Self::REMEMBERS_STREAMS,
    );
    /// The build grants no more arrivals at a server than the advertised limit allows.
    const ENFORCES_LIMITS: u32 = 1;
    /// The build asks for the slack of retry budgets before it uses it.
    const SHARES_RETRY_SLACK: u32 = 2;
    /// The build opens connections to servers for other daemons.
    const CARRIES_TUNNELS: u32 = 4;
    /// The build keeps the origins of streams, and announces software versions before it uses them.
    const REMEMBERS_STREAMS: u32 = 8;

    /// Returns true if the build enforces the limits that servers advertise.
    pub fn enforces_limits(self) -> bool {
        self.0 & Self::ENFORCES_LIMITS != 0
    }

    /// Returns true if the build asks for the slack of retry budgets before it uses it.
    pub fn shares_retry_slack(self) -> bool {
        self.0 & Self::SHARES_RETRY_SLACK != 0
    }

    /// Returns true if the build keeps the origins of streams, and announces software versions before
    /// it uses them.
    pub fn remembers_streams(self) -> bool {
        self.0 & Self::REMEMBERS_STREAMS != 0
    }

    /// Returns true if the build opens connections to servers for other daemons.
    pub fn carries_tunnels(self) -> bool {
        self.0 & Self::CARRIES_TUNNELS != 0
    }
}

/// A request to load an adapter at a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdapterLoadRequest {
    /// The server.
    pub server: String,
    /// The base model.
    pub model: String,
    /// The adapter.
    pub adapter: String,
    /// The oldest acceptable version.
    pub version: u64,
    /// Requests that missed the adapter since the last load request.
    pub requests: u16,
}

/// Usage of an adapter at a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdapterUsage {
    /// Id hash of the server.
    pub server: u32,
    /// The base model.
    pub model: String,
    /// The adapter.
    pub adapter: String,
    /// Requests since the last report.
    pub times: u16,
    /// The sender has a request running there.
    pub running: bool,
}

/// Load that a server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Incarnation hash of the server.
    pub server: u32,
    /// Requests that run or wait there.
    pub requests: u16,
}

/// Notice of a change at a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementNotice {
    /// The server.
    pub server: String,
    /// The base model.
    pub model: String,
    /// The adapter.
    pub adapter: String,
    /// The new state.
    pub state: NoticeState,
    /// Start time of the server's incarnation that the notice is about; see [`Backend::born`].
    ///
    /// [`Backend::born`]: super::backend::Backend::born
    pub born: Option<u64>,
}

/// State of an adapter at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeState {
    /// Ready for use, at this version.
    Held(u64),
    /// This version is expected to be ready in this many milliseconds.
    Coming(u64, u32),
    /// Removed, or about to be.
    Absent,
    /// It could not be loaded there.
    Refused,
}

/// Encodes a datagram; `None` if it would be too long.
pub fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    let mut bytes = vec![MESSAGE_VERSION];
    bytes.extend(postcard::to_allocvec(message).ok()?);
    (bytes.len() <= MAX_DATAGRAM).then_some(bytes)
}

/// Decodes a datagram; `None` if the bytes are not a message of this version.
pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    let (version, body) = bytes.split_first()?;
    if *version != MESSAGE_VERSION || bytes.len() > MAX_DATAGRAM {
        return None;
    }
    postcard::from_bytes(body).ok()
}
