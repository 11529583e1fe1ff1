//! Datagrams between daemons beside heartbeats: demand, notices of placement, loads.

use super::message::{
    AdapterLoadRequest, AdapterUsage, MAX_DATAGRAM, NoticeState, PeerMessage, PlacementNotice,
    ServerLoad, decode,
};
use crate::gateway::admission::COUNTS_INTERVAL;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::dialect::AdapterKey;
use crate::gateway::orders::order_executor::NoticeSink;
use crate::gateway::orders::planner::LoadRequestAnswer;
use crate::gateway::selection::adapter_locations::{NOTICE_TTL, Presence, REFUSAL_TTL};
use crate::gateway::selection::demand::UsageReport;
use crate::gateway::selection::load::server_hash;
use crate::types::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Uses are told this often.
const USES_TOLD: Duration = Duration::from_millis(600);
/// Between looks at requests that wait for a slot or a grant.
const SLOTS_LOOK: Duration = Duration::from_millis(20);
/// Between looks at the store's records of requests that are held back: a fleet that is killed whole
/// forgets what it has not written.
const RECORDS_KEPT: Duration = Duration::from_millis(200);
/// Wishes and uses in one datagram.
const DEMAND_CHUNK: usize = 20;
/// Notices in one datagram.
const NOTICE_CHUNK: usize = 12;
/// A datagram could not be received; the pause before the next try.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

impl GatewayDaemon {
    /// Sends one datagram; a full socket buffer loses it.
    pub fn send(&self, message: &PeerMessage, to: SocketAddr) {
        self.messenger.send(message, to);
    }

