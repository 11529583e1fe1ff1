//! Sends datagrams to other daemons.

use super::message::{PeerMessage, encode};
use prometheus::IntCounter;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// A socket whose bytes are counted.
pub struct Messenger {
    socket: UdpSocket,
    sent_bytes: IntCounter,
}

impl Messenger {
    /// Sends by a socket and counts in `sent_bytes`.
    pub fn new(socket: UdpSocket, sent_bytes: IntCounter) -> Self {
        Self { socket, sent_bytes }
    }

    /// Sends one datagram; a full socket buffer loses it.
    pub fn tell(&self, message: &PeerMessage, to: SocketAddr) {
        let Some(bytes) = encode(message) else {
            log::error!(to:% = to; "datagram_too_long");
            return;
        };
        let _ = self.socket.try_send_to(&bytes, to);
        self.sent_bytes.inc_by(bytes.len() as u64);
    }

    /// Waits for a datagram, and tells its length and sender.
    pub async fn receive(&self, buffer: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }
}
