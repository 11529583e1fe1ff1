//! Watches the store and applies its changes.

use super::pacing::WatchPacing;
use super::source_selector::SyncSource;
use super::staleness::Staleness;
use super::timings::SyncTimings;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::dialect::ItemKey;
use crate::gateway::orders::claim_record::ClaimKey;
use crate::gateway::quarantine::record::HoldRecord;
use crate::gateway::retries::holder::SLACK_KEY;
use crate::gateway::software::record::SOFTWARE_KEY;
use crate::store::{KvChange, KvEntry, KvReadError, StorePosition};
use crate::types::Time;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// First pause after a failed call; doubles up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// If the store has not responded for this long, a watch included, the age of the next update is
/// unknown. Together with [`VERSION_GRACE`](crate::gateway::VERSION_GRACE) this stays below the 5 s
/// after which users accept no older version.
const STORE_SILENCE: Duration = Duration::from_millis(3_100);
/// A response after this long is logged as the return of the store.
const STORE_OUTAGE: Duration = Duration::from_millis(5_000);

/// The state of a watch of the store.
struct StoreWatch {
    /// The position after which changes are requested; `None` to read everything.
    after: Option<StorePosition>,
    /// The pause after the next failed call.
    pause: Duration,
    pacing: WatchPacing,
}

impl StoreWatch {
    fn new(pacing: WatchPacing) -> Self {
        Self { after: None, pause: RETRY_PAUSE, pacing }
    }
}

impl GatewayDaemon {
    /// Keeps the copy up to date from the store or from a daemon that watches it. Runs forever.
    pub async fn follow_store(self: Rc<Self>) {
        let mut watch = StoreWatch::new(WatchPacing::new(self.settings.bounds.news_within()));
        loop {
            match self.select_source() {
                SyncSource::Store => self.watch_store(&mut watch).await,
                SyncSource::Peer(source) => {
                    self.follow_peer(source).await;
                    watch.after =
                        Some(self.mirror.borrow().position()).filter(|at| at.revision > 0);
                }
                SyncSource::Nobody => {
                    actix_rt::time::sleep(self.sync_timings().response_time()).await
                }
            }
        }
    }