    /// Tells accountants of quotas what they must know, for ever.
    pub async fn run_quota_reports(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(COUNTS_INTERVAL).await;
            self.handler.quotas.send_counts();
        }
    }

    /// Lets requests that wait for a slot or a grant have their turn, for ever.
    pub async fn run_queue_timers(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(SLOTS_LOOK).await;
            self.handler.slots.tick();
            self.handler.grants.tick();
            self.handler.quarantine.tick();
            self.handler.backpressure.tick();
            self.handler.leaving.tick();
        }
    }

    /// Keeps the store's records of requests that are held back, for ever.
    pub async fn run_held_request_records(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(RECORDS_KEPT).await;
            self.handler.quarantine.sync_records().await;
        }
    }

    /// Takes datagrams in, for ever.
    pub async fn receive_datagrams(self: Rc<Self>) {
        let mut buffer = [0_u8; MAX_DATAGRAM + 1];
        loop {
            match self.messenger.receive(&mut buffer).await {
                Ok((length, from)) => match decode(&buffer[..length]) {
                    Some(message) => self.on_message(message, from),
                    None => self.metrics.datagrams_dropped.inc(),
                },
                Err(_) => actix_rt::time::sleep(RECEIVE_PAUSE).await,
            }
        }
    }

    fn on_message(self: &Rc<Self>, message: PeerMessage, from: SocketAddr) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(heartbeat),
            PeerMessage::Wishes(wishes) => self.on_wishes(&wishes, Some(from)),
            PeerMessage::Uses(uses) => self.on_uses(&uses, from),
            PeerMessage::Placement(notices) => {
                self.on_notices(&notices);
                self.feed.push(&notices);
            }
            PeerMessage::Loads(loads) => self.on_loads(&loads),
            PeerMessage::Known(addresses) => {
                let mut peers = self.peers.borrow_mut();
                addresses.into_iter().for_each(|address| peers.add_candidate(address));
            }
            PeerMessage::Slots(message) => self.handler.slots.on_message(message, from),
            PeerMessage::Grants(message) => self.handler.grants.on_message(message, from),
            PeerMessage::Quarantine(message) => self.handler.quarantine.on_message(message),
            PeerMessage::Leaving(marks) => self.handler.leaving.on_message(&marks),
            PeerMessage::KnownAs(former) => self.raise_above(former),
            PeerMessage::Limits(reports) => self.handler.grants.on_limits(&reports),
            PeerMessage::Quota(message) => self.handler.quotas.on_message(message, from),
        }
    }

    /// Meets wishes at servers that this daemon orders, and answers what is known at once.
    fn on_wishes(self: &Rc<Self>, wishes: &[AdapterLoadRequest], from: Option<SocketAddr>) {
        let now = self.now();
        let mut answers = Vec::new();
        for wish in wishes {
            let server: Rc<str> = wish.server.as_str().into();
            let key = key_of(&wish.model, &wish.adapter);
            let born = self.handler.view.borrow().born(&server);
            let ours = self.order_executor.claims.borrow().may_order(now, &server).is_some();
            let answer = match ours {
                true => {
                    let mut planner = self.order_executor.planner.borrow_mut();
                    planner.request_load(now, &server, &key, wish.version, wish.requests)
                }
                false => LoadRequestAnswer::Refused,
            };
            let state = match answer {
                LoadRequestAnswer::Held(version) => NoticeState::Held(version),
                LoadRequestAnswer::Coming(after) => {
                    NoticeState::Coming(wish.version, after.as_millis() as u32)
                }
                LoadRequestAnswer::Refused => NoticeState::Refused,
            };
            answers.push(PlacementNotice {
                server: wish.server.clone(),
                model: wish.model.clone(),
                adapter: wish.adapter.clone(),
                state,
                born,
            });
        }
        match from {
            Some(address) => self.tell_notices(&answers, &[address]),
            None => self.on_notices(&answers),
        }
        self.order_executor.start_due_steps(self);
    }

    fn on_uses(&self, uses: &[AdapterUsage], from: SocketAddr) {
        let now = self.now();
        let claims = self.order_executor.claims.borrow();
        let marks: HashMap<u32, Rc<str>> =
            claims.all().map(|(id, _)| (server_hash(id), id.clone())).collect();
        let mut planner = self.order_executor.planner.borrow_mut();
        for used in uses {
            let Some(server) = marks.get(&used.server) else { continue };
            let key = key_of(&used.model, &used.adapter);
            if used.running || used.times > 0 {
                planner.record_use(now, server, &key, used.times);
            }
            planner.set_running(now, server, &key, from, used.running);
        }
    }

    /// Applies what servers report of their load, and passes it on to this daemon's followers.
    pub(in crate::gateway) fn on_loads(&self, loads: &[ServerLoad]) {
        self.handler.loads.record_reports(self.now(), loads);
        self.feed.push_loads(loads);
    }

    /// Applies what other daemons have changed at servers, if it is of the life that is known here.
    pub(in crate::gateway) fn on_notices(&self, notices: &[PlacementNotice]) {
        let now = self.now();
        let mut view = self.handler.view.borrow_mut();
        for notice in notices {
            if view.backend(&notice.server).is_none_or(|backend| backend.born != notice.born) {
                continue;
            }
            let key = key_of(&notice.model, &notice.adapter);
            let presence = match notice.state {
                NoticeState::Held(version) => Presence::Held(version),
                NoticeState::Coming(version, ms) => {
                    Presence::Coming(version, now + Duration::from_millis(ms.into()))
                }
                NoticeState::Absent => Presence::Absent,
                NoticeState::Refused => Presence::Refused,
            };
            let holds = match presence {
                Presence::Refused => REFUSAL_TTL,
                _ => NOTICE_TTL,
            };
            let server: Rc<str> = notice.server.as_str().into();
            view.adapter_locations.notice(&key, &server, presence, now + holds);
        }
        drop(view);
        self.handler.view_changed.notify_waiters();
    }

    /// Tells the daemons that order servers what is wished for, for ever.
    pub async fn run_load_request_reports(self: Rc<Self>) {
        loop {
            self.handler.demand.load_requested().await;
            let now = self.now();
            let wishes = self.handler.demand.take_load_requests().into_iter().map(|wish| {
                let told = AdapterLoadRequest {
                    server: wish.server.to_string(),
                    model: wish.key.model.to_string(),
                    adapter: wish.key.adapter.to_string(),
                    version: wish.version,
                    requests: wish.requests,
                };
                (wish.server, told)
            });
            for (address, wishes) in self.by_orderer(now, wishes) {
                match address {
                    None => self.on_wishes(&wishes, None),
                    Some(address) => self.tell_chunks(&wishes, address, PeerMessage::Wishes),
                }
            }
        }
    }

    /// Tells them what is used, for ever.
    pub async fn run_use_reports(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(USES_TOLD).await;
            self.send_uses(self.handler.demand.take_usage());
            self.handler.demand.sweep(self.now());
        }
    }

    /// Tells them at once what begins and ceases to be used, for ever.
    pub async fn run_use_change_reports(self: Rc<Self>) {
        loop {
            self.handler.demand.usage_changed().await;
            self.send_uses(self.handler.demand.take_changed());
        }
    }

    fn send_uses(&self, uses: Vec<UsageReport>) {
        let now = self.now();
        let uses = uses.into_iter().map(|used| {
            let told = AdapterUsage {
                server: server_hash(&used.server),
                model: used.key.model.to_string(),
                adapter: used.key.adapter.to_string(),
                times: used.times,
                running: used.running,
            };
            (used.server, told)
        });
        for (address, uses) in self.by_orderer(now, uses) {
            match address {
                None => self.on_uses(&uses, self.settings.members),
                Some(address) => self.tell_chunks(&uses, address, PeerMessage::Uses),
            }
        }
    }

    /// What concerns servers, by the daemon that may order each: `None` for this one. What nobody
    /// may order is left out.
    fn by_orderer<T>(
        &self,
        now: Time,
        items: impl Iterator<Item = (Rc<str>, T)>,
    ) -> HashMap<Option<SocketAddr>, Vec<T>> {
        let mut by_address: HashMap<Option<SocketAddr>, Vec<T>> = HashMap::new();
        for (server, item) in items {
            if let Some(address) = self.orderer(now, &server) {
                by_address.entry(address).or_default().push(item);
            }
        }
        by_address
    }

    fn tell_chunks<T: Clone>(
        &self,
        items: &[T],
        to: SocketAddr,
        message: impl Fn(Vec<T>) -> PeerMessage,
    ) {
        for chunk in items.chunks(DEMAND_CHUNK) {
            self.send(&message(chunk.to_vec()), to);
        }
    }

    /// Where the daemon that may order a server is: `Some(None)` for this one.
    fn orderer(&self, now: Time, server: &str) -> Option<Option<SocketAddr>> {
        if self.order_executor.claims.borrow().may_order(now, server).is_some() {
            return Some(None);
        }
        self.claim_holders.address(now, server).map(Some)
    }

    fn tell_notices(&self, notices: &[PlacementNotice], addresses: &[SocketAddr]) {
        for chunk in notices.chunks(NOTICE_CHUNK) {
            let message = PeerMessage::Placement(chunk.to_vec());
            for address in addresses {
                self.send(&message, *address);
            }
        }
    }
}

impl NoticeSink for GatewayDaemon {
    fn notices(&self, notices: Vec<PlacementNotice>) {
        if notices.is_empty() {
            return;
        }
        self.on_notices(&notices);
        self.feed.push(&notices);
        let addresses = self.peers.borrow().notice_targets(self.now());
        self.tell_notices(&notices, &addresses);
    }

    fn newer_incarnation(self: &Rc<Self>, server: &Rc<str>, born: u64) {
        self.on_newer_incarnation(server, born);
    }
}

fn key_of(model: &str, adapter: &str) -> AdapterKey {
    AdapterKey { model: model.into(), adapter: adapter.into() }
}
