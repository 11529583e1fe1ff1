//! Keeps the store's records of requests that are held back.

use super::coordinator::Quarantine;
use super::fingerprint::RequestFingerprint;
use super::record::HoldRecord;
use super::suspect_requests::{SendVerdict, Trial, Unrecorded};
use crate::gateway::store_sync::mirror::{MirrorChange, MirrorItem};
use crate::gateway::store_sync::retained::RetainedItem;
use crate::store::KvPut;
use std::time::Duration;

/// A caller's request waits no longer than this for the store to take a claim.
const CLAIM_WITHIN: Duration = Duration::from_millis(500);

impl Quarantine {
    /// Applies a change of the store if it concerns a request that is held back; false if it does not.
    pub fn apply(&self, change: &MirrorChange) -> bool {
        let (key, value) = match change {
            MirrorChange::Put(held) => (&held.key, Some(held)),
            MirrorChange::Removed(key) => (key, None),
        };
        let Some(mark) = HoldRecord::request(key) else { return false };
        let record = value.map(|held| (HoldRecord::read(&held.value), held.revision));
        match record {
            None => self.state.borrow_mut().record_gone(mark),
            Some((Some(record), revision)) => {
                let now = self.parts.clock.now();
                self.state.borrow_mut().recorded(now, mark, record.number, revision);
            }
            Some((None, _)) => log::error!(mark:% = mark; "hold_record_refused"),
        }
        self.note_changes();
        true
    }

    /// The store came back from a copy that holds `items`, against some of which more is known: what it lacks is
    /// written again, and what was cleared since is removed again.
    pub fn store_came_back(&self, items: &[MirrorItem], kept: &[RetainedItem]) {
        let now = self.parts.clock.now();
        let mut state = self.state.borrow_mut();
        state.store_came_back();
        for item in items {
            let Some(mark) = HoldRecord::request(&item.key) else { continue };
            let is_stored = kept.iter().all(|kept| kept.key != item.key);
            let record = item.value.as_deref().and_then(HoldRecord::read);
            if let Some(record) = record.filter(|_| is_stored) {
                state.recorded(now, mark, record.number, item.revision);
            }
        }
        for item in kept {
            let Some(mark) = HoldRecord::request(&item.key) else { continue };
            let record = item.stored.as_deref().and_then(HoldRecord::read);
            match (&item.believed, record) {
                (Some(_), Some(record)) => state.recorded(now, mark, record.number, item.revision),
                (None, Some(_)) if state.keeps_record(mark, &self.parts.daemons.borrow()) => {
                    self.released.borrow_mut().push((mark, item.revision));
                }
                (Some(_) | None, _) => {}
            }
        }
    }

    /// Writes what the store does not have yet, and removes what is over. What the store does not take is
    /// tried again at the next call.
    pub async fn sync_records(&self) {
        let now = self.parts.clock.now();
        self.state.borrow_mut().sweep(now);
        let to_record = self.state.borrow().to_record(&self.parts.daemons.borrow());
        for Unrecorded { mark, number, replaces } in to_record {
            if let Some(revision) = self.write(mark, replaces, HoldRecord { number }).await {
                self.was_recorded(mark, number, revision);
            }
        }
        let mut to_remove = std::mem::take(&mut *self.released.borrow_mut());
        to_remove.extend(self.state.borrow().to_remove(now, &self.parts.daemons.borrow()));
        for (mark, revision) in to_remove {
            if self.parts.store.remove(&HoldRecord::key(mark), revision).await.is_err() {
                self.released.borrow_mut().push((mark, revision));
            }
        }
    }

    fn was_recorded(&self, mark: RequestFingerprint, number: u32, revision: u64) {
        let now = self.parts.clock.now();
        let mut state = self.state.borrow_mut();
        // It may have been served meanwhile.
        match state.verdict(now, mark) {
            SendVerdict::Allowed => self.released.borrow_mut().push((mark, revision)),
            _ => state.recorded(now, mark, number, revision),
        }
    }

    /// Writes a record if it was last changed at `before`; the new revision if the store took it.
    async fn write(
        &self,
        mark: RequestFingerprint,
        before: u64,
        record: HoldRecord,
    ) -> Option<u64> {
        let key = HoldRecord::key(mark);
        let put = KvPut { key: key.clone(), value: record.bytes() };
        let written = self.parts.store.swap(&key, before, vec![put]).await;
        written.unwrap_or_else(|error| {
            log::warn!(mark:% = mark, error:% = error; "hold_not_recorded");
            None
        })
    }

    /// Claims the next hold of a request whose hold is over, so that nobody else tries it meanwhile. True if
    /// this daemon may send it, once.
    pub async fn claim_trial(&self, mark: RequestFingerprint, trial: Trial) -> bool {
        let writing = self.write(mark, trial.revision, HoldRecord { number: trial.next });
        let claimed = actix_rt::time::timeout(CLAIM_WITHIN, writing).await;
        let Ok(Some(revision)) = claimed else { return false };
        let now = self.parts.clock.now();
        self.state.borrow_mut().claimed(now, mark, trial.next, revision);
        self.parts.metrics.trials.inc();
        log::info!(mark:% = mark, number = trial.next; "request_on_trial");
        self.tick();
        true
    }
}
