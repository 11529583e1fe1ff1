//! Takes, keeps and gives up the right to order servers.

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

/// Between looks at what is to be claimed.
const LOOK: Duration = Duration::from_millis(200);
/// Renewals in the time of one lease.
const RENEWALS: u32 = 5;
/// Between steps of the planner.
const PLAN_EVERY: Duration = Duration::from_millis(40);
/// Entries in one transaction.
const ENTRIES: usize = 30;
/// Servers in one transaction: each has a record that is expected, one that is written and, where
/// it is taken over, a sign of life that must be gone.
const SERVERS_A_TRANSACTION: usize = ENTRIES / 3;
/// The next try for a lease after one that failed. In a fleet of 195 nodes of which a third cannot
/// reach the store, tries each 200 ms were 300 refused calls a second.
const LEASE_AGAIN: Duration = Duration::from_millis(1_000);
/// A daemon that has just started leaves servers that nobody ordered alone for so long: in a small
/// fleet all others are known by then.
const KNOWS_FLEET_AFTER: Duration = Duration::from_millis(1_200);
/// The same in a fleet that it sees to be large. Of 195 nodes that start together each knows some of
/// the others by then; without it they made 6,031 refused claims in the 14 s before traffic.
const KNOWS_LARGE_FLEET_AFTER: Duration = Duration::from_millis(3_000);
/// There each daemon waits longer by a share of this, and reads meanwhile what those before it
/// claimed. With all at once 134 of 195 nodes took a lease, and 480 transactions were refused.
const FIRST_CLAIMS_SPREAD: Duration = Duration::from_millis(3_000);
/// A holder has at least so many servers to order before a hall takes another one, so that a hall
/// of 40 daemons and 16 servers has 4 leases to renew in place of 40.
const SERVERS_A_HOLDER: usize = 4;
/// Holders in a hall if it has the daemons: with 2, the loss of one left 30% of a small fleet's
/// servers without an orderer for 10 s.
const LEAST_HOLDERS: usize = 3;
/// A machine heard within this is not taken for gone.
const HEARD_WITHIN: Duration = Duration::from_millis(2_500);

impl GatewayDaemon {
    /// This machine's name in claims; stays the same over restarts.
    fn machine(&self) -> String {
        format!("{}|{}", self.settings.node, self.settings.members)
    }

    /// Claims servers that nobody orders, for ever.
    pub async fn claim_servers(self: Rc<Self>) {
        while !self.stopping() {
            actix_rt::time::sleep(LOOK).await;
            self.update_era();
            self.update_claim_era();
            // Records that were read in a former era say nothing of the store.
            if self.mirror.borrow().era() != self.eras.borrow().era() {
                continue;
            }
            let era = self.mirror.borrow().era();
            let tries = self.tries();
            let holds_any = self.order_executor.claims.borrow().all().next().is_some();
            if tries.is_empty() && !holds_any {
                continue;
            }
            if !self.has_lease().await {
                actix_rt::time::sleep(LEASE_AGAIN).await;
                continue;
            }
            self.settle().await;
            if self.store.era() != era {
                continue;
            }
            for chunk in tries.chunks(SERVERS_A_TRANSACTION) {
                self.claim(chunk).await;
            }
        }
    }

