//! Takes, keeps and gives up the right to order servers.

use super::backend::Backend;
use super::claim_record::{ClaimRecord, RECORD_PREFIX};
use super::claims::{Claim, Predecessor};
use super::daemon::GatewayDaemon;
use super::load::server_mark;
use super::vacancies::{Candidates, ClaimTry, Claimant, SeenRecord};
use super::view::FleetView;
use crate::store::{KvError, KvOutcome, KvPut, KvTransaction};
use crate::types::Time;
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
/// A machine heard within this is not taken for gone.
const HEARD_WITHIN: Duration = Duration::from_millis(2_500);

impl GatewayDaemon {
    /// This machine's name in claims; stays the same over restarts.
    fn machine(&self) -> String {
        format!("{}|{}", self.settings.node, self.settings.members)
    }

    /// Claims servers that nobody orders, for ever.
    pub async fn claim_servers(self: Rc<Self>) {
        self.read_records().await;
        while !self.stopping() {
            actix_rt::time::sleep(LOOK).await;
            if !self.has_lease().await {
                continue;
            }
            self.settle().await;
            let tries = self.tries();
            for attempt in tries {
                self.claim(attempt).await;
            }
        }
    }

    /// Lets the planner go on, for ever.
    pub async fn plan_steps(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(PLAN_EVERY).await;
            self.ordering.begin_due(&self);
        }
    }

    /// Renews the lease, for ever.
    pub async fn renew_lease(self: Rc<Self>) {
        let every = self.ordering.claims.borrow().ttl() / RENEWALS;
        loop {
            actix_rt::time::sleep(every).await;
            let now = self.now();
            let lease = self.ordering.claims.borrow().lease(now);
            if let Some(lease) = lease {
                actix_rt::spawn(self.clone().renew(lease, now));
            }
        }
    }

    async fn renew(self: Rc<Self>, lease: u64, sent_at: Time) {
        match self.store.renew_lease(lease).await {
            Ok(true) => self.ordering.claims.borrow_mut().renewed(lease, sent_at),
            Ok(false) => {
                let mut claims = self.ordering.claims.borrow_mut();
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
        if self.ordering.claims.borrow().lease(asked_at).is_some() {
            return true;
        }
        let ttl = self.ordering.claims.borrow().ttl();
        let live = ClaimRecord::live_key(&self.machine());
        let Ok(held) = self.store.get(&live).await else { return false };
        let Ok(lease) = self.store.grant_lease(ttl).await else { return false };
        let mut transaction = KvTransaction::default();
        transaction.expected.push((live.clone(), held.map_or(0, |held| held.revision)));
        let claims: Vec<(Rc<str>, Claim)> = {
            let claims = self.ordering.claims.borrow();
            claims.all().map(|(id, claim)| (id.clone(), *claim)).collect()
        };
        for (server, claim) in claims.iter().take(ENTRIES) {
            transaction.expected.push((ClaimRecord::key(server), claim.fence));
        }
        let value = self.incarnation.to_be_bytes().to_vec();
        transaction.puts.push((KvPut { key: live, value }, Some(lease)));
        match self.store.transact(&transaction).await {
            Ok(KvOutcome::Committed(_)) => {
                for (server, _) in claims.iter().skip(ENTRIES) {
                    self.ordering.claims.borrow_mut().dropped(server);
                }
                self.ordering.claims.borrow_mut().leased(lease, asked_at);
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
    fn drop_changed(&self, claims: &[(Rc<str>, Claim)], held: &[crate::store::KvHeld]) {
        for (server, claim) in claims {
            let key = ClaimRecord::key(server);
            let now_at = held.iter().find(|held| held.key == key).map(|held| held.revision);
            if now_at != Some(claim.fence) {
                self.ordering.claims.borrow_mut().dropped(server);
                log::warn!(server = &**server, fence = claim.fence; "claim_lost");
            }
        }
    }

    fn tries(&self) -> Vec<ClaimTry> {
        let now = self.now();
        let view = self.path.view.borrow();
        let peers = self.peers.borrow();
        let claims = self.ordering.claims.borrow();
        let engines = view.backends().filter(|backend| is_engine(&view, backend));
        let vacant = engines.filter(|backend| {
            !backend.draining
                && !claims.has(&backend.id)
                && peers.orderer(now, server_mark(&backend.id)).is_none()
        });
        let vacant: Vec<Rc<str>> = vacant.map(|backend| backend.id.clone()).collect();
        let total = view.backends().filter(|backend| is_engine(&view, backend)).count();
        let machine = self.machine();
        let me = Claimant {
            name: &self.settings.node,
            machine: &machine,
            held: claims.all().count(),
            share: total.div_ceil(peers.able(now).len() + 1),
        };
        let candidates = |server: &str| {
            let hall = view.backend(server).map(|backend| backend.hall.clone());
            let hall = hall.as_deref().unwrap_or_default();
            let (mut near, mut far) = peers.able_by_hall(now, hall);
            let list = if self.settings.hall == hall { &mut near } else { &mut far };
            list.push(self.settings.node.as_str().into());
            Candidates { near, far }
        };
        let heard = |machine: &str| peers.heard_within(now, machine, HEARD_WITHIN);
        let mut vacancies = self.vacancies.borrow_mut();
        vacancies.update(now, &vacant);
        vacancies.due(now, me, candidates, heard)
    }

    /// Reads once who ordered which server before this daemon started.
    async fn read_records(&self) {
        let Ok(list) = self.store.read_all(RECORD_PREFIX).await else { return };
        let records = list.entries.into_iter().filter_map(|held| {
            let server: Rc<str> = held.key.strip_prefix(RECORD_PREFIX)?.into();
            let record = ClaimRecord::read(&held.value)?;
            Some((server, SeenRecord { revision: held.revision, record }))
        });
        self.vacancies.borrow_mut().read(records);
    }

    async fn claim(&self, attempt: ClaimTry) {
        let key = ClaimRecord::key(&attempt.server);
        let settled = attempt.before == Predecessor::None;
        let record = ClaimRecord { machine: self.machine(), settled, resigned: false };
        let mut transaction = KvTransaction::default();
        transaction.expected.push((key.clone(), attempt.revision));
        if let Some(machine) = &attempt.gone {
            transaction.expected.push((ClaimRecord::live_key(machine), 0));
        }
        transaction.puts.push((KvPut { key: key.clone(), value: record.bytes() }, None));
        match self.store.transact(&transaction).await {
            Ok(KvOutcome::Committed(fence)) => {
                let now = self.now();
                let mut claims = self.ordering.claims.borrow_mut();
                claims.claimed(now, &attempt.server, fence, attempt.before);
                drop(claims);
                self.ordering.claimed(&attempt.server);
                log::info!(server = &*attempt.server, fence = fence, before:? = attempt.before; "server_claimed");
            }
            Ok(KvOutcome::Conflict(held)) => {
                let alive = held.iter().any(|held| held.key != key);
                let held = held.into_iter().find(|held| held.key == key);
                let revision = held.as_ref().map_or(0, |held| held.revision);
                log::info!(
                    server = &*attempt.server, record = revision,
                    holder = attempt.gone.as_deref().unwrap_or_default(), holder_alive = alive;
                    "claim_refused"
                );
                self.saw(&attempt.server, held);
            }
            Ok(KvOutcome::NoLease) => {}
            Err(KvError::Unavailable) => {}
            Err(KvError::Unknown) => {
                if let Ok(held) = self.store.get(&key).await {
                    self.saw(&attempt.server, held);
                }
            }
        }
    }

    fn saw(&self, server: &str, held: Option<crate::store::KvHeld>) {
        let seen = held.and_then(|held| {
            let record = ClaimRecord::read(&held.value)?;
            Some(SeenRecord { revision: held.revision, record })
        });
        self.vacancies.borrow_mut().saw(server, seen);
    }

    /// Writes down that nobody else's orders have to be waited for any more.
    async fn settle(&self) {
        let now = self.now();
        let due: Vec<(Rc<str>, u64)> = {
            let claims = self.ordering.claims.borrow();
            let unsettled = claims.all().filter(|(_, c)| !c.settled && now >= c.orders_from);
            unsettled.map(|(id, claim)| (id.clone(), claim.fence)).collect()
        };
        for (server, fence) in due {
            let record = ClaimRecord { machine: self.machine(), settled: true, resigned: false };
            if let Some(revision) = self.write(&server, fence, &record).await {
                self.ordering.claims.borrow_mut().settled(&server, revision);
            }
        }
    }

    async fn write(&self, server: &str, fence: u64, record: &ClaimRecord) -> Option<u64> {
        let key = ClaimRecord::key(server);
        let put = KvPut { key: key.clone(), value: record.bytes() };
        let transaction = KvTransaction { expected: vec![(key, fence)], puts: vec![(put, None)] };
        match self.store.transact(&transaction).await {
            Ok(KvOutcome::Committed(revision)) => Some(revision),
            Ok(KvOutcome::Conflict(_) | KvOutcome::NoLease) | Err(_) => None,
        }
    }

    /// Drops the claim of a server that is gone, and its record.
    pub fn drop_claim(self: &Rc<Self>, server: &Rc<str>) {
        let Some(claim) = self.ordering.claims.borrow_mut().dropped(server) else { return };
        let (daemon, key) = (self.clone(), ClaimRecord::key(server));
        actix_rt::spawn(async move {
            let _ = daemon.store.remove(&key, claim.fence).await;
        });
    }

    /// Gives all servers up at the end of a stop, so that a successor need not wait for the lease.
    pub async fn resign(&self) {
        let now = self.now();
        let lease = self.ordering.claims.borrow().lease(now);
        let claims: Vec<(Rc<str>, Claim)> = {
            let claims = self.ordering.claims.borrow();
            claims.all().map(|(id, claim)| (id.clone(), *claim)).collect()
        };
        let mut transaction = KvTransaction::default();
        for (server, claim) in claims.iter().take(ENTRIES) {
            self.ordering.claims.borrow_mut().dropped(server);
            let key = ClaimRecord::key(server);
            let settled = claim.settled;
            let record = ClaimRecord { machine: self.machine(), settled, resigned: true };
            transaction.expected.push((key.clone(), claim.fence));
            transaction.puts.push((KvPut { key, value: record.bytes() }, None));
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

/// True if a server's service has models.
fn is_engine(view: &FleetView, backend: &Backend) -> bool {
    view.service(&backend.service).is_some_and(|service| service.engine.is_some())
}
