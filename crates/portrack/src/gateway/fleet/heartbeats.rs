//! Heartbeats: which daemons are up, what they know, and which data halls are silent.

use super::daemons::{DaemonInfo, Daemons};
use super::message::{Capabilities, Heartbeat, PeerMessage};
use super::peers::{HEARTBEAT_INTERVAL, PeerChange};
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::regions::silence::log_silence_changes;
use crate::gateway::selection::load::server_hash;
use crate::types::Time;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which the number of live peers is logged.
const PEER_COUNT_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// A hall counts as reachable if one of its servers responded within this time, the same time after
/// which a silent daemon is missed.
const HALL_RESPONSE_WINDOW: Duration = Duration::from_millis(900);
/// A daemon that has received nothing from others for this long was cut off or paused: three rounds
/// of any peer's heartbeats.
const CUT_OFF_AFTER: Duration = Duration::from_millis(900);

impl GatewayDaemon {
    /// Runs for ever, and sends heartbeats.
    pub async fn send_heartbeats(self: Rc<Self>) {
        let mut before = self.now();
        loop {
            self.beat();
            actix_rt::time::sleep(HEARTBEAT_INTERVAL).await;
            let now = self.now();
            let silent = self.peers.borrow_mut().sweep(now, before);
            self.log_silent(&silent);
            before = now;
        }
    }

    /// Returns true if each peer that comes up or goes silent is logged. That is limited to small
    /// fleets: starting 195 nodes wrote 37,661 such lines. Larger fleets log the number of peers
    /// when it changes.
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

    /// Runs for ever, and logs the number of live peers when it changes.
    pub async fn log_peers(self: Rc<Self>) {
        let mut logged = 0;
        loop {
            actix_rt::time::sleep(PEER_COUNT_LOG_INTERVAL).await;
            let up = self.peers.borrow().up(self.now()).count();
            if up != logged && !self.logs_each_peer() {
                log::info!(up = up, before = logged; "peers");
            }
            logged = up;
        }
    }

    /// Sends a heartbeat to the next peers in turn.
    pub fn beat(&self) {
        let now = self.now();
        self.refresh_topology();
        let heartbeat = self.heartbeat();
        let targets = self.peers.borrow_mut().targets(now);
        // Heartbeats to other regions omit the outstanding work: they are too rare for it to be
        // useful, and the claim holders send loads there.
        let limits_remote_heartbeats = self.peers.borrow().limits_remote_heartbeats();
        let (remote, local): (Vec<SocketAddr>, Vec<SocketAddr>) =
            targets.into_iter().partition(|target| {
                limits_remote_heartbeats && self.handler.traffic.is_remote(*target)
            });
        let without_work = Heartbeat { work: Vec::new(), ..heartbeat.clone() };
        local.into_iter().for_each(|to| self.send(&PeerMessage::Heartbeat(heartbeat.clone()), to));
        remote
            .into_iter()
            .for_each(|to| self.send(&PeerMessage::Heartbeat(without_work.clone()), to));
        let up = self.peers.borrow().up(now).count();
        self.handler.daemon_count.set(up + 1);
        self.handler.retries.set_slack_shared(self.peers.borrow().share_retry_slack());
        let loads_are_delayed = !self.peers.borrow().is_full_mesh();
        self.handler.loads_are_delayed.set(loads_are_delayed);
        self.handler.grants.loads_are_delayed.set(loads_are_delayed);
        self.handler.grants.update_daemons(self.peers.borrow().all());
        self.check_halls(now);
        self.order_executor.planner.borrow_mut().set_daemon_count(up + 1);
        self.metrics.peers_up.set(up as i64);
        let daemons = self.eligible_daemons_at(now);
        self.handler.traffic.set_daemons(&daemons);
        self.handler.eligible_daemons.replace(daemons);
    }

    /// The daemons that may do tasks for others.
    fn eligible_daemons_at(&self, now: Time) -> Daemons {
        let peers = self.peers.borrow();
        let active = peers.up(now).filter(|(_, peer)| !peer.heartbeat.leaving);
        let others = active.map(|(_, peer)| DaemonInfo {
            address: peer.heartbeat.address,
            hall: peer.heartbeat.hall.as_str().into(),
            capacity: peer.heartbeat.capacity,
            capabilities: peer.heartbeat.capabilities,
        });
        Daemons::eligible(self.settings.as_daemon(), self.stopping(), others.collect())
    }

    fn check_halls(&self, now: Time) {
        let mut silent = self.peers.borrow().silent_halls(now, &self.settings.hall);
        silent.retain(|hall| !self.has_responding_server(now, hall));
        let before = self.handler.loads.silent_halls();
        if silent != before {
            log::warn!(halls:? = silent, before:? = before; "silent_halls");
            log_silence_changes(self.handler.locality.regions(), &before, &silent);
            self.handler.loads.set_silent_halls(silent);
        }
    }

