//! Keeps the store's records of requests that are held back.

use super::coordinator::Quarantine;
use super::fingerprint::RequestFingerprint;
use super::record::HoldRecord;
use super::suspect_requests::{SendVerdict, Trial, Unrecorded};
use crate::gateway::store_sync::mirror::{MirrorChange, MirrorItem};
use crate::gateway::store_sync::retained::RetainedItem;
use crate::store::KvPut;
use std::time::Duration;

/// How long a caller's request waits for the store to accept a claim.
const CLAIM_WITHIN: Duration = Duration::from_millis(500);

impl Quarantine {
    /// Applies a store change; returns false if it does not belong to a request that is held back.
    pub fn apply(&self, change: &MirrorChange) -> bool {
        let (key, value) = match change {
            MirrorChange::Put(held) => (&held.key, Some(held)),
            MirrorChange::Removed(key) => (key, None),
        };
        let Some(fingerprint) = HoldRecord::request(key) else { return false };
        let record = value.map(|held| (HoldRecord::read(&held.value), held.revision));
        let now = self.deps.clock.now();
        match record {
            None => self.state.borrow_mut().on_record_removed(now, fingerprint),
            Some((Some(record), revision)) => {
                self.state.borrow_mut().on_recorded(now, fingerprint, record.number, revision);
            }
            Some((None, _)) => log::error!(mark:% = fingerprint; "hold_record_refused"),
        }
        self.report_changes();
        true
    }

    /// Handles a store that was restored from a backup holding `items`, where `retained` lists the
    /// items about which more is known. Missing holds are written again, and holds that were
    /// cleared since the backup are removed again.
    pub fn store_came_back(&self, items: &[MirrorItem], retained: &[RetainedItem]) {
        let now = self.deps.clock.now();
        let mut state = self.state.borrow_mut();
        state.store_came_back();
        for item in items {
            let Some(fingerprint) = HoldRecord::request(&item.key) else { continue };
            let is_stored = retained.iter().all(|retained| retained.key != item.key);
            let record = item.value.as_deref().and_then(HoldRecord::read);
            if let Some(record) = record.filter(|_| is_stored) {
                state.on_recorded(now, fingerprint, record.number, item.revision);
            }
        }
        for item in retained {
            let Some(fingerprint) = HoldRecord::request(&item.key) else { continue };
            let record = item.stored.as_deref().and_then(HoldRecord::read);
            match (&item.believed, record) {
                (Some(_), Some(record)) => {
                    state.on_recorded(now, fingerprint, record.number, item.revision)
                }
                (None, Some(_)) if state.keeps_record(fingerprint, &self.deps.daemons.borrow()) => {
                    self.records_to_remove.borrow_mut().push((fingerprint, item.revision));
                }
                (Some(_) | None, _) => {}
            }
        }
    }

    /// Writes missing records and removes expired ones. What the store does not accept is retried
    /// at the next call.
    pub async fn sync_records(&self) {
        let now = self.deps.clock.now();
        self.state.borrow_mut().sweep(now);
        let to_record = self.state.borrow().to_record(now, &self.deps.daemons.borrow());
        for Unrecorded { fingerprint, number, replaces, .. } in to_record {
            if let Some(revision) =
                self.write_record(fingerprint, replaces, HoldRecord { number }).await
            {
                self.on_recorded(fingerprint, number, revision);
            }
        }
        let mut to_remove = std::mem::take(&mut *self.records_to_remove.borrow_mut());
        to_remove.extend(self.state.borrow().to_remove(now, &self.deps.daemons.borrow()));
        for (fingerprint, revision) in to_remove {
            if self.deps.store.remove(&HoldRecord::key(fingerprint), revision).await.is_err() {
                self.records_to_remove.borrow_mut().push((fingerprint, revision));
            }
        }
    }

    fn on_recorded(&self, fingerprint: RequestFingerprint, number: u32, revision: u64) {
        let now = self.deps.clock.now();
        let mut state = self.state.borrow_mut();
        // The request may have been served in the meantime.
        match state.verdict(now, fingerprint) {
            SendVerdict::Allowed => {
                self.records_to_remove.borrow_mut().push((fingerprint, revision))
            }
            _ => state.on_recorded(now, fingerprint, number, revision),
        }
    }

    /// Writes a record if its last change was at `expected`. Returns the new revision if the store
    /// accepted it.
    async fn write_record(
        &self,
        fingerprint: RequestFingerprint,
        expected: u64,
        record: HoldRecord,
    ) -> Option<u64> {
        let key = HoldRecord::key(fingerprint);
        let put = KvPut { key: key.clone(), value: record.bytes() };
        let written = self.deps.store.swap(&key, expected, vec![put]).await;
        written.unwrap_or_else(|error| {
            log::warn!(mark:% = fingerprint, error:% = error; "hold_not_recorded");
            None
        })
    }

    /// Claims the next hold of a request whose hold is over, so that no other node tries it in the
    /// meantime. Returns true if this daemon may send it once.
    pub async fn claim_trial(&self, fingerprint: RequestFingerprint, trial: Trial) -> bool {
        let writing = self.write_record(
            fingerprint,
            trial.revision,
            HoldRecord { number: trial.next_number },
        );
        let claimed = actix_rt::time::timeout(CLAIM_WITHIN, writing).await;
        let Ok(Some(revision)) = claimed else { return false };
        let now = self.deps.clock.now();
        self.state.borrow_mut().on_trial_claimed(now, fingerprint, trial.next_number, revision);
        self.deps.metrics.trials.inc();
        log::info!(mark:% = fingerprint, number = trial.next_number; "request_on_trial");
        self.tick();
        true
    }
}
