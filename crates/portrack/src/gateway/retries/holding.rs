//! Holds the lease of the slack in the store.

use super::budgets::RetryBudgets;
use super::holder::{SLACK_KEY, SlackHolder};
use super::lease::SLACK_LEASE_TTL;
use crate::gateway::daemon::GatewayDaemon;
use crate::store::{KvError, KvOutcome, KvPut, KvTransaction};
use crate::types::Time;
use std::rc::Rc;
use std::time::Duration;

/// Interval of renewals, and of checks whether the slack has no holder.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Key of the order in which daemons take the lease.
const ORDER_KEY: u64 = 0x7265_7472_6965_7321;
/// Time for which each daemon waits for the one before it in that order.
const TURN: Duration = Duration::from_millis(1_000);
/// Maximum number of daemons that are waited for.
const MAX_TURNS: u32 = 6;

impl GatewayDaemon {
    /// Runs for ever: takes the lease of the slack when nobody holds it, and renews it.
    pub async fn hold_retry_slack(self: Rc<Self>) {
        let mut missing_since = self.now();
        loop {
            actix_rt::time::sleep(INTERVAL).await;
            let now = self.now();
            let lease = self.retries().lease.borrow().id();
            if let Some(lease) = lease {
                actix_rt::spawn(self.clone().renew_retry_slack(lease, now));
                missing_since = now;
                continue;
            }
            if self.retries().holder.get().is_some() {
                missing_since = now;
            }
            if now >= missing_since + self.retry_slack_turn() && self.may_hold_retry_slack(now) {
                self.take_retry_slack(now).await;
                missing_since = self.now();
            }
        }
    }

    /// Gives up the lease of the slack when the daemon stops.
    pub async fn release_retry_slack(&self) {
        let lease = self.retries().lease.borrow().id();
        if let Some(lease) = lease {
            self.retries().lease.borrow_mut().lost();
            let _ = self.store.revoke_lease(lease).await;
        }
    }

    fn retries(&self) -> &Rc<RetryBudgets> {
        &self.handler.retries
    }

    /// Only a daemon that watches the store itself knows soon enough that the slack has no holder.
    fn may_hold_retry_slack(&self, now: Time) -> bool {
        let is_started = now >= self.first_claims_from(&self.peers.borrow());
        is_started && self.watches.get() && self.sees_store() && !self.stopping()
    }

    /// How long this daemon waits for others to take the lease.
    fn retry_slack_turn(&self) -> Duration {
        let daemons = self.handler.eligible_daemons.borrow();
        daemons.turns_before(ORDER_KEY, self.settings.members).min(MAX_TURNS) * TURN
    }

    async fn take_retry_slack(&self, asked_at: Time) {
        let era = self.store.era();
        let Ok(lease) = self.store.grant_lease(SLACK_LEASE_TTL).await else { return };
        let holder = SlackHolder { address: self.settings.members };
        let put = KvPut { key: SLACK_KEY.into(), value: holder.bytes() };
        let transaction =
            KvTransaction { expected: vec![(SLACK_KEY.into(), 0)], puts: vec![(put, Some(lease))] };
        match self.store.transact(&transaction).await {
            Ok(KvOutcome::Committed(_)) if self.store.era() == era => {
                self.retries().lease.borrow_mut().acquired(self.now(), lease, asked_at);
                log::info!(lease = lease; "retry_slack_taken");
            }
            Ok(KvOutcome::Committed(_) | KvOutcome::Conflict(_) | KvOutcome::NoLease)
            | Err(KvError::Unavailable | KvError::Unknown) => {
                let _ = self.store.revoke_lease(lease).await;
            }
        }
    }

    async fn renew_retry_slack(self: Rc<Self>, lease: u64, sent_at: Time) {
        let reply = self.store.renew_lease(lease).await;
        // A lease of an earlier era is over, and its id may have been reused.
        self.update_era();
        let mut held = self.retries().lease.borrow_mut();
        match reply {
            Ok(true) => held.renewed(lease, sent_at),
            Ok(false) if held.id() == Some(lease) && held.lost() => {
                log::warn!(reason = "lease ended"; "retry_slack_lost");
            }
            Ok(false) => {}
            Err(error) => log::warn!(lease = lease, error:% = error; "retry_slack_not_renewed"),
        }
    }
}
