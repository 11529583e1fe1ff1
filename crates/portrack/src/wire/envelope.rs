//! The envelope of every datagram.

use super::Message;
use crate::types::{Instance, NodeName};
use serde::{Deserialize, Serialize};

/// A message with its sender, receiver and sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Hash of the cluster name; see [`super::cluster_hash`].
    pub cluster: u32,
    /// The sender.
    pub from: Instance,
    /// The receiver; a datagram replayed to another node is dropped.
    pub to: NodeName,
    /// Grows with every datagram from this sender to this receiver.
    pub seq: u64,
    /// The message.
    pub body: Message,
}
