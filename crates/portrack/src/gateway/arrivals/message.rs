//! What daemons tell each other of grants.

use super::asks::CallId;
use crate::gateway::admission::OrganisationHash;
use crate::gateway::backpressure::message::LimitReport;
use crate::gateway::fleet::trailing_field::or_default;
use serde::{Deserialize, Serialize};

/// What a request needs of a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The asking daemon's count.
    pub ask: u32,
    /// The server, by its mark.
    pub server: u32,
    /// Whose request it is, if callers show keys.
    pub organisation: Option<OrganisationHash>,
    /// Tokens of its prompt; 0 where servers read none.
    pub tokens: u32,
    /// Its rank, 0 highest.
    pub priority: u8,
    /// It must be sent within this to be in time, in milliseconds.
    pub left_ms: u32,
    /// Nobody waits for its answer if it is sent later than this, in milliseconds.
    pub most_ms: u32,
    /// The longest pause of a stream in time, in milliseconds; 0 where pauses do not matter.
    pub gap_ms: u16,
    /// How long one event usually takes there, in milliseconds.
    pub event_ms: u16,
    /// The limit that the server names, as far as the asking daemon knows.
    #[serde(deserialize_with = "or_default")]
    pub limit: Option<LimitReport>,
}

/// What becomes of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantAnswer {
    /// It may be sent; how long the server will be reading, in milliseconds.
    Granted(u32),
    /// It waits for its turn for about so many milliseconds; another answer follows.
    Waits(u32),
    /// It is not to be sent there; when to come back, in milliseconds.
    Refused(u32),
}

/// An answer with the request it is for.
pub type GrantReply = (CallId, GrantAnswer);

/// What became of a request that was granted, or waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantEnd {
    /// Its answer begins, so many milliseconds after it was sent: its prompt is read.
    Begun(u32),
    /// It was sent, and no good answer came.
    Failed,
    /// It was sent, and the connection broke off: the server may have started again.
    Lost,
    /// The server does not have what it needs, and turned it away.
    TurnedAway,
    /// It was not sent.
    Unsent,
    /// The server could not be reached.
    Unreachable,
}

/// Messages of grants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GrantMessage {
    /// To the granter.
    Ask(GrantRequest),
    /// To the daemon that asked: its count, and the answer.
    Answer(u32, GrantAnswer),
    /// To the granter: the server, the daemon's count of the request, and how it went.
    Ended(u32, u32, GrantEnd),
}
