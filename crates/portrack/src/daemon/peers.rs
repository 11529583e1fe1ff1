//! Datagrams to and from other daemons.

use super::core::Core;
use crate::node::Input;
use crate::types::{Instance, NodeName};
use crate::wire::{self, Envelope, KeyRing, Message, ReplayWindow, WireError};
use actix_rt::net::UdpSocket;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// One byte more than the largest datagram, so that an oversized one is detected.
const BUFFER: usize = wire::MAX_DATAGRAM + 1;

/// The UDP socket with its keys and sequence numbers.
pub struct Link {
    socket: UdpSocket,
    ring: RefCell<KeyRing>,
    cluster: u32,
    sent: RefCell<HashMap<NodeName, u64>>,
    seen: RefCell<HashMap<NodeName, ReplayWindow>>,
}

impl Link {
    pub fn new(socket: UdpSocket, ring: KeyRing, cluster: &str) -> Self {
        Self {
            socket,
            ring: RefCell::new(ring),
            cluster: wire::cluster_hash(cluster),
            sent: RefCell::default(),
            seen: RefCell::default(),
        }
    }

    pub fn cluster(&self) -> u32 {
        self.cluster
    }

    pub fn ring(&self) -> KeyRing {
        self.ring.borrow().clone()
    }

    /// Replaces the keys.
    pub fn set_ring(&self, ring: KeyRing) {
        *self.ring.borrow_mut() = ring;
    }

    fn next_seq(&self, to: &NodeName) -> u64 {
        let mut sent = self.sent.borrow_mut();
        let seq = sent.entry(to.clone()).or_default();
        *seq += 1;
        *seq
    }

    fn open(&self, me: &NodeName, datagram: &[u8]) -> Result<(Instance, Message), WireError> {
        let (from, seq, body) = wire::open(&self.ring.borrow(), self.cluster, me, datagram)?;
        let mut seen = self.seen.borrow_mut();
        seen.entry(from.node.clone()).or_default().accept(&from, seq)?;
        Ok((from, body))
    }
}

impl Core {
    /// Sends a datagram. Delivery is not guaranteed.
    pub(super) fn send(&self, to: &NodeName, body: Message) {
        let node = self.node.borrow();
        let Some(member) = node.members().get(to) else { return };
        let kind = body.kind().as_str();
        let envelope = Envelope {
            cluster: self.link.cluster,
            from: node.me().clone(),
            to: to.clone(),
            seq: self.link.next_seq(to),
            body,
        };
        let sealed = match wire::seal(&self.link.ring.borrow(), &envelope) {
            Ok(sealed) => sealed,
            Err(error) => {
                log::error!(to = to.as_str(), error:% = error; "datagram-not-sealed");
                return;
            }
        };
        match self.link.socket.try_send_to(&sealed, member.peer.address) {
            Ok(size) => {
                self.metrics.bytes_sent.with_label_values(&[kind]).inc_by(size as u64);
                self.metrics.messages_sent.with_label_values(&[kind]).inc();
            }
            Err(_) => self.metrics.dropped.with_label_values(&["send"]).inc(),
        }
    }

    /// Receives datagrams until the task is aborted.
    pub(super) async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; BUFFER];
        loop {
            let Ok((size, _)) = self.link.socket.recv_from(&mut buffer).await else { continue };
            match self.link.open(&self.bootstrap.node, &buffer[..size]) {
                Ok((from, body)) => {
                    let kind = body.kind().as_str();
                    self.metrics.bytes_received.with_label_values(&[kind]).inc_by(size as u64);
                    self.feed(Input::Message { from, body });
                }
                Err(error) => self.metrics.dropped.with_label_values(&[error.label()]).inc(),
            }
        }
    }
}
