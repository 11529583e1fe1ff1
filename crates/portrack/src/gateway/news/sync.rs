//! Follows the store, and catches up from peers while it is away.

use super::following::NewsSource;
use super::frames::{read_frame, write_frame};
use super::hall_feed::PeerAsk;
use super::mirror::{MirrorItem, MirrorNews};
use super::pacing::WatchPacing;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::dialect::ItemKey;
use crate::gateway::orders::claim_record::ClaimKey;
use crate::store::{FeedError, KvChange, KvHeld};
use crate::types::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long one watch waits; a lost one is noticed this late at most.
const WATCH: Duration = Duration::from_millis(2_500);
/// The same where other daemons follow this one: they must learn soon that it has lost the store.
const FEED_WATCH: Duration = Duration::from_millis(1_000);
/// First pause after a failed call; doubles up to the cap.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after failed calls.
const PAUSE_CAP: Duration = Duration::from_millis(800);
/// Between looks at what peers know.
const PEER_LOOK: Duration = Duration::from_millis(250);
/// A store that has not answered for this long, a watch included, is taken for silent: what is learned
/// next may be of any age. With [`VERSION_GRACE`](crate::gateway::VERSION_GRACE) it stays below the 5 s after
/// which users allow no older version.
const STORE_SILENT: Duration = Duration::from_millis(3_100);
/// How long one watch waits where keys must be proved, as a share of the age that proof may have. With
/// the pause between watches, proof is 1.4 s old at most in a calm store where it may be 4 s old, and
/// one failed watch is borne.
const PROOF_WATCH_SHARE: f64 = 0.125;
/// The longest pause between watches there, as such a share.
const PROOF_PAUSE_SHARE: f64 = 0.2;
/// A peer is asked for proof once this daemon's is older than this share of what keys allow.
const PROOF_WANTED_SHARE: f64 = 0.5;
/// The longest catching up from one peer.
const CATCH_UP: Duration = Duration::from_millis(1_500);
/// The same where proof is asked for: others can be asked.
const PROOF_PATIENCE: Duration = Duration::from_millis(400);
/// What a peer knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct CatchUpReply {
    revision: u64,
    /// The age of its proof that this is the newest, in milliseconds, if it has any.
    proof_age_ms: Option<u32>,
    /// `items` are all there are: what is not among them is gone.
    whole: bool,
    items: Vec<MirrorItem>,
}

