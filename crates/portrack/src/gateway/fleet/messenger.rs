//! Sends datagrams to other daemons.

use super::message::{PeerMessage, encode};
use crate::gateway::regions::traffic::RegionTraffic;
use prometheus::IntCounter;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// A socket whose bytes are counted.
pub struct Messenger {
    socket: UdpSocket,
    sent_bytes: IntCounter,
    traffic: Rc<RegionTraffic>,
}

impl Messenger {
    /// Sends by a socket and counts in `sent_bytes`, and in `traffic` what goes to other regions.
    pub fn new(socket: UdpSocket, sent_bytes: IntCounter, traffic: Rc<RegionTraffic>) -> Self {
        Self { socket, sent_bytes, traffic }
    }

    /// Sends one datagram; a full socket buffer loses it.
    pub fn send(&self, message: &PeerMessage, to: SocketAddr) {
        let Some(bytes) = encode(message) else {
            log::error!(to:% = to; "datagram_too_long");
            return;
        };
        let _ = self.socket.try_send_to(&bytes, to);
        self.sent_bytes.inc_by(bytes.len() as u64);
        self.traffic.count_daemon_bytes(message.kind(), to, bytes.len());
    }

    /// Waits for a datagram, and tells its length and sender.
    pub async fn receive(&self, buffer: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }
}