    /// Returns true if a server of a hall responded recently. The hall is then reachable although
    /// its daemons, which may all have been killed or stopped at once, are silent. Without this
    /// check live servers got no requests for 3 to 25 s.
    fn has_responding_server(&self, now: Time, hall: &str) -> bool {
        let view = self.handler.view.borrow();
        let mut servers = view.backends().filter(|backend| &*backend.hall == hall);
        servers.any(|backend| {
            self.handler.loads.has_answered_within(now, &backend.id, HALL_RESPONSE_WINDOW)
        })
    }

    /// Builds this daemon's heartbeat.
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
            orders: self.orderable_server_hashes(now),
            work: self.handler.loads.own_work(),
            known: self.peers.borrow().known(now),
            capacity: self.settings.limits.capacity(),
            heard: u16::try_from(self.peers.borrow().up(now).count()).unwrap_or(u16::MAX),
            news: std::iter::once(self.own_sync_report()).chain(self.peer_sync_reports()).collect(),
            capabilities: Capabilities::OWN,
            store: self.eras.borrow().report(now, self.mirror.borrow().kept()),
            cut_off_from_servers: self.handler.pool.links().is_cut_off(),
        }
    }

    fn orderable_server_hashes(&self, now: Time) -> Vec<u32> {
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
        self.detect_reconnection(now);
        if let Some((own, others)) = heartbeat.news.split_first() {
            self.course.borrow_mut().heard(now, own, others);
        }
        self.eras.borrow_mut().hear(now, &heartbeat.store);
        let (known, address) = (heartbeat.heard.into(), heartbeat.address);
        let change = self.peers.borrow_mut().on_heartbeat(now, heartbeat);
        if matches!(change, Some(PeerChange::Up | PeerChange::Leaving)) {
            // A daemon that has just started should follow a peer as soon as it knows of one.
            self.refresh_topology();
        }
        self.send_known_peers(now, address, known);
        if change == Some(PeerChange::Up) {
            self.handler.pool.carrier_returns(address);
            self.handler.quarantine.send_snapshot(address);
            self.handler.backpressure.send_snapshot(address);
            self.handler.leaving.send_snapshot(address);
        }
        match change {
            Some(PeerChange::Up) if self.logs_each_peer() => log::info!(peer = &*node; "peer_up"),
            Some(PeerChange::Leaving) => {
                self.handler.pool.carrier_leaves(address);
                log::info!(peer = &*node; "peer_leaving");
            }
            Some(PeerChange::StaleIncarnation(known)) => {
                self.send(&PeerMessage::KnownAs(known), address)
            }
            Some(PeerChange::Up) | None => {}
        }
    }

    /// Handles the notice that others know a later incarnation of this daemon, because the node's
    /// clock went back. They would ignore everything that it sends.
    pub(in crate::gateway) fn raise_above(&self, known: u64) {
        let before = self.incarnation.number();
        if self.incarnation.raise_above(known) {
            log::warn!(before, incarnation = self.incarnation.number(); "incarnation_raised");
            self.beat();
        }
    }

    /// Detects that this daemon was cut off or paused and receives heartbeats again. Hanging calls
    /// are then repeated, and what was unreachable is tried again.
    fn detect_reconnection(&self, now: Time) {
        if let Some(silent) = self.cut_off_for(now) {
            log::info!(silent_ms = silent.as_millis() as u64; "reconnected");
            self.course.borrow_mut().reconnected();
            self.reconnected.notify_waiters();
        }
    }

    /// Returns true if this daemon is cut off, that is if it receives nothing from any other
    /// daemon.
    pub(in crate::gateway) fn is_cut_off(&self) -> bool {
        self.cut_off_for(self.now()).is_some()
    }

    fn cut_off_for(&self, now: Time) -> Option<Duration> {
        let silent = self.peers.borrow().silent_for(now);
        silent.filter(|silent| *silent >= CUT_OFF_AFTER)
    }

    /// Replies to a daemon that knows far fewer peers than this one with a heartbeat and a list of
    /// addresses. Without it each of 195 nodes that started together knew 20 others after 3 s.
    fn send_known_peers(&self, now: Time, address: SocketAddr, known: usize) {
        let some = self.peers.borrow_mut().addresses_for_new_peer(now, known);
        if some.is_empty() {
            return;
        }
        self.send(&PeerMessage::Heartbeat(self.heartbeat()), address);
        self.send(&PeerMessage::Known(some), address);
    }
}
