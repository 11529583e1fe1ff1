//! What a daemon does when the store has come back from an older copy.

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
    /// Looks whether the store or another daemon has told of a new era. Then leases and conditions of the former one
    /// mean nothing any more.
    pub(in crate::gateway) fn update_era(&self) {
        let now = self.now();
        let era = self.store.era().max(self.mirror.borrow().era());
        let change = self.eras.borrow_mut().learn(now, era);
        let Some(EraChange { before, era }) = change else { return };
        self.order_executor.claims.borrow_mut().store_came_back(now);
        self.metrics.store_returns.inc();
        log::warn!(before:% = before, era:% = era, news_age_ms = self.staleness().millis(); "store_era_changed");
    }

    /// Tells claims when the era began, and on which fences they go on.
    pub(in crate::gateway) fn update_claim_era(&self) {
        let told = self.records.borrow().eras();
        let mut eras = self.eras.borrow_mut();
        eras.learn_first(told.first);
        let mut claims = self.order_executor.claims.borrow_mut();
        claims.set_fence_base(eras.fence_base());
        if let Some(began_at) = eras.began_at() {
            claims.lost_until_after(began_at);
        }
    }

    /// Takes a whole reading of the store in.
    pub(in crate::gateway) fn take_list(&self, list: KvList) -> Vec<MirrorChange> {
        let era = list.era;
        let prefix = self.dialect.prefix();
        self.change_mirror(|mirror| mirror.apply_all(prefix, list, &self.keeps_in(era)))
    }

    /// Takes in everything that a peer knows at a position.
    pub(in crate::gateway) fn take_whole(
        &self,
        position: StorePosition,
        items: Vec<MirrorItem>,
    ) -> Vec<MirrorChange> {
        let prefix = self.dialect.prefix();
        self.change_mirror(|mirror| {
            mirror.apply_whole(prefix, position, items, &self.keeps_in(position.era))
        })
    }

    /// Comes into a peer's era by what it told for that; `None` if that does not fit what is known here.
    pub(in crate::gateway) fn take_step(
        &self,
        position: StorePosition,
        step: EraDelta,
        items: Vec<MirrorItem>,
    ) -> Option<Vec<MirrorChange>> {
        let mut fits = true;
        let changes = self.change_mirror(|mirror| {
            let taken = mirror.take_step(position, step, items, &self.keeps_in(position.era));
            fits = taken.is_some();
            taken.unwrap_or_default()
        });
        fits.then_some(changes)
    }

    /// What is believed against the first reading of an era.
    fn keeps_in(&self, era: StoreEra) -> impl Fn(RestoreConflict<'_>) -> bool {
        let dialect = self.dialect.clone();
        move |difference| should_retain(&*dialect, era, difference)
    }

    /// Changes the mirror, and sees to what follows if that brought it into a new era.
    fn change_mirror(
        &self,
        change: impl FnOnce(&mut Mirror) -> Vec<MirrorChange>,
    ) -> Vec<MirrorChange> {
        let before = self.mirror.borrow().position();
        let changes = change(&mut self.mirror.borrow_mut());
        let (now_at, kept) = (self.mirror.borrow().position(), self.mirror.borrow().kept());
        if now_at.era == before.era {
            return changes;
        }
        self.update_era();
        let items: Vec<MirrorItem> = self.mirror.borrow().all().collect();
        let kept_items = self.mirror.borrow().kept_items();
        self.handler.quarantine.store_came_back(&items, &kept_items);
        self.records.replace(ClaimRecords::from_items(items.into_iter()));
        self.look_for_unseen_return();
        if before.era.is_known() {
            let (changed, for_ms) = (changes.len(), RETENTION_PERIOD.as_millis() as u64);
            log::warn!(before:% = before, now:% = now_at, changed, kept, for_ms; "store_came_back");
        }
        self.metrics.kept_items.set(kept as i64);
        changes
    }

    /// If all claims were written in former eras, the store has come back since the last one, perhaps a moment ago.
    fn look_for_unseen_return(&self) {
        let told = self.records.borrow().eras();
        let mut eras = self.eras.borrow_mut();
        if told.written.is_known() && told.written < eras.era() {
            eras.may_have_begun(self.now());
        }
    }

    /// Believes what a peer of the same era believes against the store's copy, as long as that may be right.
    pub(in crate::gateway) fn adopt_kept(&self, kept: Vec<RetainedItem>) -> Vec<MirrorChange> {
        if kept.is_empty() || !self.may_keep(self.now()) {
            return Vec::new();
        }
        let changes = self.mirror.borrow_mut().adopt(kept);
        let kept = self.mirror.borrow().kept();
        if !changes.is_empty() {
            log::info!(adopted = changes.len(), kept; "kept_items_adopted");
        }
        self.metrics.kept_items.set(kept as i64);
        changes
    }

    fn may_keep(&self, now: Time) -> bool {
        self.eras.borrow().age(now).is_some_and(|age| age < RETENTION_PERIOD)
    }

    /// Believes the store again once its writers have had the time to write what was lost.
    pub(in crate::gateway) fn end_keeping(self: &Rc<Self>) {
        let now = self.now();
        if self.mirror.borrow().kept() == 0 || self.may_keep(now) {
            return;
        }
        let given_up = self.mirror.borrow().kept();
        let changes = self.mirror.borrow_mut().believe_store();
        self.metrics.kept_items.set(0);
        let age = self.eras.borrow().age(now).unwrap_or(Duration::ZERO);
        log::warn!(given_up, changes = changes.len(), era_ms = age.as_millis() as u64; "kept_items_given_up");
        self.apply(changes, "store");
    }
}
