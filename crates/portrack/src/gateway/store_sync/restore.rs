//! Handles a store that was restored from an older copy.

use super::era::EraChange;
use super::era_delta::EraDelta;
use super::mirror::{Mirror, MirrorChange, MirrorItem};
use super::retained::{RestoreConflict, RetainedItem};
use super::retention::{RETENTION_PERIOD, should_retain};
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::orders::claim_records::ClaimRecords;
use crate::store::{KvList, StoreEra, StorePosition};
use crate::types::Time;
use std::rc::Rc;
use std::time::Duration;

impl GatewayDaemon {
    /// Checks whether the store or another daemon has reported a new era. Leases and preconditions
    /// of the earlier era are void then.
    pub(in crate::gateway) fn update_era(&self) {
        let now = self.now();
        let era = self.store.era().max(self.mirror.borrow().era());
        let change = self.eras.borrow_mut().learn(now, era);
        let Some(EraChange { before, era }) = change else { return };
        self.order_executor.claims.borrow_mut().store_came_back(now);
        self.handler.retries.store_came_back();
        self.handler.origins.store_came_back();
        self.metrics.store_returns.inc();
        log::warn!(before:% = before, era:% = era, news_age_ms = self.staleness().millis(); "store_era_changed");
    }

    /// Passes the start of the era and the base of its fences on to the claims.
    pub(in crate::gateway) fn update_claim_era(&self) {
        let recorded = self.records.borrow().eras();
        let mut eras = self.eras.borrow_mut();
        eras.learn_first(recorded.first);
        let mut claims = self.order_executor.claims.borrow_mut();
        claims.set_fence_base(eras.fence_base());
        if let Some(began_at) = eras.began_at() {
            claims.lost_until_after(began_at);
        }
    }

    /// Applies a complete list of the store.
    pub(in crate::gateway) fn apply_store_list(&self, list: KvList) -> Vec<MirrorChange> {
        let era = list.era;
        let prefix = self.dialect.prefix();
        self.update_mirror(|mirror| mirror.apply_list(prefix, list, &self.retention_policy(era)))
    }

    /// Applies a peer's complete snapshot at a position.
    pub(in crate::gateway) fn apply_peer_snapshot(
        &self,
        position: StorePosition,
        items: Vec<MirrorItem>,
    ) -> Vec<MirrorChange> {
        let prefix = self.dialect.prefix();
        self.update_mirror(|mirror| {
            mirror.apply_snapshot(prefix, position, items, &self.retention_policy(position.era))
        })
    }

    /// Enters a peer's era by applying the delta that it sent. Returns `None` if the delta does not
    /// build on this daemon's state.
    pub(in crate::gateway) fn apply_era_delta(
        &self,
        position: StorePosition,
        delta: EraDelta,
        items: Vec<MirrorItem>,
    ) -> Option<Vec<MirrorChange>> {
        let mut matches = true;
        let changes = self.update_mirror(|mirror| {
            let applied = mirror.apply_era_delta(
                position,
                delta,
                items,
                &self.retention_policy(position.era),
            );
            matches = applied.is_some();
            applied.unwrap_or_default()
        });
        matches.then_some(changes)
    }

    /// The policy that decides what is retained against the first list of an era.
    fn retention_policy(&self, era: StoreEra) -> impl Fn(RestoreConflict<'_>) -> bool {
        let dialect = self.dialect.clone();
        move |conflict| should_retain(&*dialect, era, conflict)
    }

    /// Updates the mirror, and updates everything that depends on the era if that has changed.
    fn update_mirror(
        &self,
        update: impl FnOnce(&mut Mirror) -> Vec<MirrorChange>,
    ) -> Vec<MirrorChange> {
        let before = self.mirror.borrow().position();
        let changes = update(&mut self.mirror.borrow_mut());
        let (position, kept) = (self.mirror.borrow().position(), self.mirror.borrow().kept());
        if position.era == before.era {
            return changes;
        }
        self.update_era();
        let items: Vec<MirrorItem> = self.mirror.borrow().all().collect();
        let retained_items = self.mirror.borrow().retained_items();
        self.handler.quarantine.store_came_back(&items, &retained_items);
        self.records.replace(ClaimRecords::from_items(items.into_iter()));
        self.detect_unseen_restore();
        if before.era.is_known() {
            let (changed, for_ms) = (changes.len(), RETENTION_PERIOD.as_millis() as u64);
            log::warn!(before:% = before, now:% = position, changed, kept, for_ms; "store_came_back");
        }
        self.metrics.kept_items.set(kept as i64);
        changes
    }

    /// If all claims were written in earlier eras, the store has been restored since the last one,
    /// perhaps just now.
    fn detect_unseen_restore(&self) {
        let recorded = self.records.borrow().eras();
        let mut eras = self.eras.borrow_mut();
        if recorded.written.is_known() && recorded.written < eras.era() {
            eras.may_have_begun(self.now());
        }
    }

    /// Adopts the retained items of a peer in the same era, during the retention period.
    pub(in crate::gateway) fn adopt_peer_retained(
        &self,
        items: Vec<RetainedItem>,
    ) -> Vec<MirrorChange> {
        if items.is_empty() || !self.is_retention_period(self.now()) {
            return Vec::new();
        }
        let changes = self.mirror.borrow_mut().adopt_retained(items);
        let kept = self.mirror.borrow().kept();
        if !changes.is_empty() {
            log::info!(adopted = changes.len(), kept; "kept_items_adopted");
        }
        self.metrics.kept_items.set(kept as i64);
        changes
    }

    fn is_retention_period(&self, now: Time) -> bool {
        self.eras.borrow().age(now).is_some_and(|age| age < RETENTION_PERIOD)
    }

    /// Drops retained values once their writers have had time to write again what was lost.
    pub(in crate::gateway) fn expire_retained(self: &Rc<Self>) {
        let now = self.now();
        if self.mirror.borrow().kept() == 0 || self.is_retention_period(now) {
            return;
        }
        let given_up = self.mirror.borrow().kept();
        let changes = self.mirror.borrow_mut().drop_retained();
        self.metrics.kept_items.set(0);
        let age = self.eras.borrow().age(now).unwrap_or(Duration::ZERO);
        log::warn!(given_up, changes = changes.len(), era_ms = age.as_millis() as u64; "kept_items_given_up");
        self.apply(changes, "store");
    }
}