    /// Lets the planner go on, for ever.
    pub async fn plan_steps(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(PLAN_EVERY).await;
            self.order_executor.start_due_steps(&self);
        }
    }

    /// Renews the lease, for ever.
    pub async fn renew_lease(self: Rc<Self>) {
        let every = self.order_executor.claims.borrow().ttl() / RENEWALS;
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
        let answer = self.store.renew_lease(lease).await;
        // A lease of a former era is over, and its id may be another one's by now.
        self.update_era();
        match answer {
            Ok(true) => self.order_executor.claims.borrow_mut().renewed(lease, sent_at),
            Ok(false) => {
                let mut claims = self.order_executor.claims.borrow_mut();
                if claims.lease(sent_at) == Some(lease) {
                    claims.lapsed();
                    log::warn!(lease = lease; "lease_lost");
                }
            }
            Err(error) => log::warn!(lease = lease, error:% = error; "lease_not_renewed"),
        }
    }

    /// True once there is a living lease and the claims were confirmed under it.
    async fn has_lease(&self) -> bool {
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
        for (server, claim) in claims.iter().take(ENTRIES) {
            transaction.expected.push((ClaimRecord::key(server), claim.revision));
        }
        let value = self.incarnation.number().to_be_bytes().to_vec();
        transaction.puts.push((KvPut { key: live, value }, Some(lease)));
        match self.store.transact(&transaction).await {
            // The lease and the revisions are those of a former era, which a store may not tell in its answer.
            _ if self.store.era() != era => false,
            Ok(KvOutcome::Committed(_)) => {
                for (server, _) in claims.iter().skip(ENTRIES) {
                    self.order_executor.claims.borrow_mut().dropped(server);
                }
                self.order_executor.claims.borrow_mut().leased(lease, asked_at);
                log::info!(lease = lease, claims = claims.len(); "lease_taken");
                true
            }
            Ok(KvOutcome::Conflict(held)) => {
                self.drop_changed(&claims, &held);
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
    fn drop_changed(&self, claims: &[(Rc<str>, Claim)], held: &[crate::store::KvEntry]) {
        for (server, claim) in claims {
            let key = ClaimRecord::key(server);
            let now_at = held.iter().find(|held| held.key == key).map(|held| held.revision);
            if now_at != Some(claim.revision) {
                self.order_executor.claims.borrow_mut().dropped(server);
                log::warn!(server = &**server, fence = claim.fence; "claim_lost");
            }
        }
    }

    fn tries(&self) -> Vec<ClaimAttempt> {
        let now = self.now();
        let view = self.handler.view.borrow();
        let peers = self.peers.borrow();
        let claims = self.order_executor.claims.borrow();
        let records = self.records.borrow();
        let engines = || view.backends().filter(|backend| is_engine(&view, backend));
        let machine = self.machine();
        let vacant = engines().filter(|backend| {
            let held = records.holder(&backend.id).is_some_and(|holder| holder != machine);
            !backend.draining && !claims.has(&backend.id) && !held
        });
        let vacant: Vec<Rc<str>> = vacant.map(|backend| backend.id.clone()).collect();
        let mut unclaimed_servers = self.unclaimed_servers.borrow_mut();
        unclaimed_servers.update(now, &vacant);
        if vacant.is_empty() {
            return Vec::new();
        }
        let total = engines().count();
        let holders = total.div_ceil(SERVERS_A_HOLDER).max(LEAST_HOLDERS * view.halls());
        let me = Claimant {
            name: &self.settings.node,
            machine: &machine,
            held: claims.all().count(),
            share: total.div_ceil(holders.min(peers.claimants(now).len() + 1)),
            knows_fleet_from: self.knows_fleet_from(&peers),
        };
        let mut by_hall: HashMap<Rc<str>, Candidates> = HashMap::new();
        for backend in vacant.iter().filter_map(|id| view.backend(id)) {
            by_hall.entry(backend.hall.clone()).or_insert_with(|| {
                let in_hall = engines().filter(|other| other.hall == backend.hall).count();
                self.candidates(&peers, now, &backend.hall, in_hall)
            });
        }
        let candidates = |server: &str| {
            let hall = view.backend(server).map(|backend| backend.hall.clone());
            hall.and_then(|hall| by_hall.get(&hall).cloned()).unwrap_or_default()
        };
        let heard = |machine: &str| peers.heard_within(now, machine, HEARD_WITHIN);
        unclaimed_servers.due(now, me, &records, candidates, heard)
    }

    /// From when on this daemon claims servers that nobody ordered yet.
    fn knows_fleet_from(&self, peers: &Peers) -> Time {
        if peers.is_full_mesh() {
            return self.started_at + KNOWS_FLEET_AFTER;
        }
        let share = f64::from(server_hash(&self.settings.node)) / f64::from(u32::MAX);
        self.started_at + KNOWS_LARGE_FLEET_AFTER + FIRST_CLAIMS_SPREAD.mul_f64(share)
    }

    /// Who could claim the servers of a hall.
    fn candidates(&self, peers: &Peers, now: Time, hall: &str, servers: usize) -> Candidates {
        let (mut near, mut far) = peers.claimants_by_hall(now, hall);
        let list = if self.settings.hall == hall { &mut near } else { &mut far };
        list.push(self.settings.node.as_str().into());
        let near = peers.by_capacity(hall, near.iter().map(|name| &**name).collect());
        let near = near.into_iter().map(Rc::from).collect();
        let holders = servers.div_ceil(SERVERS_A_HOLDER).max(LEAST_HOLDERS);
        Candidates { near, far, holders }
    }

    /// Claims some servers in one transaction: all of them, or none if one record has changed.
    async fn claim(&self, tries: &[ClaimAttempt]) {
        let tries: &[ClaimAttempt] = &self.with_lost_claims(tries);
        let mut transaction = KvTransaction::default();
        for attempt in tries {
            let live = attempt.gone.as_deref().map(ClaimRecord::live_key);
            if let Some(live) = live.filter(|live| !expects(&transaction, live)) {
                transaction.expected.push((live, 0));
            }
            let settled = attempt.before == Predecessor::None;
            let record = self.own_record(settled, false);
            replace_record(&mut transaction, &attempt.server, attempt.revision, &record);
        }
        match self.store.transact(&transaction).await {
            Ok(KvOutcome::Committed(fence)) => {
                for attempt in tries {
                    self.claimed(attempt, fence);
                }
            }
            Ok(KvOutcome::Conflict(held)) => self.claim_refused(tries, &held),
            Ok(KvOutcome::NoLease) | Err(KvError::Unavailable) => {}
            Err(KvError::Unknown) => self.look_up(tries).await,
        }
    }

    /// The same tries, with what may have been lost with the store's newest part.
    fn with_lost_claims(&self, tries: &[ClaimAttempt]) -> Vec<ClaimAttempt> {
        let (now, claims) = (self.now(), self.order_executor.claims.borrow());
        let before =
            |attempt: &ClaimAttempt| claims.predecessor(now, &attempt.server, attempt.before);
        tries
            .iter()
            .map(|attempt| ClaimAttempt { before: before(attempt), ..attempt.clone() })
            .collect()
    }

    /// A record that names this machine.
    fn own_record(&self, settled: bool, resigned: bool) -> ClaimRecord {
        let eras = self.eras.borrow();
        let eras = RecordEras { written: eras.era(), first: eras.first() };
        ClaimRecord { machine: self.machine(), settled, resigned, eras }
    }

    fn claimed(&self, attempt: &ClaimAttempt, revision: u64) {
        let now = self.now();
        let mut claims = self.order_executor.claims.borrow_mut();
        claims.claimed(now, &attempt.server, revision, attempt.before);
        drop(claims);
        self.order_executor.claimed(&attempt.server);
        log::info!(server = &*attempt.server, record = revision, before:? = attempt.before; "server_claimed");
    }

    /// Drops this daemon's claim if a newer record names another machine: a write from before the store came back
    /// may be carried out after it.
    pub(in crate::gateway) fn note_claim(&self, change: &MirrorChange) {
        let MirrorChange::Put(held) = change else { return };
        let Some(ClaimKey::Server(server)) = ClaimKey::parse(&held.key) else { return };
        let holder = ClaimRecord::read(&held.value).map(|record| record.machine);
        if holder.is_none_or(|holder| holder == self.machine()) {
            return;
        }
        if self.order_executor.claims.borrow_mut().overtaken(server, held.revision) {
            log::warn!(server = server, record = held.revision; "claim_overtaken");
        }
    }

    fn claim_refused(&self, tries: &[ClaimAttempt], held: &[KvEntry]) {
        for attempt in tries {
            let key = ClaimRecord::key(&attempt.server);
            let live = attempt.gone.as_deref().map(ClaimRecord::live_key);
            let alive = held.iter().any(|held| Some(&held.key) == live.as_ref());
            let record = held.iter().find(|held| held.key == key);
            let revision = record.map_or(0, |record| record.revision);
            log::info!(
                server = &*attempt.server, record = revision,
                holder = attempt.gone.as_deref().unwrap_or_default(), holder_alive = alive;
                "claim_refused"
            );
            self.observe(&attempt.server, record);
        }
    }

    /// Reads the records of a transaction that may have been carried out.
    async fn look_up(&self, tries: &[ClaimAttempt]) {
        for attempt in tries {
            if let Ok(held) = self.store.get(&ClaimRecord::key(&attempt.server)).await {
                self.observe(&attempt.server, held.as_ref());
            }
        }
    }

    fn observe(&self, server: &str, held: Option<&KvEntry>) {
        let seen = held.and_then(|held| {
            let record = ClaimRecord::read(&held.value)?;
            Some(SeenRecord { revision: held.revision, record })
        });
        self.records.borrow_mut().observe(server, seen);
    }

    /// Writes down that nobody else's orders have to be waited for any more.
    async fn settle(&self) {
        let now = self.now();
        let due: Vec<(Rc<str>, u64)> = {
            let claims = self.order_executor.claims.borrow();
            let unsettled = claims.all().filter(|(_, c)| !c.settled && now >= c.orders_from);
            unsettled.map(|(id, claim)| (id.clone(), claim.revision)).collect()
        };
        for chunk in due.chunks(SERVERS_A_TRANSACTION) {
            let mut transaction = KvTransaction::default();
            for (server, revision) in chunk {
                let record = self.own_record(true, false);
                replace_record(&mut transaction, server, *revision, &record);
            }
            match self.store.transact(&transaction).await {
                Ok(KvOutcome::Committed(revision)) => {
                    let mut claims = self.order_executor.claims.borrow_mut();
                    chunk.iter().for_each(|(server, _)| claims.settled(server, revision));
                }
                Ok(KvOutcome::Conflict(_) | KvOutcome::NoLease) | Err(_) => {
                    log::warn!(servers = chunk.len(); "claims_not_settled");
                }
            }
        }
    }

    /// Drops the claim of a server that is gone, and its record.
    pub fn drop_claim(self: &Rc<Self>, server: &Rc<str>) {
        let Some(claim) = self.order_executor.claims.borrow_mut().dropped(server) else { return };
        let (daemon, key) = (self.clone(), ClaimRecord::key(server));
        actix_rt::spawn(async move {
            let _ = daemon.store.remove(&key, claim.revision).await;
        });
    }

    /// Gives all servers up at the end of a stop, so that a successor need not wait for the lease.
    pub async fn resign(&self) {
        self.update_era();
        let now = self.now();
        let lease = self.order_executor.claims.borrow().lease(now);
        let claims: Vec<(Rc<str>, Claim)> = {
            let claims = self.order_executor.claims.borrow();
            claims.all().map(|(id, claim)| (id.clone(), *claim)).collect()
        };
        let mut transaction = KvTransaction::default();
        for (server, claim) in claims.iter().take(ENTRIES / 2) {
            self.order_executor.claims.borrow_mut().dropped(server);
            let settled = claim.settled;
            let record = self.own_record(settled, true);
            replace_record(&mut transaction, server, claim.revision, &record);
        }
        self.beat();
        if !transaction.puts.is_empty() {
            let given_up = self.store.transact(&transaction).await.is_ok();
            log::info!(servers = claims.len(), written = given_up; "servers_given_up");
        }
        if let Some(lease) = lease {
            let _ = self.store.revoke_lease(lease).await;
        }
    }
}

/// Adds that a server's record, last changed at `revision`, is replaced.
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

/// True if a server's service has models.
fn is_engine(view: &FleetView, backend: &Backend) -> bool {
    view.service(&backend.service).is_some_and(|service| service.engine.is_some())
}
