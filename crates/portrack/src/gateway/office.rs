//! Takes, keeps and gives up the right to order servers.

use super::daemon::GatewayDaemon;
use super::message::PeerMessage;
use crate::types::Time;
use std::rc::Rc;
use std::time::Duration;

/// The key that the holder's lease keeps.
const ORDERS_KEY: &str = "portrack/orders";
/// Renewals in the time of one lease.
const RENEWALS: u32 = 4;
/// Between looks at whether somebody holds the orders.
const LOOK: Duration = Duration::from_millis(150);
/// Each daemon that comes before this one is given so long to take the orders.
const RANK_STEP: Duration = Duration::from_millis(250);
/// After a try that failed.
const RETRY: Duration = Duration::from_millis(300);
/// Between steps of the planner.
const PLAN_EVERY: Duration = Duration::from_millis(40);
/// Between sweeps of the planner.
const SWEEP_EVERY: Duration = Duration::from_secs(2);

impl GatewayDaemon {
    /// Takes the orders when nobody holds them, and keeps them, for ever.
    pub async fn hold_orders(self: Rc<Self>) {
        let mut term = 0;
        loop {
            self.await_vacancy(term).await;
            if self.stopping.get() {
                return;
            }
            term += 1;
            if self.take_orders().await {
                self.keep_orders().await;
            } else {
                actix_rt::time::sleep(RETRY).await;
            }
        }
    }

    /// Returns once nobody seems to hold the orders and it is this daemon's turn.
    async fn await_vacancy(&self, term: u64) {
        loop {
            let _ = actix_rt::time::timeout(LOOK, self.office_vacant.notified()).await;
            let now = self.now();
            if self.peers.borrow().orders_holder(now).is_some() || !self.sees_store() {
                continue;
            }
            let rank = self.peers.borrow().rank(now, &self.settings.node, term);
            actix_rt::time::sleep(RANK_STEP * rank.min(6) as u32).await;
            if self.peers.borrow().orders_holder(self.now()).is_none() {
                return;
            }
        }
    }

    async fn take_orders(&self) -> bool {
        let ttl = Duration::from_millis(self.settings.bounds.lease_ttl_ms);
        if !matches!(self.store.get(ORDERS_KEY).await, Ok(None)) {
            return false;
        }
        let asked_at = self.now();
        let Ok(lease) = self.store.grant_lease(ttl).await else { return false };
        let value = format!("{} {} {lease}", self.settings.node, self.incarnation).into_bytes();
        let created = self.store.create_leased(ORDERS_KEY, value.clone(), lease).await;
        let fence = match created {
            Ok(Some(revision)) => Some(revision),
            Ok(None) => None,
            Err(_) => self.created_after_all(&value).await,
        };
        let Some(fence) = fence else {
            let _ = self.store.revoke_lease(lease).await;
            return false;
        };
        let now = self.now();
        self.ordering.lease.borrow_mut().acquired(now, asked_at, lease, fence);
        self.ordering.planner.borrow_mut().begin(now);
        self.metrics.holds_orders.set(1);
        log::info!(fence = fence, lease = lease; "orders_taken");
        self.beat();
        true
    }

    /// After a lost answer: the key is ours if it carries our value.
    async fn created_after_all(&self, value: &[u8]) -> Option<u64> {
        let held = self.store.get(ORDERS_KEY).await.ok()??;
        (held.value == value).then_some(held.revision)
    }

    async fn keep_orders(self: &Rc<Self>) {
        let ttl = Duration::from_millis(self.settings.bounds.lease_ttl_ms);
        let mut renew_at = self.now();
        let mut sweep_at = self.now();
        loop {
            let now = self.now();
            let Some(lease) = self.ordering.lease.borrow().lease(now) else { break };
            if now >= renew_at {
                renew_at = now + ttl / RENEWALS;
                actix_rt::spawn(self.clone().renew(lease, now));
            }
            if now >= sweep_at {
                sweep_at = now + SWEEP_EVERY;
                self.ordering.planner.borrow_mut().sweep(now);
            }
            self.ordering.begin_due(self);
            actix_rt::time::sleep(PLAN_EVERY).await;
        }
        self.ordering.lease.borrow_mut().lost();
        self.metrics.holds_orders.set(0);
        log::warn!(store_seen = self.sees_store(); "orders_lost");
        self.beat();
    }

    async fn renew(self: Rc<Self>, lease: u64, sent_at: Time) {
        match self.store.renew_lease(lease).await {
            Ok(true) => self.ordering.lease.borrow_mut().renewed(lease, sent_at),
            Ok(false) => {
                let mut held = self.ordering.lease.borrow_mut();
                if held.lease(sent_at) == Some(lease) {
                    held.lost();
                }
            }
            Err(_) => {}
        }
    }

    /// Gives the orders up before a stop, so that a successor need not wait for the lease.
    pub async fn resign(&self) {
        let now = self.now();
        let (lease, fence) = {
            let held = self.ordering.lease.borrow();
            (held.lease(now), held.fence(now))
        };
        let (Some(lease), Some(fence)) = (lease, fence) else { return };
        self.ordering.lease.borrow_mut().lost();
        self.metrics.holds_orders.set(0);
        let ended = self.store.revoke_lease(lease).await.is_ok();
        log::info!(fence = fence, lease_ended = ended; "orders_given_up");
        for address in self.peers.borrow().addresses(self.now()) {
            self.tell(&PeerMessage::Resigned(fence), address);
        }
    }
}
