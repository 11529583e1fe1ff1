//! Datagrams between daemons: heartbeats, demand, notices of placement.

use super::daemon::GatewayDaemon;
use super::dialect::AdapterKey;
use super::holdings::{NOTICE_HOLDS, Presence};
use super::message::{
    AdapterDemand, Heartbeat, MAX_DATAGRAM, NoticeState, PeerMessage, PlacementNotice, decode,
    encode,
};
use super::ordering::NoticeSink;
use super::peers::PeerChange;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Between heartbeats.
const BEAT: Duration = Duration::from_millis(300);
/// Misses are gathered for this long before the holder of orders is told.
const MISS_GATHER: Duration = Duration::from_millis(8);
/// Hits are told this often.
const HITS_TOLD: Duration = Duration::from_millis(500);
/// Adapters in one datagram of demand.
const DEMAND_CHUNK: usize = 40;
/// Notices in one datagram.
const NOTICE_CHUNK: usize = 12;
/// A datagram could not be received; the pause before the next try.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

impl GatewayDaemon {
    /// Sends one datagram; a full socket buffer loses it.
    pub fn tell(&self, message: &PeerMessage, to: SocketAddr) {
        let Some(bytes) = encode(message) else {
            log::error!(to:% = to; "datagram_too_long");
            return;
        };
        let _ = self.socket.try_send_to(&bytes, to);
        self.metrics.peer_bytes.inc_by(bytes.len() as u64);
    }

    /// Sends heartbeats, for ever.
    pub async fn send_heartbeats(self: Rc<Self>) {
        let mut before = self.now();
        loop {
            self.beat();
            actix_rt::time::sleep(BEAT).await;
            let now = self.now();
            let silent = self.peers.borrow_mut().sweep(now, before);
            for peer in silent {
                log::warn!(peer = &*peer; "peer_silent");
            }
            before = now;
        }
    }

    /// Sends one heartbeat to the peers whose turn it is.
    pub fn beat(&self) {
        let now = self.now();
        let heartbeat = self.heartbeat();
        let holds_orders = heartbeat.orders_fence.is_some();
        let message = PeerMessage::Heartbeat(heartbeat);
        let mut targets = self.peers.borrow_mut().targets(now);
        if holds_orders {
            let all = self.peers.borrow().addresses(now);
            targets.extend(
                all.into_iter().filter(|address| !targets.contains(address)).collect::<Vec<_>>(),
            );
        }
        for target in targets {
            self.tell(&message, target);
        }
        let up = self.peers.borrow().up(now).count();
        self.path.daemons.set(up + 1);
        self.metrics.peers_up.set(up as i64);
    }

    fn heartbeat(&self) -> Heartbeat {
        let now = self.now();
        Heartbeat {
            node: self.settings.node.clone(),
            hall: self.settings.hall.clone(),
            address: self.settings.members,
            incarnation: self.incarnation,
            revision: self.mirror.borrow().revision(),
            leaving: self.stopping.get(),
            sees_store: self.sees_store(),
            orders_fence: self.ordering.lease.borrow().fence(now),
            work: self.path.loads.own(),
            known: self.peers.borrow().known(now),
        }
    }

    /// Takes datagrams in, for ever.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = [0_u8; MAX_DATAGRAM + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match decode(&buffer[..length]) {
                    Some(message) => self.on_message(message, from),
                    None => self.metrics.datagrams_dropped.inc(),
                },
                Err(_) => actix_rt::time::sleep(RECEIVE_PAUSE).await,
            }
        }
    }

    fn on_message(self: &Rc<Self>, message: PeerMessage, _from: SocketAddr) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(heartbeat),
            PeerMessage::Demand(demand) => {
                let now = self.now();
                let mut planner = self.ordering.planner.borrow_mut();
                for asked in demand {
                    let key = key_of(&asked.model, &asked.adapter);
                    planner.asked(now, &key, asked.asked);
                }
                drop(planner);
                self.ordering.begin_due(self);
            }
            PeerMessage::Placement(notices) => self.on_notices(&notices),
            PeerMessage::Resigned(fence) => {
                log::info!(fence = fence; "orders_given_up_by_peer");
                self.office_vacant.notify_one();
            }
        }
    }

    fn on_heartbeat(&self, heartbeat: Heartbeat) {
        let now = self.now();
        let node: Rc<str> = heartbeat.node.as_str().into();
        if heartbeat.address == self.settings.members {
            return;
        }
        self.path.loads.peer(now, &node, heartbeat.work.clone());
        let change = self.peers.borrow_mut().heard(now, heartbeat);
        match change {
            Some(PeerChange::Up) => log::info!(peer = &*node; "peer_up"),
            Some(PeerChange::Leaving) => log::info!(peer = &*node; "peer_leaving"),
            None => {}
        }
    }

    fn on_notices(&self, notices: &[PlacementNotice]) {
        let now = self.now();
        let mut view = self.path.view.borrow_mut();
        for notice in notices {
            let key = key_of(&notice.model, &notice.adapter);
            let presence = match notice.state {
                NoticeState::Held(version) => Presence::Held(version),
                NoticeState::Coming(version, ms) => {
                    Presence::Coming(version, now + Duration::from_millis(ms.into()))
                }
                NoticeState::Absent => Presence::Absent,
            };
            let server: Rc<str> = notice.server.as_str().into();
            view.holdings.notice(&key, &server, presence, now + NOTICE_HOLDS);
        }
        drop(view);
        self.path.changed.notify_waiters();
    }

    /// Tells the holder of orders what is asked for, for ever.
    pub async fn tell_demand(self: Rc<Self>) {
        loop {
            let missed = self.path.demand.missed();
            if actix_rt::time::timeout(HITS_TOLD, missed).await.is_ok() {
                actix_rt::time::sleep(MISS_GATHER).await;
            }
            self.tell_demand_once();
        }
    }

    fn tell_demand_once(self: &Rc<Self>) {
        let now = self.now();
        let holding = self.ordering.lease.borrow().fence(now).is_some();
        let holder = self.peers.borrow().orders_holder(now).map(|(_, p)| p.heartbeat.address);
        if holding {
            let asked = self.path.demand.take();
            let mut planner = self.ordering.planner.borrow_mut();
            for (key, asked) in asked {
                planner.asked(now, &key, asked);
            }
            drop(planner);
            self.ordering.begin_due(self);
            return;
        }
        let Some(holder) = holder else { return };
        let asked = self.path.demand.take();
        for chunk in asked.chunks(DEMAND_CHUNK) {
            let demand = chunk.iter().map(|(key, asked)| AdapterDemand {
                model: key.model.to_string(),
                adapter: key.adapter.to_string(),
                asked: *asked,
            });
            self.tell(&PeerMessage::Demand(demand.collect()), holder);
        }
    }
}

impl NoticeSink for GatewayDaemon {
    fn notices(&self, notices: Vec<PlacementNotice>) {
        if notices.is_empty() {
            return;
        }
        self.on_notices(&notices);
        let addresses = self.peers.borrow().addresses(self.now());
        for chunk in notices.chunks(NOTICE_CHUNK) {
            let message = PeerMessage::Placement(chunk.to_vec());
            for address in &addresses {
                self.tell(&message, *address);
            }
        }
    }
}

fn key_of(model: &str, adapter: &str) -> AdapterKey {
    AdapterKey { model: model.into(), adapter: adapter.into() }
}
