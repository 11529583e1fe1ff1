//! Sends datagrams to other daemons.

use super::message::{PeerMessage, encode};
use crate::gateway::regions::traffic::RegionTraffic;
use prometheus::IntCounter;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// A datagram socket that counts the bytes it sends.
pub struct Messenger {
    socket: UdpSocket,
    sent_bytes: IntCounter,
    traffic: Rc<RegionTraffic>,
}

impl Messenger {
    /// Sends through `socket`, counts the bytes in `sent_bytes`, and counts bytes to other regions
    /// in `traffic`.
    pub fn new(socket: UdpSocket, sent_bytes: IntCounter, traffic: Rc<RegionTraffic>) -> Self {
        Self { socket, sent_bytes, traffic }
    }

    /// Sends a datagram. It is lost if the socket buffer is full.
    pub fn send(&self, message: &PeerMessage, to: SocketAddr) {
        let Some(bytes) = encode(message) else {
            log::error!(to:% = to; "datagram_too_long");
            return;
        };
        let _ = self.socket.try_send_to(&bytes, to);
        self.sent_bytes.inc_by(bytes.len() as u64);
        self.traffic.count_daemon_bytes(message.kind(), to, bytes.len());
    }

    /// Waits for a datagram, and returns its length and sender.
    pub async fn receive(&self, buffer: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }
}