    /// Watches or reads the store once, and pauses afterwards.
    async fn watch_store(self: &Rc<Self>, watch: &mut StoreWatch) {
        let prefix = self.dialect.prefix();
        let timings = self.sync_timings();
        // A daemon that starts watching has a stale copy and needs proof immediately.
        let wait = if self.watches.get() { timings.watch_timeout() } else { Duration::ZERO };
        let requested_at = self.now();
        let request = async {
            match watch.after {
                None => self.read_all(prefix).await,
                Some(after) => self.poll_changes(prefix, after, wait).await,
            }
        };
        let result = tokio::select! {
            result = request => result,
            // A call from before a network partition may hang until the watch and its timeout have
            // passed.
            () = self.reconnected.notified() => Err(KvReadError::TimedOut),
            () = self.wait_until_overtaken(requested_at + wait + timings.silence_timeout()) => {
                Err(KvReadError::TimedOut)
            },
        };
        let waited = watch.after.map(|_| self.now().since(requested_at));
        self.update_era();
        match result {
            Ok(position) => {
                self.record_store_response(prefix);
                let was_stale = !self.staleness().is_within(timings.healthy_staleness());
                // The time of the request, not of the response, which may have been delayed.
                self.handler.proof.renew(requested_at);
                self.course.borrow_mut().on_store_response();
                self.announce_watching(was_stale);
                watch.after = Some(position);
                watch.pause = RETRY_PAUSE;
                self.mirror.borrow_mut().mark_complete(position);
                let pause = watch.pacing.after(waited, self.serves_followers());
                actix_rt::time::sleep(pause.min(timings.max_watch_pause())).await;
                // The store was not silent during the pause, since it was not queried.
                self.store_seen.set(Some(self.now()));
            }
            Err(error) => {
                self.record_store_failure(prefix, error);
                watch.after = None;
                let read_again = match error {
                    KvReadError::Compacted => true,
                    // A complete read that fails this way is of no use: the store's responses are
                    // of an earlier era.
                    KvReadError::OtherEra => waited.is_some(),
                    _ => false,
                };
                if read_again {
                    actix_rt::time::sleep(RETRY_PAUSE).await;
                    return;
                }
                self.course.borrow_mut().on_store_failure(self.now(), requested_at);
                self.announce_watching(false);
                if self.watches.get() {
                    actix_rt::time::sleep(watch.pause).await;
                    watch.pause = (watch.pause * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
    }

    /// Waits until the store's response is overdue, the copy is stale, and a peer is known to be
    /// fresher. A call that was cancelled as soon as a peer seemed fresher left a daemon without
    /// updates although the store would have responded.
    async fn wait_until_overtaken(&self, overdue_at: Time) {
        loop {
            actix_rt::time::sleep(self.sync_timings().response_time()).await;
            let is_stale = !self.staleness().is_within(self.sync_timings().healthy_staleness());
            let is_overdue = self.now() >= overdue_at;
            if is_stale && is_overdue && !self.fresher_peers(1).is_empty() {
                return;
            }
        }
    }

    /// Peers whose copies are provably fresher than this daemon's.
    pub(super) fn fresher_peers(&self, limit: usize) -> Vec<SocketAddr> {
        let (topology, fresh_at) = (self.peer_topology(), self.handler.proof.proven_at());
        self.course.borrow().fresher_peers(self.now(), &topology, fresh_at, limit)
    }

    /// The largest allowed age of the freshness proof, where callers use keys that require one.
    fn max_proof_age(&self) -> Option<Duration> {
        let view = self.handler.view.borrow();
        let organisations = view.config()?.organisations.as_ref();
        organisations.and(self.handler.key_rules.keyed)
    }

    /// Updates the timings. Keys that require a freshness proof also shorten the time within which
    /// changes must arrive.
    pub(super) fn update_timings(&self) {
        let within = self.settings.bounds.news_within();
        let within = self.max_proof_age().map_or(within, |bound| bound.min(within));
        self.course.borrow_mut().set_timings(SyncTimings::new(within));
    }

    async fn read_all(self: &Rc<Self>, prefix: &str) -> Result<StorePosition, KvReadError> {
        let mut list = self.store.read_all(prefix).await?;
        let followed = list.entries.into_iter().filter(|entry| self.is_followed(&entry.key));
        list.entries = followed.filter_map(|entry| self.redact_keys(entry)).collect();
        let position = StorePosition::new(list.era, list.revision);
        let (entries, known) = (list.entries.len(), self.mirror.borrow().position());
        // This daemon's copy may come from a peer that is ahead of the response.
        if position.era < known.era {
            return Err(KvReadError::OtherEra);
        }
        let changes = self.apply_store_list(list);
        log::info!(position:% = position, known:% = known, entries, changes = changes.len(); "store_read");
        self.apply(changes, "store");
        Ok(position)
    }

    async fn poll_changes(
        self: &Rc<Self>,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
    ) -> Result<StorePosition, KvReadError> {
        let changes = self.store.changes(prefix, after, wait).await?;
        let followed = changes.changes.into_iter().filter(|change| self.is_followed(change.key()));
        let followed = followed.filter_map(|change| match change {
            KvChange::Put(entry) => self.redact_keys(entry).map(KvChange::Put),
            deleted @ KvChange::Deleted { .. } => Some(deleted),
        });
        let followed: Vec<KvChange> = followed.collect();
        let told = followed.len();
        let newer: Vec<_> = {
            let mut mirror = self.mirror.borrow_mut();
            followed.into_iter().filter_map(|change| mirror.apply(after.era, change)).collect()
        };
        if newer.len() < told {
            let (older, known) = (told - newer.len(), self.mirror.borrow().position());
            self.metrics.older_changes.inc_by(older as u64);
            log::info!(revision = changes.revision, known:% = known, told, older; "changes_not_newer");
        }
        // A peer may have reported a newer era in the meantime.
        if self.mirror.borrow().era() != after.era {
            return Err(KvReadError::OtherEra);
        }
        self.apply(newer, "store");
        Ok(StorePosition::new(after.era, changes.revision.max(after.revision)))
    }

    /// An item as it is stored here and sent to other daemons: without API keys in plain text.
    fn redact_keys(&self, entry: KvEntry) -> Option<KvEntry> {
        let KvEntry { key, revision, value } = entry;
        match self.dialect.without_keys(&key, value) {
            Ok(value) => Some(KvEntry { key, revision, value }),
            Err(error) => {
                log::error!(key = key.as_str(), error:% = error, source = "store"; "store_item_refused");
                None
            }
        }
    }

    /// Returns true for keys that the gateway follows.
    fn is_followed(&self, key: &str) -> bool {
        self.dialect.key(key) != ItemKey::Unknown
            || ClaimKey::parse(key).is_some()
            || HoldRecord::request(key).is_some()
            || key == SLACK_KEY
            || key == SOFTWARE_KEY
    }

    fn record_store_response(&self, prefix: &str) {
        let before = self.store_seen.replace(Some(self.now()));
        let outage = before.map_or(Duration::MAX, |at| self.now().since(at));
        if before.is_none() || outage > STORE_OUTAGE {
            let away_ms = before.map_or(0, |_| outage.as_millis() as u64);
            log::info!(prefix = prefix, away_ms = away_ms; "store_regained");
        }
    }

    /// The time at which an update that arrives now was learned; `None` if the update may be of any
    /// age because the store was silent before it. Without this check, a daemon that had been
    /// isolated went on using an adapter's version for another second after it had learned of a
    /// newer one, which had been announced many seconds before.
    pub(in crate::gateway) fn update_learned_at(&self, now: Time) -> Option<Time> {
        let responded_at = self.store_seen.get()?;
        (now.since(responded_at) <= STORE_SILENCE).then_some(now)
    }

    fn record_store_failure(&self, prefix: &str, error: KvReadError) {
        let age_ms = self.store_seen.get().map_or(0, |at| self.now().since(at).as_millis() as u64);
        self.metrics.store_failures.with_label_values(&[failure_name(error)]).inc();
        log::warn!(prefix = prefix, trouble = failure_name(error), last_answer_ms = age_ms; "store_trouble");
    }

    /// Logs when the copy becomes stale and when it is fresh again.
    pub(super) fn log_staleness_change(&self) {
        let (age, timings) = (self.staleness(), self.sync_timings());
        let is_stale = !age.is_within(timings.warn_staleness());
        if is_stale == self.news_old.replace(is_stale) {
            return;
        }
        let (news_age_ms, bound_ms) = (age.millis(), timings.max_staleness().as_millis() as u64);
        let source = self.course.borrow().source();
        match is_stale {
            true => log::warn!(news_age_ms, bound_ms, source:? = source; "news_old"),
            false => log::info!(news_age_ms, bound_ms, source:? = source; "news_fresh"),
        }
    }

    /// Records the staleness of the copy in the metrics.
    fn record_staleness(&self) {
        let source = match self.course.borrow().source() {
            SyncSource::Store => "store",
            SyncSource::Peer(_) => "peer",
            SyncSource::Nobody => "nobody",
        };
        if let Staleness::AtMost(age) = self.staleness() {
            self.metrics.news_age.with_label_values(&[source]).observe(age.as_secs_f64());
        }
    }

    /// Logs when the freshness proof that API keys require is lost and regained.
    pub(in crate::gateway) fn check_proof(&self) {
        self.record_staleness();
        let age = self.proof_age_ms();
        self.metrics.proof_age_ms.set(age);
        let lost = self.max_proof_age().is_some() && !self.handler.accepts_keys();
        if lost != self.proof_lost.replace(lost) {
            match lost {
                true => log::warn!(proof_age_ms = age; "proof_lost"),
                false => log::info!(proof_age_ms = age; "proof_regained"),
            }
        }
    }
}

/// The name of a store failure in logs and metrics.
fn failure_name(error: KvReadError) -> &'static str {
    match error {
        KvReadError::Refused { status: 429 } => "rate_limited",
        KvReadError::Refused { .. } => "refused",
        KvReadError::Disconnected => "reset",
        KvReadError::TimedOut => "silent",
        KvReadError::Malformed => "malformed",
        KvReadError::Compacted => "history_gone",
        KvReadError::OtherEra => "other_era",
    }
}
