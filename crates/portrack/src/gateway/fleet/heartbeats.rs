//! Heartbeats: who is there, what it knows, which data halls are heard.

use super::daemons::{DaemonInfo, Daemons};
use super::message::{Capabilities, Heartbeat, PeerMessage};
use super::peers::{BEAT, PeerChange};
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::regions::silence::log_silence_changes;
use crate::gateway::selection::load::server_hash;
use crate::types::Time;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Between log lines of how many peers are up.
const PEERS_LOGGED: Duration = Duration::from_secs(2);

/// A hall of which a server answered within this is not cut off: as long as its daemons are silent
/// before they are missed.
const HALL_ANSWERS: Duration = Duration::from_millis(900);
/// A daemon that has heard no other one for so long is cut off, or was paused: three turns of the
/// heartbeats of any peer.
const CUT_OFF: Duration = Duration::from_millis(900);

impl GatewayDaemon {
    /// Sends heartbeats, for ever.
    pub async fn send_heartbeats(self: Rc<Self>) {
        let mut before = self.now();
        loop {
            self.beat();
            actix_rt::time::sleep(BEAT).await;
            let now = self.now();
            let silent = self.peers.borrow_mut().sweep(now, before);
            self.log_silent(&silent);
            before = now;
        }
    }

    /// A line for each peer that comes or falls silent is written in small fleets only: a start of
    /// 195 nodes wrote 37,661 of them. In larger ones the number of peers is logged as it changes.
    fn logs_each_peer(&self) -> bool {
        self.peers.borrow().is_full_mesh()
    }

    fn log_silent(&self, silent: &[Rc<str>]) {
        if self.logs_each_peer() {
            for peer in silent {
                log::warn!(peer = &**peer; "peer_silent");
            }
        }
    }

    /// Logs how many peers are up, if that has changed, for ever.
    pub async fn log_peers(self: Rc<Self>) {
        let mut logged = 0;
        loop {
            actix_rt::time::sleep(PEERS_LOGGED).await;
            let up = self.peers.borrow().up(self.now()).count();
            if up != logged && !self.logs_each_peer() {
                log::info!(up = up, before = logged; "peers");
            }
            logged = up;
        }
    }

    /// Sends one heartbeat to the peers whose turn it is.
    pub fn beat(&self) {
        let now = self.now();
        self.refresh_topology();
        let heartbeat = self.heartbeat();
        let targets = self.peers.borrow_mut().targets(now);
        // To other regions requests at servers would come too seldom to count; orderers tell loads there.
        let spares_far = self.peers.borrow().spares_far();
        let (far, near): (Vec<SocketAddr>, Vec<SocketAddr>) = targets
            .into_iter()
            .partition(|target| spares_far && self.handler.traffic.is_remote(*target));
        let brief = Heartbeat { work: Vec::new(), ..heartbeat.clone() };
        near.into_iter().for_each(|to| self.send(&PeerMessage::Heartbeat(heartbeat.clone()), to));
        far.into_iter().for_each(|to| self.send(&PeerMessage::Heartbeat(brief.clone()), to));
        let up = self.peers.borrow().up(now).count();
        self.handler.daemon_count.set(up + 1);
        let loads_are_delayed = !self.peers.borrow().is_full_mesh();
        self.handler.loads_are_delayed.set(loads_are_delayed);
        self.handler.grants.loads_are_delayed.set(loads_are_delayed);
        self.handler.grants.update_daemons(self.peers.borrow().all());
        self.look_at_halls(now);
        self.order_executor.planner.borrow_mut().set_daemon_count(up + 1);
        self.metrics.peers_up.set(up as i64);
        let daemons = self.daemons_that_stay(now);
        self.handler.traffic.set_daemons(&daemons);
        self.handler.eligible_daemons.replace(daemons);
    }

    /// The daemons that may do duties for others.
    fn daemons_that_stay(&self, now: Time) -> Daemons {
        let peers = self.peers.borrow();
        let staying = peers.up(now).filter(|(_, peer)| !peer.heartbeat.leaving);
        let others = staying.map(|(_, peer)| DaemonInfo {
            address: peer.heartbeat.address,
            hall: peer.heartbeat.hall.as_str().into(),
            capacity: peer.heartbeat.capacity,
            capabilities: peer.heartbeat.capabilities,
        });
        Daemons::eligible(self.settings.as_daemon(), self.stopping(), others.collect())
    }

    fn look_at_halls(&self, now: Time) {
        let mut silent = self.peers.borrow().silent_halls(now, &self.settings.hall);
        silent.retain(|hall| !self.hears_servers_of(now, hall));
        let before = self.handler.loads.silent_halls();
        if silent != before {
            log::warn!(halls:? = silent, before:? = before; "silent_halls");
            log_silence_changes(self.handler.locality.regions(), &before, &silent);
            self.handler.loads.set_silent_halls(silent);
        }
    }

