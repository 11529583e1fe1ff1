//! Follows the store.

use super::pacing::WatchPacing;
use super::source_selector::SyncSource;
use super::staleness::Staleness;
use super::timings::SyncTimings;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::dialect::ItemKey;
use crate::gateway::orders::claim_record::ClaimKey;
use crate::gateway::quarantine::record::HoldRecord;
use crate::store::{KvChange, KvEntry, KvReadError, StorePosition};
use crate::types::Time;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// First pause after a failed call; doubles up to the cap.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after failed calls.
const PAUSE_CAP: Duration = Duration::from_millis(800);
/// A store that has not answered for this long, a watch included, is taken for silent: what is learned
/// next may be of any age. With [`VERSION_GRACE`](crate::gateway::VERSION_GRACE) it stays below the 5 s after
/// which users allow no older version.
const STORE_SILENT: Duration = Duration::from_millis(3_100);
/// The store is back if it answers after so long.
const STORE_AWAY: Duration = Duration::from_millis(5_000);
/// Where a watch of the store goes on.
struct StoreWatch {
    /// The position after which changes are asked for; `None` to read everything.
    after: Option<StorePosition>,
    /// After the next failed call.
    pause: Duration,
    pacing: WatchPacing,
}

impl StoreWatch {
    fn new(pacing: WatchPacing) -> Self {
        Self { after: None, pause: PAUSE, pacing }
    }
}

impl GatewayDaemon {
    /// Learns what changes in the store, from the store or from a daemon that watches it, for ever.
    pub async fn follow_store(self: Rc<Self>) {
        let mut watch = StoreWatch::new(WatchPacing::new(self.settings.bounds.news_within()));
        loop {
            match self.news_source() {
                SyncSource::Store => self.watch_store(&mut watch).await,
                SyncSource::Peer(source) => {
                    self.follow_peer(source).await;
                    watch.after =
                        Some(self.mirror.borrow().position()).filter(|at| at.revision > 0);
                }
                SyncSource::Nobody => actix_rt::time::sleep(self.news_bounds().answer()).await,
            }
        }
    }

    /// One watch of the store, or a whole reading, and the pause after it.
    async fn watch_store(self: &Rc<Self>, watch: &mut StoreWatch) {
        let prefix = self.dialect.prefix();
        let bounds = self.news_bounds();
        // One that begins has old news, and wants proof at once.
        let wait = if self.watches.get() { bounds.watch() } else { Duration::ZERO };
        let asked_at = self.now();
        let asking = async {
            match watch.after {
                None => self.read_all(prefix).await,
                Some(after) => self.follow_once(prefix, after, wait).await,
            }
        };
        let result = tokio::select! {
            result = asking => result,
            // A call from before a cut may hang for as long as a watch and its patience last.
            () = self.reconnected.notified() => Err(KvReadError::TimedOut),
            () = self.is_outrun(asked_at + wait + bounds.silent()) => Err(KvReadError::TimedOut),
        };
        let waited = watch.after.map(|_| self.now().since(asked_at));
        self.update_era();
        match result {
            Ok(position) => {
                self.store_answered(prefix);
                let had_old_news = !self.staleness().is_within(bounds.calm());
                // Not the time of the answer: that may have been on its way for long.
                self.handler.proof.renew(asked_at);
                self.course.borrow_mut().store_answered();
                self.note_watching(had_old_news);
                watch.after = Some(position);
                watch.pause = PAUSE;
                self.mirror.borrow_mut().whole_up_to(position);
                let pause = watch.pacing.after(waited, self.feeds_others());
                actix_rt::time::sleep(pause.min(bounds.pause())).await;
                // The store was not silent while it was not asked.
                self.store_seen.set(Some(self.now()));
            }
            Err(error) => {
                self.store_failed(prefix, error);
                watch.after = None;
                let begins_anew = match error {
                    KvReadError::Compacted => true,
                    // A reading that fails so is of no use: the store's answers are of a former era.
                    KvReadError::OtherEra => waited.is_some(),
                    _ => false,
                };
                if begins_anew {
                    actix_rt::time::sleep(PAUSE).await;
                    return;
                }
                self.course.borrow_mut().store_failed(self.now(), asked_at);
                self.note_watching(false);
                if self.watches.get() {
                    actix_rt::time::sleep(watch.pause).await;
                    watch.pause = (watch.pause * 2).min(PAUSE_CAP);
                }
            }
        }
    }

    /// Waits until the store's answer is late and the news old, and somebody else is known to know
    /// more. A call that was given up as soon as somebody seemed to know more left a daemon without
    /// news that the store would have answered.
    async fn is_outrun(&self, late_at: Time) {
        loop {
            actix_rt::time::sleep(self.news_bounds().answer()).await;
            let is_old = !self.staleness().is_within(self.news_bounds().calm());
            let is_late = self.now() >= late_at;
            if is_old && is_late && !self.who_knows_more(1).is_empty() {
                return;
            }
        }
    }

    /// Peers that provably know more of the store than this daemon.
    pub(super) fn who_knows_more(&self, some: usize) -> Vec<SocketAddr> {
        let (around, known_at) = (self.surroundings(), self.handler.proof.proven_at());
        self.course.borrow().know_more(self.now(), &around, known_at, some)
    }

    /// How old proof may be, where callers show keys that must be proved.
    fn proof_bound(&self) -> Option<Duration> {
        let view = self.handler.view.borrow();
        let organisations = view.config()?.organisations.as_ref();
        organisations.and(self.handler.key_rules.keyed)
    }

    /// Keys that must be proved make news urgent, too.
    pub(super) fn set_news_bounds(&self) {
        let within = self.settings.bounds.news_within();
        let within = self.proof_bound().map_or(within, |bound| bound.min(within));
        self.course.borrow_mut().set_bounds(SyncTimings::new(within));
    }

