//! Datagrams between daemons other than heartbeats: adapter demand, placement notices, loads.

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

/// Interval of usage reports.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(600);
/// Interval at which queues of requests that wait for a slot or a grant are checked.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the store's records of held requests are synchronised. What is not written is
/// lost if all daemons of a fleet are killed.
const RECORD_SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// Load requests or usage reports per datagram.
const DEMAND_CHUNK: usize = 20;
/// Notices per datagram.
const NOTICE_CHUNK: usize = 12;
/// Pause after a datagram could not be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

impl GatewayDaemon {
    /// Sends a datagram. It is lost if the socket buffer is full.
    pub fn send(&self, message: &PeerMessage, to: SocketAddr) {
        self.messenger.send(message, to);
    }

    /// Runs for ever, and sends quota counts to the accountants.
    pub async fn run_quota_reports(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(COUNTS_INTERVAL).await;
            self.handler.quotas.send_counts();
        }
    }

    /// Runs for ever, and advances the queues of requests that wait for a slot or a grant.
    pub async fn run_queue_timers(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(QUEUE_CHECK_INTERVAL).await;
            self.handler.slots.tick();
            self.handler.grants.tick();
            self.handler.quarantine.tick();
            self.handler.backpressure.tick();
            self.handler.leaving.tick();
            self.handler.origins.tick();
        }
    }

    /// Runs for ever, and synchronises the store's records of held requests.
    pub async fn run_held_request_records(self: Rc<Self>) {
        loop {
            let added = self.handler.quarantine.hold_added();
            let _ = actix_rt::time::timeout(RECORD_SYNC_INTERVAL, added).await;
            self.handler.quarantine.sync_records().await;
        }
    }

    /// Runs for ever, and dispatches received datagrams.
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
            PeerMessage::Wishes(requests) => self.on_load_requests(&requests, Some(from)),
            PeerMessage::Uses(usage) => self.on_usage(&usage, from),
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
            PeerMessage::Leaving(hashes) => self.handler.leaving.on_message(&hashes),
            PeerMessage::KnownAs(known) => self.raise_above(known),
            PeerMessage::Limits(reports) => self.handler.grants.on_limits(&reports),
            PeerMessage::Quota(message) => self.handler.quotas.on_message(message, from),
            PeerMessage::Retries(message) => self.handler.retries.on_message(message, from),
            PeerMessage::Origins(message) => self.handler.origins.on_message(message, from),
        }
    }

    /// Handles load requests for servers whose claims this daemon holds, and replies with what is
    /// known at once.
    fn on_load_requests(
        self: &Rc<Self>,
        requests: &[AdapterLoadRequest],
        from: Option<SocketAddr>,
    ) {
        let now = self.now();
        let mut answers = Vec::new();
        for request in requests {
            let server: Rc<str> = request.server.as_str().into();
            let key = key_of(&request.model, &request.adapter);
            let born = self.handler.view.borrow().born(&server);
            let is_ours = self.order_executor.claims.borrow().may_order(now, &server).is_some();
            let answer = match is_ours {
                true => {
                    let mut planner = self.order_executor.planner.borrow_mut();
                    planner.request_load(now, &server, &key, request.version, request.requests)
                }
                false => LoadRequestAnswer::Refused,
            };
            let state = match answer {
                LoadRequestAnswer::Held(version) => NoticeState::Held(version),
                LoadRequestAnswer::Coming(after) => {
                    NoticeState::Coming(request.version, after.as_millis() as u32)
                }
                LoadRequestAnswer::Refused => NoticeState::Refused,
            };
            answers.push(PlacementNotice {
                server: request.server.clone(),
                model: request.model.clone(),
                adapter: request.adapter.clone(),
                state,
                born,
            });
        }
        match from {
            Some(address) => self.send_notices(&answers, &[address]),
            None => self.on_notices(&answers),
        }
        self.order_executor.start_due_steps(self);
    }

    fn on_usage(&self, usage: &[AdapterUsage], from: SocketAddr) {
        let now = self.now();
        let claims = self.order_executor.claims.borrow();
        let ids_by_hash: HashMap<u32, Rc<str>> =
            claims.all().map(|(id, _)| (server_hash(id), id.clone())).collect();
        let mut planner = self.order_executor.planner.borrow_mut();
        for used in usage {
            let Some(server) = ids_by_hash.get(&used.server) else { continue };
            let key = key_of(&used.model, &used.adapter);
            if used.running || used.times > 0 {
                planner.record_use(now, server, &key, used.times);
            }
            planner.set_running(now, server, &key, from, used.running);
        }
    }

    /// Applies the loads that servers report, and forwards them to this daemon's followers.
    pub(in crate::gateway) fn on_loads(&self, loads: &[ServerLoad]) {
        self.handler.loads.record_reports(self.now(), loads);
        self.feed.push_loads(loads);
    }

    /// Applies changes that other daemons made at servers, unless they concern another incarnation
    /// than the known one.
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
            let ttl = match presence {
                Presence::Refused => REFUSAL_TTL,
                _ => NOTICE_TTL,
            };
            let server: Rc<str> = notice.server.as_str().into();
            view.adapter_locations.notice(&key, &server, presence, now + ttl);
        }
        drop(view);
        self.handler.view_changed.notify_waiters();
    }

    /// Runs for ever, and sends load requests to the daemons that hold the claims on the servers.
    pub async fn run_load_request_reports(self: Rc<Self>) {
        loop {
            self.handler.demand.load_requested().await;
            let now = self.now();
            let requests = self.handler.demand.take_load_requests().into_iter().map(|request| {
                let message = AdapterLoadRequest {
                    server: request.server.to_string(),
                    model: request.key.model.to_string(),
                    adapter: request.key.adapter.to_string(),
                    version: request.version,
                    requests: request.requests,
                };
                (request.server, message)
            });
            for (address, requests) in self.by_claim_holder(now, requests) {
                match address {
                    None => self.on_load_requests(&requests, None),
                    Some(address) => self.send_chunks(&requests, address, PeerMessage::Wishes),
                }
            }
        }
    }

    /// Runs for ever, and sends them usage reports.
    pub async fn run_use_reports(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(USAGE_REPORT_INTERVAL).await;
            self.send_usage(self.handler.demand.take_usage());
            self.handler.demand.sweep(self.now());
        }
    }

    /// Runs for ever, and reports at once when an adapter starts or ceases to be used.
    pub async fn run_use_change_reports(self: Rc<Self>) {
        loop {
            self.handler.demand.usage_changed().await;
            self.send_usage(self.handler.demand.take_changed());
        }
    }

    fn send_usage(&self, usage: Vec<UsageReport>) {
        let now = self.now();
        let usage = usage.into_iter().map(|used| {
            let message = AdapterUsage {
                server: server_hash(&used.server),
                model: used.key.model.to_string(),
                adapter: used.key.adapter.to_string(),
                times: used.times,
                running: used.running,
            };
            (used.server, message)
        });
        for (address, usage) in self.by_claim_holder(now, usage) {
            match address {
                None => self.on_usage(&usage, self.settings.members),
                Some(address) => self.send_chunks(&usage, address, PeerMessage::Uses),
            }
        }
    }

    /// Groups items by the daemon that holds the claim on their server; `None` stands for this
    /// daemon. Items whose server is unclaimed are dropped.
    fn by_claim_holder<T>(
        &self,
        now: Time,
        items: impl Iterator<Item = (Rc<str>, T)>,
    ) -> HashMap<Option<SocketAddr>, Vec<T>> {
        let mut by_address: HashMap<Option<SocketAddr>, Vec<T>> = HashMap::new();
        for (server, item) in items {
            if let Some(address) = self.claim_holder(now, &server) {
                by_address.entry(address).or_default().push(item);
            }
        }
        by_address
    }

    fn send_chunks<T: Clone>(
        &self,
        items: &[T],
        to: SocketAddr,
        message: impl Fn(Vec<T>) -> PeerMessage,
    ) {
        for chunk in items.chunks(DEMAND_CHUNK) {
            self.send(&message(chunk.to_vec()), to);
        }
    }

    /// Address of the daemon that holds the claim on a server; `Some(None)` stands for this daemon.
    fn claim_holder(&self, now: Time, server: &str) -> Option<Option<SocketAddr>> {
        if self.order_executor.claims.borrow().may_order(now, server).is_some() {
            return Some(None);
        }
        self.claim_holders.address(now, server).map(Some)
    }

    fn send_notices(&self, notices: &[PlacementNotice], addresses: &[SocketAddr]) {
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
        self.send_notices(&notices, &addresses);
    }

    fn newer_incarnation(self: &Rc<Self>, server: &Rc<str>, born: u64) {
        self.on_newer_incarnation(server, born);
    }
}

fn key_of(model: &str, adapter: &str) -> AdapterKey {
    AdapterKey { model: model.into(), adapter: adapter.into() }
}
