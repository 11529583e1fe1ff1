//! The messages between daemons about grants.

use super::pending_calls::CallId;
use crate::gateway::admission::OrganisationHash;
use crate::gateway::backpressure::message::LimitReport;
use crate::gateway::fleet::trailing_field::or_default;
use serde::{Deserialize, Serialize};

/// A request for a grant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The requesting daemon's call number.
    pub ask: u32,
    /// Hash of the server.
    pub server: u32,
    /// The request's organisation, if callers present keys.
    pub organisation: Option<OrganisationHash>,
    /// Number of prompt tokens; 0 if the servers have no prefill.
    pub tokens: u32,
    /// Priority, 0 is highest.
    pub priority: u8,
    /// The request must be sent within this to meet its objective, in milliseconds.
    pub left_ms: u32,
    /// The caller no longer waits for the answer if the request is sent later than this, in
    /// milliseconds.
    pub most_ms: u32,
    /// The longest gap between events of a stream that meets the objective, in milliseconds; 0 if
    /// gaps do not matter.
    pub gap_ms: u16,
    /// Usual gap between events at the server, in milliseconds.
    pub event_ms: u16,
    /// The server's stated limit as known to the requesting daemon.
    #[serde(deserialize_with = "or_default")]
    pub limit: Option<LimitReport>,
}

/// The answer to a request for a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantAnswer {
    /// The request may be sent; the server's prefill backlog in milliseconds.
    Granted(u32),
    /// The request waits for about this many milliseconds; another answer follows.
    Waits(u32),
    /// The request must not be sent; the retry delay in milliseconds.
    Refused(u32),
}

/// An answer and the call that it belongs to.
pub type GrantReply = (CallId, GrantAnswer);

/// How a granted or waiting request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantEnd {
    /// The response started this many milliseconds after the request was sent, so the prompt has
    /// been read.
    Begun(u32),
    /// The request was sent but failed.
    Failed,
    /// The request was sent and the connection was lost. The server may have restarted.
    Lost,
    /// The server does not have what the request needs and rejected it.
    TurnedAway,
    /// The request was not sent.
    Unsent,
    /// The server could not be reached.
    Unreachable,
}

/// A message about grants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GrantMessage {
    /// To the granter.
    Ask(GrantRequest),
    /// To the requesting daemon: its call number and the answer.
    Answer(u32, GrantAnswer),
    /// To the granter: the server, the requesting daemon's call number, and how the request ended.
    Ended(u32, u32, GrantEnd),
}
