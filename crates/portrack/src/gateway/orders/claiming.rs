//! Claims servers, renews the lease and releases servers on shutdown.

use super::claim_record::{ClaimKey, ClaimRecord, RecordEras};
use super::claim_records::SeenRecord;
use super::claims::{Claim, Predecessor};
use super::unclaimed_servers::{Candidates, ClaimAttempt, Claimant};
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::peers::Peers;
use crate::gateway::fleet::view::FleetView;
use crate::gateway::selection::load::server_hash;
use crate::gateway::store_sync::mirror::MirrorChange;
use crate::store::{KvEntry, KvError, KvOutcome, KvPut, KvTransaction};
use crate::types::Time;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks for servers to claim.
const CLAIM_INTERVAL: Duration = Duration::from_millis(200);
/// Renewals within the time to live of a lease.
const RENEWALS_PER_TTL: u32 = 5;
/// Interval between steps of the planner.
const PLAN_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of entries in one transaction.
const MAX_ENTRIES: usize = 30;
/// Maximum number of servers in one transaction: each has an expected record, a written record and,
/// for a takeover, a liveness key that must not exist.
const MAX_SERVERS_PER_TRANSACTION: usize = MAX_ENTRIES / 3;
/// Delay before another attempt to obtain a lease. In a fleet of 195 nodes of which a third cannot
/// reach the store, attempts every 200 ms caused 300 refused calls a second.
const LEASE_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// After its start, a daemon leaves servers without a record alone for this long: in a small fleet,
/// it knows all other daemons by then.
const STARTUP_DELAY: Duration = Duration::from_millis(1_200);
/// The same delay in a large fleet. Of 195 nodes that start together, each knows some of the others
/// by then; without it they made 6,031 refused claims in the 14 s before traffic.
const LARGE_FLEET_STARTUP_DELAY: Duration = Duration::from_millis(3_000);
/// In a large fleet, each daemon adds a fraction of this and meanwhile reads what earlier ones
/// claimed. Without it, 134 of 195 nodes took a lease and 480 transactions were refused.
const STARTUP_SPREAD: Duration = Duration::from_millis(3_000);
/// A hall gets another holder only if each has at least this many servers, so that a hall of 40
/// daemons and 16 servers renews 4 leases instead of 40.
const MIN_SERVERS_PER_HOLDER: usize = 4;
/// Minimum number of holders in a hall that has the daemons. With 2, the loss of one left 30% of a
/// small fleet's servers without a holder for 10 s.
const MIN_HOLDERS: usize = 3;
/// A claim is given up once its server has been out of reach for this long: longer than a sound server may be
/// silent.
const YIELD_AFTER: Duration = Duration::from_millis(1_500);
/// A machine heard from within this time is considered alive.
const MACHINE_TIMEOUT: Duration = Duration::from_millis(2_500);

impl GatewayDaemon {
    /// Returns this machine's name in claims, which is stable across restarts.
    fn machine(&self) -> String {
        format!("{}|{}", self.settings.node, self.settings.members)
    }

    /// Task that claims servers without a holder.
    pub async fn claim_servers(self: Rc<Self>) {
        while !self.stopping() {
            actix_rt::time::sleep(CLAIM_INTERVAL).await;
            self.update_era();
            self.update_claim_era();
            // Records that were read in an earlier era say nothing about the current store.
            if self.mirror.borrow().era() != self.eras.borrow().era() {
                continue;
            }
            let era = self.mirror.borrow().era();
            self.yield_unreachable_servers().await;
            let attempts = self.due_attempts();
            let holds_any = self.order_executor.claims.borrow().all().next().is_some();
            if attempts.is_empty() && !holds_any {
                continue;
            }
            if !self.ensure_lease().await {
                actix_rt::time::sleep(LEASE_RETRY_DELAY).await;
                continue;
            }
            self.settle_claims().await;
            if self.store.era() != era {
                continue;
            }
            for chunk in attempts.chunks(MAX_SERVERS_PER_TRANSACTION) {
                self.claim(chunk).await;
            }
        }
    }

