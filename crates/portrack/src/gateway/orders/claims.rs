//! The right to send orders: one daemon per server at a time, by records in the store that are tied
//! to the daemon's lease.
//!
//! Servers do not check fences, so only the time checks in this module keep two daemons from
//! ordering the same server.

use super::claim_record::ClaimRecord;
use crate::gateway::store_lease::{LEASE_MARGIN, StoreLease};
use crate::types::Time;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Added to a successor's wait for orders still in transit.
const ORDER_TRANSIT: Duration = Duration::from_millis(200);

/// A server's record that names this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The revision of the record.
    pub revision: u64,
    /// The fence of orders: the revision, made to increase across eras of the store.
    pub fence: u64,
    /// From this time on, the predecessor's last order is old enough.
    pub may_order_from: Time,
    /// Whether the record says that no other daemon's orders have to be waited for.
    pub settled: bool,
}

/// A claim of an earlier era of the store. No other daemon can have ordered the server since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FormerClaim {
    may_order_from: Time,
    /// When the lease of that claim ends.
    until: Time,
}

/// The previous holder of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Predecessor {
    /// No previous holder, or this machine itself: no wait is needed.
    None,
    /// It released the server after its last order.
    Resigned,
    /// Its lease has expired, which it may not have noticed.
    Lapsed,
}

impl Predecessor {
    /// Determines from a server's record who held it before `machine`.
    ///
    /// An unsettled record says that a machine before the named one may still send orders,
    /// whichever machine it names and even if that one has resigned. Waiting only for the resigned
    /// machine let two daemons order a server 950 ms apart where 1 s is the minimum: in random
    /// histories of three daemons, one was paused while it lost its lease and another one stopped.
    pub fn of(record: Option<&ClaimRecord>, machine: &str) -> Self {
        match record {
            None => Self::None,
            Some(record) if !record.settled => Self::Lapsed,
            Some(record) if record.machine == machine => Self::None,
            Some(record) if record.resigned => Self::Resigned,
            Some(_) => Self::Lapsed,
        }
    }
}

/// The claims of this daemon.
#[derive(Debug, Clone)]
pub struct Claims {
    ttl: Duration,
    quiet_period: Duration,
    /// The lease that all claims depend on.
    lease: Option<StoreLease>,
    claims: BTreeMap<Rc<str>, Claim>,
    /// Added to revisions to form fences.
    fence_base: u64,
    /// The claims that this daemon held when the store was restored.
    former_claims: BTreeMap<Rc<str>, FormerClaim>,
    /// Until this time, another daemon may order servers by a record that the store has lost.
    lost_claims_until: Option<Time>,
}

impl Claims {
    /// Creates an empty set. `ttl` is the lease's time to live; `quiet_period` is the minimum time
    /// between the last order of one holder and the first of the next.
    pub fn new(ttl: Duration, quiet_period: Duration) -> Self {
        Self {
            ttl,
            quiet_period,
            lease: None,
            claims: BTreeMap::new(),
            fence_base: 0,
            former_claims: BTreeMap::new(),
            lost_claims_until: None,
        }
    }

    /// Returns the lease's time to live.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Records a lease that was granted for a request sent at `asked_at`.
    pub fn set_lease(&mut self, id: u64, asked_at: Time) {
        self.lease = Some(StoreLease::new(id, self.ttl, asked_at));
    }

    /// Records a confirmed renewal that was sent at `sent_at`.
    pub fn extend_lease(&mut self, id: u64, sent_at: Time) {
        if let Some(lease) = &mut self.lease {
            lease.renewed(id, sent_at);
        }
    }

    /// Records that the lease has expired. The claims stay and become usable under a new lease if
    /// their records are unchanged.
    pub fn clear_lease(&mut self) {
        self.lease = None;
    }

    /// Returns the lease if it may still be alive.
    pub fn lease(&self, now: Time) -> Option<u64> {
        let live = self.lease.filter(|lease| lease.may_be_alive(now));
        live.map(|lease| lease.id())
    }

    /// Returns the lease if it may still be alive and claims depend on it. A lease without claims
    /// is dropped: a new one costs three calls, while renewals cost 50 calls a minute.
    pub fn lease_in_use(&mut self, now: Time) -> Option<u64> {
        if self.claims.is_empty() {
            self.lease = None;
        }
        self.lease(now)
    }

