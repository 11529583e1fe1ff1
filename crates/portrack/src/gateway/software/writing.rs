//! Keeps the store's record of software versions up to date.

use super::record::{SOFTWARE_KEY, SoftwareRecord};
use super::registry::ListedVersions;
use super::resolver::StreamOrigins;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::store_sync::mirror::MirrorChange;
use crate::store::KvPut;
use crate::types::Time;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which the record is compared with the servers that are listed.
const INTERVAL: Duration = Duration::from_millis(200);
/// Key of the order in which daemons write the record.
const ORDER_KEY: u64 = 0x736f_6674_7761_7265;
/// Time for which each daemon waits for the one before it in that order.
const TURN: Duration = Duration::from_millis(400);
/// Maximum number of daemons that are waited for.
const MAX_TURNS: u32 = 24;
/// Pause after an attempt to write: within it, the record's new value arrives here.
const WRITE_PAUSE: Duration = Duration::from_millis(2_000);

impl StreamOrigins {
    /// Applies a store change; returns false if it is not the record's.
    pub fn apply(&self, change: &MirrorChange) -> bool {
        let record = match change {
            MirrorChange::Put(item) if item.key == SOFTWARE_KEY => {
                let record = SoftwareRecord::read(&item.value);
                if record.is_none() {
                    log::error!(key = SOFTWARE_KEY; "software_record_refused");
                }
                // An unreadable record is replaced by one that proves nothing.
                Some((record.unwrap_or_default(), item.revision))
            }
            MirrorChange::Removed(key) if key == SOFTWARE_KEY => None,
            MirrorChange::Put(_) | MirrorChange::Removed(_) => return false,
        };
        self.registry.borrow_mut().on_record(self.deps.clock.now(), record);
        true
    }

    /// Handles a store that was restored from an older copy.
    pub fn store_came_back(&self) {
        self.registry.borrow_mut().store_came_back(self.deps.clock.now());
    }
}

impl GatewayDaemon {
    /// Runs for ever: writes the record when it no longer fits the servers that are listed. Daemons
    /// take turns, so that usually one writes.
    pub async fn write_software_record(self: Rc<Self>) {
        let mut due_since: Option<Time> = None;
        let mut not_before = self.now();
        loop {
            actix_rt::time::sleep(INTERVAL).await;
            let now = self.now();
            let Some((record, revision)) = self.due_software_record(now) else {
                due_since = None;
                continue;
            };
            let since = *due_since.get_or_insert(now);
            let is_our_turn = now >= not_before.max(since + self.software_turn());
            if is_our_turn && self.sees_store() && !self.stopping() {
                actix_rt::spawn(self.clone().put_software_record(record, revision));
                due_since = None;
                not_before = now + WRITE_PAUSE;
            }
        }
    }

    fn due_software_record(&self, now: Time) -> Option<(SoftwareRecord, u64)> {
        let origins = &self.handler.origins;
        let is_fresh = self.staleness().is_within(self.settings.bounds.news_within());
        if !is_fresh {
            origins.registry.borrow_mut().on_stale_copy();
            return None;
        }
        let all_announce = self.peers.borrow().remember_streams();
        let listed = self.listed_versions();
        origins.registry.borrow_mut().due(now, &listed, all_announce)
    }

    fn listed_versions(&self) -> ListedVersions {
        let view = self.handler.view.borrow();
        let mut listed = ListedVersions::new();
        for backend in view.backends() {
            let versions = listed.entry(backend.service.clone()).or_default();
            versions.insert(backend.software.clone());
        }
        listed
    }

    fn software_turn(&self) -> Duration {
        let daemons = self.handler.eligible_daemons.borrow();
        daemons.turns_before(ORDER_KEY, self.settings.members).min(MAX_TURNS) * TURN
    }

    async fn put_software_record(self: Rc<Self>, record: SoftwareRecord, replaces: u64) {
        let put = KvPut { key: SOFTWARE_KEY.into(), value: record.bytes() };
        match self.store.swap(SOFTWARE_KEY, replaces, vec![put]).await {
            Ok(Some(revision)) => {
                let versions =
                    record.services.values().map(|versions| versions.len()).sum::<usize>();
                log::info!(revision, versions, complete = record.is_complete; "software_recorded");
                let mut registry = self.handler.origins.registry.borrow_mut();
                registry.on_record(self.now(), Some((record, revision)));
            }
            // The record has changed, and its new value is on the way.
            Ok(None) => {}
            Err(error) => log::warn!(error:% = error; "software_not_recorded"),
        }
    }
}