/// Where a watch of the store goes on.
struct StoreWatch {
    /// The revision after which changes are asked for; `None` to read everything.
    after: Option<u64>,
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
                NewsSource::Store => self.watch_store(&mut watch).await,
                NewsSource::Peer(source) => {
                    self.follow_peer(source).await;
                    watch.after = Some(self.mirror.borrow().revision()).filter(|at| *at > 0);
                }
            }
        }
    }

    /// One watch of the store, or a whole reading, and the pause after it.
    async fn watch_store(self: &Rc<Self>, watch: &mut StoreWatch) {
        let prefix = self.dialect.prefix();
        let asked_at = self.now();
        let feeds = self.feeds_others();
        let wait = self.watch_wait(feeds);
        let asking = async {
            match watch.after {
                None => self.read_all(prefix).await,
                Some(revision) => self.follow_once(prefix, revision, wait).await,
            }
        };
        let result = tokio::select! {
            result = asking => result,
            // A call from before a cut may hang for as long as a watch and its patience last.
            () = self.reconnected.notified() => Err(FeedError::Silent),
        };
        let waited = watch.after.map(|_| self.now().since(asked_at));
        match result {
            Ok(revision) => {
                self.store_answered(prefix);
                // Not the time of the answer: that may have been on its way for long.
                self.path.proof.renew(asked_at);
                self.watches.set(true);
                self.store_fails_since.set(None);
                watch.after = Some(revision);
                watch.pause = PAUSE;
                self.mirror.borrow_mut().whole_up_to(revision);
                let pause = watch.pacing.after(waited, feeds);
                actix_rt::time::sleep(self.for_proof(pause, PROOF_PAUSE_SHARE)).await;
                // The store was not silent while it was not asked.
                self.store_seen.set(Some(self.now()));
            }
            Err(error) => {
                self.store_failed(prefix, error);
                watch.after = None;
                if error == FeedError::Forgotten {
                    actix_rt::time::sleep(PAUSE).await;
                    return;
                }
                let since = self.store_fails_since.get().unwrap_or(self.now());
                self.store_fails_since.set(Some(since));
                if feeds && self.has_lost_store() {
                    self.leave_watching();
                    return;
                }
                actix_rt::time::sleep(watch.pause).await;
                watch.pause = (watch.pause * 2).min(PAUSE_CAP);
            }
        }
    }

    fn watch_wait(&self, feeds: bool) -> Duration {
        let wait = if feeds { FEED_WATCH } else { WATCH };
        self.for_proof(wait, PROOF_WATCH_SHARE)
    }

    /// How old proof may be, where callers show keys that must be proved.
    fn proof_bound(&self) -> Option<Duration> {
        let view = self.path.view.borrow();
        let organisations = view.config()?.organisations.as_ref();
        organisations.and(self.path.key_rules.keyed)
    }

    /// A span that is usual elsewhere, cut to a share of the age that proof may have.
    pub(in crate::gateway) fn for_proof(&self, usual: Duration, share: f64) -> Duration {
        self.proof_bound().map_or(usual, |bound| usual.min(bound.mul_f64(share)))
    }

    /// True if the proof is so old that a peer is to be asked for its own.
    fn wants_proof(&self, now: Time) -> bool {
        self.proof_bound()
            .is_some_and(|bound| !self.path.proof.is_within(now, bound.mul_f64(PROOF_WANTED_SHARE)))
    }

    async fn read_all(self: &Rc<Self>, prefix: &str) -> Result<u64, FeedError> {
        let mut list = self.store.read_all(prefix).await?;
        let known = list.entries.into_iter().filter(|held| self.is_known(&held.key));
        list.entries = known.filter_map(|held| self.without_keys(held)).collect();
        let revision = list.revision;
        let changes = self.mirror.borrow_mut().apply_all(prefix, list);
        self.apply(changes, "store");
        Ok(revision)
    }

    async fn follow_once(
        self: &Rc<Self>,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<u64, FeedError> {
        let changes = self.store.changes(prefix, after, wait).await?;
        let known = changes.changes.into_iter().filter(|change| self.is_known(change.key()));
        let known = known.filter_map(|change| match change {
            KvChange::Put(held) => self.without_keys(held).map(KvChange::Put),
            gone @ KvChange::Gone { .. } => Some(gone),
        });
        let newer: Vec<_> = {
            let mut mirror = self.mirror.borrow_mut();
            known.filter_map(|change| mirror.apply(change)).collect()
        };
        self.apply(newer, "store");
        Ok(changes.revision.max(after))
    }

    /// An item as it is kept and handed to other daemons: no key in clear is in it.
    fn without_keys(&self, held: KvHeld) -> Option<KvHeld> {
        let KvHeld { key, revision, value } = held;
        match self.dialect.without_keys(&key, value) {
            Ok(value) => Some(KvHeld { key, revision, value }),
            Err(error) => {
                log::error!(key = key.as_str(), error:% = error, source = "store"; "store_item_refused");
                None
            }
        }
    }

    /// True for what the gateway follows.
    fn is_known(&self, key: &str) -> bool {
        self.dialect.key(key) != ItemKey::Unknown || ClaimKey::parse(key).is_some()
    }

    fn store_answered(&self, prefix: &str) {
        let before = self.store_seen.replace(Some(self.now()));
        let away = before.map_or(Duration::MAX, |at| self.now().since(at));
        if before.is_none() || away > WATCH * 2 {
            let away_ms = before.map_or(0, |_| away.as_millis() as u64);
            log::info!(prefix = prefix, away_ms = away_ms; "store_regained");
        }
    }

    /// When news that comes in at this moment was learned; `None` if it may be of any age, since the
    /// store was silent before it. A daemon that was cut off used an adapter's version for another
    /// second after it had learned of a newer one, which had been named many seconds before.
    pub(in crate::gateway) fn news_learned_at(&self, now: Time) -> Option<Time> {
        let heard = self.store_seen.get()?;
        (now.since(heard) <= STORE_SILENT).then_some(now)
    }

    fn store_failed(&self, prefix: &str, error: FeedError) {
        let age_ms = self.store_seen.get().map_or(0, |at| self.now().since(at).as_millis() as u64);
        self.metrics.store_failures.with_label_values(&[failure_name(error)]).inc();
        log::warn!(prefix = prefix, trouble = failure_name(error), last_answer_ms = age_ms; "store_trouble");
    }

    /// Catches up from peers while the store does not answer, for ever.
    pub async fn follow_peers(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(PEER_LOOK).await;
            let now = self.now();
            let quiet = self.store_seen.get().is_none_or(|at| now.since(at) > STORE_SILENT);
            let lacks_config = self.path.view.borrow().config().is_none();
            let mine = self.mirror.borrow().revision();
            let informed = self.peers.borrow().better_informed(now, mine);
            match informed.filter(|_| quiet || lacks_config) {
                Some(peer) => self.catch_up(peer, CATCH_UP).await,
                None if self.wants_proof(now) => {
                    let peer = self.peers.borrow_mut().proof_source(now);
                    if let Some(peer) = peer {
                        self.catch_up(peer, PROOF_PATIENCE).await;
                    }
                }
                None => {}
            }
        }
    }

    /// Learns from a peer what it knows of the store, and how fresh that is.
    async fn catch_up(self: &Rc<Self>, peer: SocketAddr, patience: Duration) {
        let asked_at = self.now();
        let mine = self.mirror.borrow().revision();
        let Ok(Some(reply)) = actix_rt::time::timeout(patience, ask(peer, mine)).await else {
            log::warn!(peer:% = peer; "peer_did_not_answer");
            return;
        };
        let changes = {
            let mut mirror = self.mirror.borrow_mut();
            mirror.whole_up_to(reply.revision);
            match reply.whole {
                true => mirror.apply_whole(self.dialect.prefix(), reply.revision, reply.items),
                false => mirror.apply_items(reply.items),
            }
        };
        log::info!(
            peer:% = peer, revision = reply.revision, changes = changes.len(),
            proof_age_ms:? = reply.proof_age_ms;
            "caught_up_from_peer"
        );
        self.apply(changes, "peer");
        if let Some(age) = reply.proof_age_ms {
            self.path.proof.renew_from(asked_at, Duration::from_millis(age.into()));
        }
    }

    /// Logs when proof that keys may be believed in is lost and regained.
    pub(in crate::gateway) fn look_at_proof(&self) {
        let age = self.proof_age_ms();
        self.metrics.proof_age_ms.set(age);
        let lost = self.proof_bound().is_some() && !self.path.believes_keys();
        if lost != self.proof_lost.replace(lost) {
            match lost {
                true => log::warn!(proof_age_ms = age; "proof_lost"),
                false => log::info!(proof_age_ms = age; "proof_regained"),
            }
        }
    }

    /// Answers peers that catch up, for ever.
    pub async fn answer_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                actix_rt::time::sleep(PAUSE).await;
                continue;
            };
            let daemon = self.clone();
            actix_rt::spawn(async move { daemon.answer_peer(stream).await });
        }
    }

    async fn answer_peer(&self, mut stream: TcpStream) -> Option<()> {
        let asking = read_frame(&mut stream, CATCH_UP);
        let ask = actix_rt::time::timeout(CATCH_UP, asking).await.ok()?.ok()?;
        match ask {
            PeerAsk::CatchUp { after } => {
                let reply = {
                    let mirror = self.mirror.borrow();
                    let MirrorNews { revision, whole, items } = mirror.news_after(after);
                    let proof_age_ms = self.path.proof.age_to_tell(self.now());
                    CatchUpReply { revision, proof_age_ms, whole, items }
                };
                actix_rt::time::timeout(CATCH_UP, write_frame(&mut stream, &reply)).await.ok()?
            }
            PeerAsk::Follow { after, question } => {
                self.serve_follower(stream, after, question).await
            }
        }
    }
}

async fn ask(peer: SocketAddr, after: u64) -> Option<CatchUpReply> {
    let mut stream = TcpStream::connect(peer).await.ok()?;
    write_frame(&mut stream, &PeerAsk::CatchUp { after }).await?;
    read_frame(&mut stream, CATCH_UP).await.ok()
}

/// The name of a trouble of the store in logs and metrics.
fn failure_name(error: FeedError) -> &'static str {
    match error {
        FeedError::Refused { status: 429 } => "rate_limited",
        FeedError::Refused { .. } => "refused",
        FeedError::Broken => "reset",
        FeedError::Silent => "silent",
        FeedError::Malformed => "malformed",
        FeedError::Forgotten => "history_gone",
    }
}