    /// Adds a claim on a server, whose record names this daemon since `revision`. Returns the time from which it may be
    /// ordered.
    pub fn add(&mut self, now: Time, server: &Rc<str>, revision: u64, before: Predecessor) -> Time {
        let wait = match before {
            Predecessor::None => Duration::ZERO,
            Predecessor::Resigned => self.quiet_period + ORDER_TRANSIT,
            Predecessor::Lapsed => self.expired_wait(),
        };
        let settled = before == Predecessor::None;
        let may_order_from =
            self.former_order_start(now, server).map_or(now + wait, |from| from.max(now));
        self.former_claims.remove(server);
        let fence = self.fence_base + revision;
        self.claims.insert(server.clone(), Claim { revision, fence, may_order_from, settled });
        may_order_from
    }

    /// The wait from the time at which a lease is known to be expired or lost to the first order of
    /// a successor.
    fn expired_wait(&self) -> Duration {
        self.ttl.saturating_sub(LEASE_MARGIN) + self.quiet_period + ORDER_TRANSIT
    }

    /// Sets what is added to revisions to form the fences of later claims.
    pub fn set_fence_base(&mut self, fence_base: u64) {
        self.fence_base = fence_base;
    }

    /// Resets the claims after the store was restored from a backup: leases and records may be
    /// lost, and their ids and revisions may be reused, so every server has to be claimed again.
    pub fn store_came_back(&mut self, now: Time) {
        self.former_claims.retain(|_, former| now < former.until);
        if let Some(lease) = self.lease.take() {
            let until = lease.alive_until();
            let former =
                |claim: &Claim| FormerClaim { may_order_from: claim.may_order_from, until };
            let claims = self.claims.iter();
            self.former_claims
                .extend(claims.map(|(server, claim)| (server.clone(), former(claim))));
        }
        self.claims.clear();
        self.lost_until_after(now);
    }

    /// Records that another daemon may order by a record that was lost at `began_at` at the latest.
    pub fn lost_until_after(&mut self, began_at: Time) {
        self.lost_claims_until = Some(began_at + self.expired_wait());
    }

    /// Determines whose orders a claim has to wait for, given the `before` of its record: a later
    /// holder may have been lost with the most recent writes of the store. A server that this
    /// daemon held without interruption had no other holder.
    pub fn predecessor(&self, now: Time, server: &str, before: Predecessor) -> Predecessor {
        let former_order_start = self.former_order_start(now, server);
        match self.lost_claims_until.is_some_and(|until| now < until) {
            true if former_order_start.is_some_and(|from| now >= from) => Predecessor::None,
            true => Predecessor::Lapsed,
            false => before,
        }
    }

    /// Returns the time from which this daemon could order a server by its claim of an earlier era,
    /// if it held the server without interruption.
    fn former_order_start(&self, now: Time, server: &str) -> Option<Time> {
        let former = self.former_claims.get(server).filter(|former| now < former.until)?;
        Some(former.may_order_from)
    }

    /// Removes a claim that another machine's claim at `revision` supersedes. Returns true if there
    /// was one.
    pub fn remove_superseded(&mut self, server: &str, revision: u64) -> bool {
        let is_older = self.claims.get(server).is_some_and(|claim| claim.revision < revision);
        is_older && self.claims.remove(server).is_some()
    }

    /// Records that the record was rewritten as settled.
    pub fn mark_settled(&mut self, server: &str, revision: u64) {
        let fence = self.fence_base + revision;
        if let Some(claim) = self.claims.get_mut(server) {
            claim.settled = true;
            claim.revision = claim.revision.max(revision);
            claim.fence = claim.fence.max(fence);
        }
    }

    /// Removes a claim because the server is gone or its record names another daemon.
    pub fn remove(&mut self, server: &str) -> Option<Claim> {
        self.claims.remove(server)
    }

    /// Iterates over all claims.
    pub fn all(&self) -> impl Iterator<Item = (&Rc<str>, &Claim)> {
        self.claims.iter()
    }

    /// Returns true if the server's record names this daemon.
    pub fn contains(&self, server: &str) -> bool {
        self.claims.contains_key(server)
    }

    /// Returns the fence for an order to a server if one may be sent right now.
    pub fn may_order(&self, now: Time, server: &str) -> Option<u64> {
        let is_alive = self.lease?.is_alive(now);
        let claim = self.claims.get(server)?;
        (is_alive && now >= claim.may_order_from).then_some(claim.fence)
    }

    /// Returns the servers that may be ordered right now.
    pub fn orderable(&self, now: Time) -> Vec<Rc<str>> {
        let orderable = self.claims.keys().filter(|id| self.may_order(now, id).is_some());
        orderable.cloned().collect()
    }
}
