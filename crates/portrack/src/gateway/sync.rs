//! Follows the store, and catches up from peers while it is away.

use super::daemon::GatewayDaemon;
use super::dialect::ItemKey;
use super::mirror::MirrorItem;
use super::pacing::WatchPacing;
use crate::store::FeedError;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How long one watch waits; a lost one is noticed this late at most.
const WATCH: Duration = Duration::from_millis(2_500);
/// First pause after a failed call; doubles up to the cap.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after failed calls.
const PAUSE_CAP: Duration = Duration::from_millis(800);
/// Between looks at what peers know.
const PEER_LOOK: Duration = Duration::from_millis(250);
/// Peers are asked if the store has not answered for this long.
const STORE_QUIET: Duration = Duration::from_millis(600);
/// The longest catching up from one peer.
const CATCH_UP: Duration = Duration::from_millis(1_500);
/// The largest answer of a peer, in bytes.
const MAX_CATCH_UP: u32 = 8 * 1024 * 1024;

/// Asks a peer for what changed after a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct CatchUpAsk {
    after: u64,
}

/// What a peer knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct CatchUpReply {
    revision: u64,
    items: Vec<MirrorItem>,
}

impl GatewayDaemon {
    /// Follows the store, for ever.
    pub async fn follow_store(self: Rc<Self>) {
        let prefix = self.dialect.prefix();
        let mut after = None;
        let mut pause = PAUSE;
        let mut pacing = WatchPacing::new(self.settings.bounds.news_within());
        loop {
            let asked_at = self.now();
            let result = match after {
                None => self.read_all(prefix).await,
                Some(revision) => self.follow_once(prefix, revision).await,
            };
            let waited = after.map(|_| self.now().since(asked_at));
            match result {
                Ok(revision) => {
                    self.store_answered(prefix);
                    after = Some(revision);
                    pause = PAUSE;
                    self.mirror.borrow_mut().whole_up_to(revision);
                    self.path.view.borrow_mut().was_read();
                    actix_rt::time::sleep(pacing.after(waited)).await;
                }
                Err(error) => {
                    self.store_failed(prefix, error);
                    after = None;
                    actix_rt::time::sleep(pause).await;
                    pause = (pause * 2).min(PAUSE_CAP);
                }
            }
        }
    }

    async fn read_all(self: &Rc<Self>, prefix: &str) -> Result<u64, FeedError> {
        let mut list = self.store.read_all(prefix).await?;
        list.entries.retain(|held| self.is_known(&held.key));
        let revision = list.revision;
        let changes = self.mirror.borrow_mut().apply_all(prefix, list);
        self.apply(changes, "store");
        Ok(revision)
    }

    async fn follow_once(self: &Rc<Self>, prefix: &str, after: u64) -> Result<u64, FeedError> {
        let changes = self.store.changes(prefix, after, WATCH).await?;
        let known = changes.changes.into_iter().filter(|change| self.is_known(change.key()));
        let newer: Vec<_> = {
            let mut mirror = self.mirror.borrow_mut();
            known.filter_map(|change| mirror.apply(change)).collect()
        };
        self.apply(newer, "store");
        Ok(changes.revision.max(after))
    }

    /// True for what the gateway follows; its own records in the store are none of it.
    fn is_known(&self, key: &str) -> bool {
        self.dialect.key(key) != ItemKey::Unknown
    }

    fn store_answered(&self, prefix: &str) {
        let before = self.store_seen.replace(Some(self.now()));
        let away = before.map_or(Duration::MAX, |at| self.now().since(at));
        if before.is_none() || away > WATCH * 2 {
            let away_ms = before.map_or(0, |_| away.as_millis() as u64);
            log::info!(prefix = prefix, away_ms = away_ms; "store_regained");
        }
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
            let quiet = self.store_seen.get().is_none_or(|at| now.since(at) > WATCH + STORE_QUIET);
            if !quiet && self.path.view.borrow().config().is_some() {
                continue;
            }
            let mine = self.mirror.borrow().revision();
            let peer = self.peers.borrow().better_informed(now, mine);
            let Some(peer) = peer else { continue };
            match actix_rt::time::timeout(CATCH_UP, ask(peer, mine)).await {
                Ok(Some(reply)) => {
                    let changes = {
                        let mut mirror = self.mirror.borrow_mut();
                        mirror.whole_up_to(reply.revision);
                        mirror.apply_items(reply.items)
                    };
                    log::info!(peer:% = peer, revision = reply.revision, changes = changes.len(); "caught_up_from_peer");
                    self.apply(changes, "peer");
                    self.path.view.borrow_mut().was_read();
                }
                Ok(None) | Err(_) => log::warn!(peer:% = peer; "peer_did_not_answer"),
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
            actix_rt::spawn(async move {
                let _ = actix_rt::time::timeout(CATCH_UP, daemon.answer_peer(stream)).await;
            });
        }
    }

    async fn answer_peer(&self, mut stream: TcpStream) -> Option<()> {
        let ask: CatchUpAsk = read_frame(&mut stream).await?;
        let reply = {
            let mirror = self.mirror.borrow();
            CatchUpReply { revision: mirror.revision(), items: mirror.items_after(ask.after) }
        };
        write_frame(&mut stream, &reply).await
    }
}

async fn ask(peer: SocketAddr, after: u64) -> Option<CatchUpReply> {
    let mut stream = TcpStream::connect(peer).await.ok()?;
    write_frame(&mut stream, &CatchUpAsk { after }).await?;
    read_frame(&mut stream).await
}

async fn write_frame(stream: &mut TcpStream, body: &impl Serialize) -> Option<()> {
    let body = postcard::to_allocvec(body).ok()?;
    let length = u32::try_from(body.len()).ok().filter(|length| *length <= MAX_CATCH_UP)?;
    stream.write_all(&length.to_be_bytes()).await.ok()?;
    stream.write_all(&body).await.ok()
}

async fn read_frame<T: serde::de::DeserializeOwned>(stream: &mut TcpStream) -> Option<T> {
    let length = stream.read_u32().await.ok().filter(|length| *length <= MAX_CATCH_UP)?;
    let mut body = Vec::new();
    let read = stream.take(u64::from(length)).read_to_end(&mut body).await.ok()?;
    (read == length as usize).then(|| postcard::from_bytes(&body).ok()).flatten()
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