    async fn read_all(self: &Rc<Self>, prefix: &str) -> Result<StorePosition, KvReadError> {
        let mut list = self.store.read_all(prefix).await?;
        let known = list.entries.into_iter().filter(|held| self.is_known(&held.key));
        list.entries = known.filter_map(|held| self.without_keys(held)).collect();
        let position = StorePosition::new(list.era, list.revision);
        let (entries, known) = (list.entries.len(), self.mirror.borrow().position());
        // What is known may come from a daemon that is further.
        if position.era < known.era {
            return Err(KvReadError::OtherEra);
        }
        let changes = self.take_list(list);
        log::info!(position:% = position, known:% = known, entries, changes = changes.len(); "store_read");
        self.apply(changes, "store");
        Ok(position)
    }

    async fn follow_once(
        self: &Rc<Self>,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
    ) -> Result<StorePosition, KvReadError> {
        let changes = self.store.changes(prefix, after, wait).await?;
        let known = changes.changes.into_iter().filter(|change| self.is_known(change.key()));
        let known = known.filter_map(|change| match change {
            KvChange::Put(held) => self.without_keys(held).map(KvChange::Put),
            gone @ KvChange::Deleted { .. } => Some(gone),
        });
        let known: Vec<KvChange> = known.collect();
        let told = known.len();
        let newer: Vec<_> = {
            let mut mirror = self.mirror.borrow_mut();
            known.into_iter().filter_map(|change| mirror.apply(after.era, change)).collect()
        };
        if newer.len() < told {
            let (older, known) = (told - newer.len(), self.mirror.borrow().position());
            self.metrics.older_changes.inc_by(older as u64);
            log::info!(revision = changes.revision, known:% = known, told, older; "changes_not_newer");
        }
        // Another daemon may have told of a newer era meanwhile.
        if self.mirror.borrow().era() != after.era {
            return Err(KvReadError::OtherEra);
        }
        self.apply(newer, "store");
        Ok(StorePosition::new(after.era, changes.revision.max(after.revision)))
    }

    /// An item as it is kept and handed to other daemons: no key in clear is in it.
    fn without_keys(&self, held: KvEntry) -> Option<KvEntry> {
        let KvEntry { key, revision, value } = held;
        match self.dialect.without_keys(&key, value) {
            Ok(value) => Some(KvEntry { key, revision, value }),
            Err(error) => {
                log::error!(key = key.as_str(), error:% = error, source = "store"; "store_item_refused");
                None
            }
        }
    }

    /// True for what the gateway follows.
    fn is_known(&self, key: &str) -> bool {
        self.dialect.key(key) != ItemKey::Unknown
            || ClaimKey::parse(key).is_some()
            || HoldRecord::request(key).is_some()
    }

    fn store_answered(&self, prefix: &str) {
        let before = self.store_seen.replace(Some(self.now()));
        let away = before.map_or(Duration::MAX, |at| self.now().since(at));
        if before.is_none() || away > STORE_AWAY {
            let away_ms = before.map_or(0, |_| away.as_millis() as u64);
            log::info!(prefix = prefix, away_ms = away_ms; "store_regained");
        }
    }

    /// When news that comes in at this moment was learned; `None` if it may be of any age, since the
    /// store was silent before it. A daemon that was cut off used an adapter's version for another
    /// second after it had learned of a newer one, which had been named many seconds before.
    pub(in crate::gateway) fn update_learned_at(&self, now: Time) -> Option<Time> {
        let heard = self.store_seen.get()?;
        (now.since(heard) <= STORE_SILENT).then_some(now)
    }

    fn store_failed(&self, prefix: &str, error: KvReadError) {
        let age_ms = self.store_seen.get().map_or(0, |at| self.now().since(at).as_millis() as u64);
        self.metrics.store_failures.with_label_values(&[failure_name(error)]).inc();
        log::warn!(prefix = prefix, trouble = failure_name(error), last_answer_ms = age_ms; "store_trouble");
    }

    /// Logs when news of the store is old, and when it is fresh again.
    pub(super) fn look_at_news(&self) {
        let (age, bounds) = (self.staleness(), self.news_bounds());
        let is_old = !age.is_within(bounds.old());
        if is_old == self.news_old.replace(is_old) {
            return;
        }
        let (news_age_ms, bound_ms) = (age.millis(), bounds.most().as_millis() as u64);
        let source = self.course.borrow().source();
        match is_old {
            true => log::warn!(news_age_ms, bound_ms, source:? = source; "news_old"),
            false => log::info!(news_age_ms, bound_ms, source:? = source; "news_fresh"),
        }
    }

    /// Counts how old the news is.
    fn count_news_age(&self) {
        let source = match self.course.borrow().source() {
            SyncSource::Store => "store",
            SyncSource::Peer(_) => "peer",
            SyncSource::Nobody => "nobody",
        };
        if let Staleness::AtMost(age) = self.staleness() {
            self.metrics.news_age.with_label_values(&[source]).observe(age.as_secs_f64());
        }
    }

    /// Logs when proof that keys may be believed in is lost and regained.
    pub(in crate::gateway) fn check_proof(&self) {
        self.count_news_age();
        let age = self.proof_age_ms();
        self.metrics.proof_age_ms.set(age);
        let lost = self.proof_bound().is_some() && !self.handler.accepts_keys();
        if lost != self.proof_lost.replace(lost) {
            match lost {
                true => log::warn!(proof_age_ms = age; "proof_lost"),
                false => log::info!(proof_age_ms = age; "proof_regained"),
            }
        }
    }
}

/// The name of a trouble of the store in logs and metrics.
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
