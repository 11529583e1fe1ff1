//! Messages that open a tunnel. After [`TunnelReply::Opened`] the connection carries the bytes of the
//! connection to the server; after [`TunnelReply::OpenedFramed`] those from the server come in frames.

use crate::gateway::fleet::trailing_field::or_default;
use serde::{Deserialize, Serialize};

/// Asks for a connection to a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// The server.
    pub server: String,
    /// Hash of its incarnation.
    pub incarnation: u32,
    /// The sender reads frames.
    #[serde(deserialize_with = "or_default")]
    pub reads_frames: bool,
}

/// The answer to a [`TunnelRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelReply {
    /// The server is connected.
    Opened,
    /// The server could not be reached from here either.
    Unreachable {
        /// The connection was refused.
        refused: bool,
    },
    /// Says nothing about the server: this daemon does not know it as open, is cut off itself, is stopping, or
    /// carries as many tunnels as it may.
    Declined,
    /// The server is connected, and the bytes from it come in frames. The last one is empty, and says that the
    /// server has closed its connection.
    OpenedFramed,
}