    /// True if a server of a hall said something a moment ago: the hall is not cut off, although its
    /// daemons, all killed or stopped at once, are silent. Without it servers that live got no
    /// requests for 3 to 25 s.
    fn hears_servers_of(&self, now: Time, hall: &str) -> bool {
        let view = self.handler.view.borrow();
        let mut servers = view.backends().filter(|backend| &*backend.hall == hall);
        servers
            .any(|backend| self.handler.loads.has_answered_within(now, &backend.id, HALL_ANSWERS))
    }

    /// What this daemon tells of itself.
    pub(in crate::gateway) fn heartbeat(&self) -> Heartbeat {
        let now = self.now();
        Heartbeat {
            node: self.settings.node.clone(),
            hall: self.settings.hall.clone(),
            address: self.settings.members,
            incarnation: self.incarnation.number(),
            revision: self.mirror.borrow().revision(),
            leaving: self.stopping(),
            sees_store: self.sees_store(),
            watches: self.watches.get(),
            orders: self.orderable_marks(now),
            work: self.handler.loads.own_work(),
            known: self.peers.borrow().known(now),
            capacity: self.settings.limits.capacity(),
            heard: u16::try_from(self.peers.borrow().up(now).count()).unwrap_or(u16::MAX),
            news: std::iter::once(self.own_sync_report()).chain(self.peer_sync_reports()).collect(),
            capabilities: Capabilities::OWN,
            store: self.eras.borrow().report(now, self.mirror.borrow().kept()),
        }
    }

    fn orderable_marks(&self, now: Time) -> Vec<u32> {
        let orderable = self.order_executor.claims.borrow().orderable(now);
        self.metrics.servers_ordered.set(orderable.len() as i64);
        orderable.iter().map(|id| server_hash(id)).collect()
    }

    /// Applies a heartbeat of another daemon.
    pub(in crate::gateway) fn on_heartbeat(&self, heartbeat: Heartbeat) {
        let now = self.now();
        let node: Rc<str> = heartbeat.node.as_str().into();
        if heartbeat.address == self.settings.members {
            return;
        }
        self.handler.loads.set_peer_work(now, &node, heartbeat.work.clone());
        self.look_for_reconnection(now);
        if let Some((own, of_others)) = heartbeat.news.split_first() {
            self.course.borrow_mut().heard(now, own, of_others);
        }
        self.eras.borrow_mut().hear(now, &heartbeat.store);
        let (heard, address) = (heartbeat.heard.into(), heartbeat.address);
        let change = self.peers.borrow_mut().on_heartbeat(now, heartbeat);
        if matches!(change, Some(PeerChange::Up | PeerChange::Leaving)) {
            // One that has just started is to follow as soon as it hears of others.
            self.refresh_topology();
        }
        self.introduce_to(now, address, heard);
        if change == Some(PeerChange::Up) {
            self.handler.quarantine.send_snapshot(address);
            self.handler.backpressure.send_snapshot(address);
            self.handler.leaving.send_snapshot(address);
        }
        match change {
            Some(PeerChange::Up) if self.logs_each_peer() => log::info!(peer = &*node; "peer_up"),
            Some(PeerChange::Leaving) => log::info!(peer = &*node; "peer_leaving"),
            Some(PeerChange::StaleIncarnation(known)) => {
                self.send(&PeerMessage::KnownAs(known), address)
            }
            Some(PeerChange::Up) | None => {}
        }
    }

    /// Others know this daemon by a later life than it tells of: its node's clock has gone back since. They would
    /// believe nothing that it says.
    pub(in crate::gateway) fn raise_above(&self, former: u64) {
        let before = self.incarnation.number();
        if self.incarnation.raise_above(former) {
            log::warn!(before, incarnation = self.incarnation.number(); "incarnation_raised");
            self.beat();
        }
    }

    /// A daemon that hears others again after a silence was cut off or paused: calls that hang are
    /// made anew, and what could not be reached is tried again.
    fn look_for_reconnection(&self, now: Time) {
        if let Some(silent) = self.cut_off_for(now) {
            log::info!(silent_ms = silent.as_millis() as u64; "reconnected");
            self.course.borrow_mut().reconnected();
            self.reconnected.notify_waiters();
        }
    }

    /// True if no other daemon is heard any more: this one is cut off.
    pub(in crate::gateway) fn is_cut_off(&self) -> bool {
        self.cut_off_for(self.now()).is_some()
    }

    fn cut_off_for(&self, now: Time) -> Option<Duration> {
        let silent = self.peers.borrow().silent_for(now);
        silent.filter(|silent| *silent >= CUT_OFF)
    }

    /// Answers a daemon that has heard far fewer others than this one with a heartbeat and with some
    /// it may not know. Without it a node of 195 that started together knew 20 others after 3 s.
    fn introduce_to(&self, now: Time, address: SocketAddr, heard: usize) {
        let some = self.peers.borrow_mut().addresses_for_new_peer(now, heard);
        if some.is_empty() {
            return;
        }
        self.send(&PeerMessage::Heartbeat(self.heartbeat()), address);
        self.send(&PeerMessage::Known(some), address);
    }
}