    /// Task that runs the planner.
    pub async fn plan_steps(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(PLAN_INTERVAL).await;
            self.order_executor.start_due_steps(&self);
        }
    }

    /// Task that renews the lease.
    pub async fn renew_lease(self: Rc<Self>) {
        let every = self.order_executor.claims.borrow().ttl() / RENEWALS_PER_TTL;
        loop {
            actix_rt::time::sleep(every).await;
            let now = self.now();
            let lease = self.order_executor.claims.borrow_mut().lease_in_use(now);
            if let Some(lease) = lease {
                actix_rt::spawn(self.clone().renew(lease, now));
            }
        }
    }

    async fn renew(self: Rc<Self>, lease: u64, sent_at: Time) {
        let reply = self.store.renew_lease(lease).await;
        // A lease of an earlier era is over, and its id may have been reused.
        self.update_era();
        match reply {
            Ok(true) => self.order_executor.claims.borrow_mut().extend_lease(lease, sent_at),
            Ok(false) => {
                let mut claims = self.order_executor.claims.borrow_mut();
                if claims.lease(sent_at) == Some(lease) {
                    claims.clear_lease();
                    log::warn!(lease = lease; "lease_lost");
                }
            }
            Err(error) => log::warn!(lease = lease, error:% = error; "lease_not_renewed"),
        }
    }

    /// Makes sure that there is a live lease under which the claims were confirmed. Returns false
    /// if there is none.
    async fn ensure_lease(&self) -> bool {
        let asked_at = self.now();
        if self.order_executor.claims.borrow().lease(asked_at).is_some() {
            return true;
        }
        let era = self.store.era();
        let ttl = self.order_executor.claims.borrow().ttl();
        let live = ClaimRecord::live_key(&self.machine());
        let Ok(held) = self.store.get(&live).await else { return false };
        let Ok(lease) = self.store.grant_lease(ttl).await else { return false };
        let mut transaction = KvTransaction::default();
        transaction.expected.push((live.clone(), held.map_or(0, |held| held.revision)));
        let claims: Vec<(Rc<str>, Claim)> = {
            let claims = self.order_executor.claims.borrow();
            claims.all().map(|(id, claim)| (id.clone(), *claim)).collect()
        };
        for (server, claim) in claims.iter().take(MAX_ENTRIES) {
            transaction.expected.push((ClaimRecord::key(server), claim.revision));
        }
        let value = self.incarnation.number().to_be_bytes().to_vec();
        transaction.puts.push((KvPut { key: live, value }, Some(lease)));
        match self.store.transact(&transaction).await {
            // The lease and the revisions belong to an earlier era; the store may not mention that
            // in its reply.
            _ if self.store.era() != era => false,
            Ok(KvOutcome::Committed(_)) => {
                for (server, _) in claims.iter().skip(MAX_ENTRIES) {
                    self.order_executor.claims.borrow_mut().remove(server);
                }
                self.order_executor.claims.borrow_mut().set_lease(lease, asked_at);
                log::info!(lease = lease, claims = claims.len(); "lease_taken");
                true
            }
            Ok(KvOutcome::Conflict(held)) => {
                self.drop_changed_claims(&claims, &held);
                let _ = self.store.revoke_lease(lease).await;
                false
            }
            Ok(KvOutcome::NoLease) | Err(_) => {
                let _ = self.store.revoke_lease(lease).await;
                false
            }
        }
    }

    /// Drops the claims whose records have changed.
    fn drop_changed_claims(&self, claims: &[(Rc<str>, Claim)], held: &[crate::store::KvEntry]) {
        for (server, claim) in claims {
            let key = ClaimRecord::key(server);
            let current = held.iter().find(|held| held.key == key).map(|held| held.revision);
            if current != Some(claim.revision) {
                self.order_executor.claims.borrow_mut().remove(server);
                log::warn!(server = &**server, fence = claim.fence; "claim_lost");
            }
        }
    }

    fn due_attempts(&self) -> Vec<ClaimAttempt> {
        let now = self.now();
        let links = self.handler.pool.links();
        if links.is_cut_off() {
            return Vec::new();
        }
        let view = self.handler.view.borrow();
        let peers = self.peers.borrow();
        let claims = self.order_executor.claims.borrow();
        let records = self.records.borrow();
        let engines = || view.backends().filter(|backend| is_engine(&view, backend));
        let machine = self.machine();
        let unclaimed = engines().filter(|backend| {
            let held = records.holder(&backend.id).is_some_and(|holder| holder != machine);
            let reachable = links.failure(&backend.id).is_none();
            !backend.draining && !claims.contains(&backend.id) && !held && reachable
        });
        let unclaimed: Vec<Rc<str>> = unclaimed.map(|backend| backend.id.clone()).collect();
        let mut unclaimed_servers = self.unclaimed_servers.borrow_mut();
        unclaimed_servers.update(now, &unclaimed);
        if unclaimed.is_empty() {
            return Vec::new();
        }
        let total = engines().count();
        let holders = total.div_ceil(MIN_SERVERS_PER_HOLDER).max(MIN_HOLDERS * view.halls());
        let me = Claimant {
            name: &self.settings.node,
            machine: &machine,
            held: claims.all().count(),
            share: total.div_ceil(holders.min(peers.claimants(now).len() + 1)),
            claims_new_from: self.first_claims_from(&peers),
        };
        let mut by_hall: HashMap<Rc<str>, Candidates> = HashMap::new();
        for backend in unclaimed.iter().filter_map(|id| view.backend(id)) {
            by_hall.entry(backend.hall.clone()).or_insert_with(|| {
                let in_hall = engines().filter(|other| other.hall == backend.hall).count();
                self.candidates(&peers, now, &backend.hall, in_hall)
            });
        }
        let candidates = |server: &str| {
            let hall = view.backend(server).map(|backend| backend.hall.clone());
            hall.and_then(|hall| by_hall.get(&hall).cloned()).unwrap_or_default()
        };
        let heard = |machine: &str| peers.heard_within(now, machine, MACHINE_TIMEOUT);
        unclaimed_servers.due(now, me, &records, candidates, heard)
    }

    /// Returns the time from which this daemon claims what has no record: servers, and the retry slack.
    pub(in crate::gateway) fn first_claims_from(&self, peers: &Peers) -> Time {
        if peers.is_full_mesh() {
            return self.started_at + STARTUP_DELAY;
        }
        let fraction = f64::from(server_hash(&self.settings.node)) / f64::from(u32::MAX);
        self.started_at + LARGE_FLEET_STARTUP_DELAY + STARTUP_SPREAD.mul_f64(fraction)
    }

    /// Returns the daemons that could claim the servers of a hall.
    fn candidates(&self, peers: &Peers, now: Time, hall: &str, servers: usize) -> Candidates {
        let (mut near, mut far) = peers.claimants_by_hall(now, hall);
        let list = if self.settings.hall == hall { &mut near } else { &mut far };
        list.push(self.settings.node.as_str().into());
        let near = peers.by_capacity(hall, near.iter().map(|name| &**name).collect());
        let near = near.into_iter().map(Rc::from).collect();
        let holders = servers.div_ceil(MIN_SERVERS_PER_HOLDER).max(MIN_HOLDERS);
        Candidates { near, far, holders }
    }

    /// Claims servers in one transaction: all of them, or none if one record has changed.
    async fn claim(&self, attempts: &[ClaimAttempt]) {
        let attempts: &[ClaimAttempt] = &self.with_lost_claims(attempts);
        let mut transaction = KvTransaction::default();
        for attempt in attempts {
            let live = attempt.expired_machine.as_deref().map(ClaimRecord::live_key);
            if let Some(live) = live.filter(|live| !expects(&transaction, live)) {
                transaction.expected.push((live, 0));
            }
            let settled = attempt.predecessor == Predecessor::None;
            let record = self.own_record(settled, false);
            replace_record(&mut transaction, &attempt.server, attempt.revision, &record);
        }
        match self.store.transact(&transaction).await {
            Ok(KvOutcome::Committed(fence)) => {
                for attempt in attempts {
                    self.record_claim(attempt, fence);
                }
            }
            Ok(KvOutcome::Conflict(held)) => self.on_claim_conflict(attempts, &held),
            Ok(KvOutcome::NoLease) | Err(KvError::Unavailable) => {}
            Err(KvError::Unknown) => self.read_records(attempts).await,
        }
    }

    /// Adjusts the predecessor of each attempt for records that the store may have lost.
    fn with_lost_claims(&self, attempts: &[ClaimAttempt]) -> Vec<ClaimAttempt> {
        let (now, claims) = (self.now(), self.order_executor.claims.borrow());
        let predecessor =
            |attempt: &ClaimAttempt| claims.predecessor(now, &attempt.server, attempt.predecessor);
        attempts
            .iter()
            .map(|attempt| ClaimAttempt { predecessor: predecessor(attempt), ..attempt.clone() })
            .collect()
    }

    /// Builds a record that names this machine.
    fn own_record(&self, settled: bool, resigned: bool) -> ClaimRecord {
        let eras = self.eras.borrow();
        let eras = RecordEras { written: eras.era(), first: eras.first() };
        ClaimRecord { machine: self.machine(), settled, resigned, eras, yielded: false }
    }

    /// Gives up the claims on servers that have been out of reach for a while: their orders would not
    /// arrive, and other daemons may reach them.
    async fn yield_unreachable_servers(&self) {
        self.ask_about_unreachable_server().await;
        let now = self.now();
        let mut transaction = KvTransaction::default();
        for (server, claim) in self.unreachable_claims(now).into_iter().take(MAX_ENTRIES) {
            // From here on no order is sent, whether or not the record is written.
            self.order_executor.claims.borrow_mut().remove(&server);
            let record = ClaimRecord { yielded: true, ..self.own_record(claim.settled, true) };
            replace_record(&mut transaction, &server, claim.revision, &record);
            log::warn!(server = &*server, fence = claim.fence; "server_yielded");
        }
        if transaction.puts.is_empty() {
            return;
        }
        self.beat();
        let servers = transaction.puts.len();
        if !matches!(self.store.transact(&transaction).await, Ok(KvOutcome::Committed(_))) {
            log::warn!(servers = servers; "yield_not_recorded");
        }
    }

    /// Asks other daemons about one server that this one holds a claim on and does not reach.
    async fn ask_about_unreachable_server(&self) {
        let (now, links) = (self.now(), self.handler.pool.links());
        let backend = {
            let (view, claims) = (self.handler.view.borrow(), self.order_executor.claims.borrow());
            let mut claimed = claims.all().map(|(server, _)| server);
            let server = claimed.find(|server| links.needs_opinion(now, server, YIELD_AFTER));
            server.and_then(|server| view.backend(server).cloned())
        };
        if let Some(backend) = backend {
            self.handler.connections.peer_opinion(&backend).await;
        }
    }

    /// This daemon's claims on servers that only others reach, if there is another daemon that could take
    /// them over.
    fn unreachable_claims(&self, now: Time) -> Vec<(Rc<str>, Claim)> {
        if self.peers.borrow().claimants(now).is_empty() {
            return Vec::new();
        }
        let links = self.handler.pool.links();
        let claims = self.order_executor.claims.borrow();
        let unreachable =
            claims.all().filter(|(server, _)| links.is_only_mine(now, server, YIELD_AFTER));
        unreachable.map(|(server, claim)| (server.clone(), *claim)).collect()
    }

    fn record_claim(&self, attempt: &ClaimAttempt, revision: u64) {
        let now = self.now();
        let mut claims = self.order_executor.claims.borrow_mut();
        let orders_from = claims.add(now, &attempt.server, revision, attempt.predecessor);
        drop(claims);
        self.order_executor.on_claimed(&attempt.server, orders_from);
        log::info!(server = &*attempt.server, record = revision, before:? = attempt.predecessor; "server_claimed");
    }

    /// Drops this daemon's claim if a newer record names another machine: a write sent before the
    /// store was restored may take effect afterwards.
    pub(in crate::gateway) fn note_claim(&self, change: &MirrorChange) {
        let MirrorChange::Put(held) = change else { return };
        let Some(ClaimKey::Server(server)) = ClaimKey::parse(&held.key) else { return };
        let holder = ClaimRecord::read(&held.value).map(|record| record.machine);
        if holder.is_none_or(|holder| holder == self.machine()) {
            return;
        }
        if self.order_executor.claims.borrow_mut().remove_superseded(server, held.revision) {
            log::warn!(server = server, record = held.revision; "claim_overtaken");
        }
    }

    fn on_claim_conflict(&self, attempts: &[ClaimAttempt], held: &[KvEntry]) {
        for attempt in attempts {
            let key = ClaimRecord::key(&attempt.server);
            let live = attempt.expired_machine.as_deref().map(ClaimRecord::live_key);
            let alive = held.iter().any(|held| Some(&held.key) == live.as_ref());
            let record = held.iter().find(|held| held.key == key);
            let revision = record.map_or(0, |record| record.revision);
            log::info!(
                server = &*attempt.server, record = revision,
                holder = attempt.expired_machine.as_deref().unwrap_or_default(), holder_alive = alive;
                "claim_refused"
            );
            self.observe_record(&attempt.server, record);
        }
    }

    /// Reads the records of a transaction whose result is unknown.
    async fn read_records(&self, attempts: &[ClaimAttempt]) {
        for attempt in attempts {
            if let Ok(held) = self.store.get(&ClaimRecord::key(&attempt.server)).await {
                self.observe_record(&attempt.server, held.as_ref());
            }
        }
    }

    fn observe_record(&self, server: &str, held: Option<&KvEntry>) {
        let seen = held.and_then(|held| {
            let record = ClaimRecord::read(&held.value)?;
            Some(SeenRecord { revision: held.revision, record })
        });
        self.records.borrow_mut().observe(server, seen);
    }

    /// Marks claims as settled in the store once no other daemon's orders have to be waited for.
    async fn settle_claims(&self) {
        let now = self.now();
        let due: Vec<(Rc<str>, u64)> = {
            let claims = self.order_executor.claims.borrow();
            let unsettled = claims.all().filter(|(_, c)| !c.settled && now >= c.may_order_from);
            unsettled.map(|(id, claim)| (id.clone(), claim.revision)).collect()
        };
        for chunk in due.chunks(MAX_SERVERS_PER_TRANSACTION) {
            let mut transaction = KvTransaction::default();
            for (server, revision) in chunk {
                let record = self.own_record(true, false);
                replace_record(&mut transaction, server, *revision, &record);
            }
            match self.store.transact(&transaction).await {
                Ok(KvOutcome::Committed(revision)) => {
                    let mut claims = self.order_executor.claims.borrow_mut();
                    chunk.iter().for_each(|(server, _)| claims.mark_settled(server, revision));
                }
                Ok(KvOutcome::Conflict(_) | KvOutcome::NoLease) | Err(_) => {
                    log::warn!(servers = chunk.len(); "claims_not_settled");
                }
            }
        }
    }

    /// Drops the claim on a removed server and deletes its record.
    pub fn drop_claim(self: &Rc<Self>, server: &Rc<str>) {
        let Some(claim) = self.order_executor.claims.borrow_mut().remove(server) else { return };
        let (daemon, key) = (self.clone(), ClaimRecord::key(server));
        actix_rt::spawn(async move {
            let _ = daemon.store.remove(&key, claim.revision).await;
        });
    }

    /// Releases all servers on shutdown, so that successors need not wait for the lease to expire.
    pub async fn resign(&self) {
        self.update_era();
        let now = self.now();
        let lease = self.order_executor.claims.borrow().lease(now);
        let claims: Vec<(Rc<str>, Claim)> = {
            let claims = self.order_executor.claims.borrow();
            claims.all().map(|(id, claim)| (id.clone(), *claim)).collect()
        };
        let mut transaction = KvTransaction::default();
        for (server, claim) in claims.iter().take(MAX_ENTRIES / 2) {
            self.order_executor.claims.borrow_mut().remove(server);
            let settled = claim.settled;
            let record = self.own_record(settled, true);
            replace_record(&mut transaction, server, claim.revision, &record);
        }
        self.beat();
        if !transaction.puts.is_empty() {
            let written = self.store.transact(&transaction).await.is_ok();
            log::info!(servers = claims.len(), written = written; "servers_given_up");
        }
        if let Some(lease) = lease {
            let _ = self.store.revoke_lease(lease).await;
        }
    }
}

/// Adds the replacement of a server's record, last changed at `revision`.
fn replace_record(
    transaction: &mut KvTransaction,
    server: &str,
    revision: u64,
    record: &ClaimRecord,
) {
    let key = ClaimRecord::key(server);
    transaction.expected.push((key.clone(), revision));
    transaction.puts.push((KvPut { key, value: record.bytes() }, None));
}

fn expects(transaction: &KvTransaction, key: &str) -> bool {
    transaction.expected.iter().any(|(expected, _)| expected == key)
}

/// Returns true if a server's service has models.
fn is_engine(view: &FleetView, backend: &Backend) -> bool {
    view.service(&backend.service).is_some_and(|service| service.engine.is_some())
}
