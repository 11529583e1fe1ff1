//! Fetches updates of the store from peers on demand, and answers peers that do the same.

use super::era_delta::EraDelta;
use super::follower_feed::PeerRequest;
use super::frames::{read_frame, read_frame_body, write_frame, write_large_frame};
use super::mirror::{MirrorChange, MirrorItem, MirrorUpdate};
use super::retained::RetainedItem;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::fleet::cold_start_tracker::SOURCE_PEER;
use crate::gateway::fleet::trailing_field::or_default;
use crate::store::{StoreEra, StorePosition};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest interval between checks whether peers have newer state.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for the first response of a peer to a daemon that has no configuration yet, and for a peer's question.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for a whole reply that keeps arriving: over a link of 10 Mbit/s the largest takes 7 s.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Replies longer than this are received one at a time: over a link of 10 Mbit/s, one takes 50 ms.
const LARGE_REPLY_BYTES: u32 = 64 * 1024;
/// Peers that are queried in parallel when the copy is stale: one of them may not be able to help.
const MAX_PARALLEL_QUERIES: usize = 3;

/// A peer's response to [`PeerRequest::CatchUp`].
#[derive(Debug, Clone, Serialize, Deserialize)]
struct CatchUpReply {
    revision: u64,
    /// The age of the peer's proof that this is the newest state, in milliseconds, if it has a
    /// proof.
    proof_age_ms: Option<u32>,
    /// `items` is a complete snapshot: keys that it lacks have been removed.
    whole: bool,
    items: Vec<MirrorItem>,
    /// The era that revisions count in.
    #[serde(deserialize_with = "or_default")]
    era: StoreEra,
    /// Items that the peer retains although the store's copy differs.
    #[serde(deserialize_with = "or_default")]
    kept: Vec<RetainedItem>,
    /// How a requester in the previous era gets into this era.
    #[serde(deserialize_with = "or_default")]
    step: Option<EraDelta>,
}

/// An update of the store's state from a peer.
pub(in crate::gateway) struct PeerUpdate {
    /// The peer's era; unknown if the peer runs a build that reports none.
    pub era: StoreEra,
    /// The revision up to which the peer's copy is complete.
    pub revision: u64,
    /// `items` is a complete snapshot.
    pub is_snapshot: bool,
    /// The items that changed, or all items of a snapshot.
    pub items: Vec<MirrorItem>,
    /// Items that the peer retains although the store's copy differs.
    pub retained: Vec<RetainedItem>,
    /// How to get from the previous era into the peer's era.
    pub era_delta: Option<EraDelta>,
}

/// The result of applying a peer's update.
pub(in crate::gateway) enum PeerUpdateResult {
    /// The update was applied and made these changes.
    Applied(Vec<MirrorChange>),
    /// The peer is in an earlier era, so its update proves nothing.
    EarlierEra,
    /// The update does not build on this daemon's state. The next request asks for a complete
    /// snapshot.
    Mismatch,
}

impl GatewayDaemon {
    /// Catches up from peers whenever the copy is stale. Runs forever.
    pub async fn catch_up_from_peers(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(PEER_CHECK_INTERVAL.min(self.sync_timings().response_time()))
                .await;
            self.update_timings();
            self.log_staleness_change();
            self.expire_retained();
            self.fetch_retained_items().await;
            if self.staleness().is_within(self.sync_timings().healthy_staleness()) {
                continue;
            }
            let now = self.now();
            let revision = self.mirror.borrow().revision();
            let informed = self.peers.borrow().most_up_to_date(now, &self.eras.borrow(), revision);
            let mut peers = self.fresher_peers(MAX_PARALLEL_QUERIES);
            if peers.is_empty() {
                let in_backoff = |peer: &SocketAddr| self.course.borrow().is_in_backoff(now, *peer);
                peers.extend(informed.filter(|peer| !in_backoff(peer)));
            }
            let timeout = match self.handler.view.borrow().config() {
                Some(_) => self.sync_timings().first_response_timeout(),
                None => CATCH_UP_TIMEOUT,
            };
            let requests = peers.into_iter().map(|peer| self.catch_up(peer, timeout));
            futures_util::future::join_all(requests).await;
        }
    }

    /// Fetches an update from a peer, together with a proof of how fresh it is.
    async fn catch_up(self: &Rc<Self>, peer: SocketAddr, timeout: Duration) {
        let requested_at = self.now();
        let receiving =
            actix_rt::time::timeout(REPLY_TIMEOUT, self.request_catch_up(peer, timeout));
        let reply = match receiving.await {
            Ok(Ok(reply)) => reply,
            Ok(Err(CatchUpFailure::Crowded)) => {
                log::debug!(peer:% = peer; "peer_not_needed");
                return;
            }
            Ok(Err(CatchUpFailure::NoReply)) | Err(_) => {
                log::warn!(peer:% = peer; "peer_did_not_answer");
                self.course.borrow_mut().mark_unresponsive(self.now(), peer);
                return;
            }
        };
        let update = PeerUpdate {
            era: reply.era,
            revision: reply.revision,
            is_snapshot: reply.whole,
            items: reply.items,
            retained: reply.kept,
            era_delta: reply.step,
        };
        let PeerUpdateResult::Applied(changes) = self.apply_peer_update(update) else {
            log::info!(peer:% = peer, era:% = reply.era, revision = reply.revision; "peer_of_no_use");
            return;
        };
        log::info!(
            peer:% = peer, revision = reply.revision, changes = changes.len(),
            proof_age_ms:? = reply.proof_age_ms;
            "caught_up_from_peer"
        );
        self.apply(changes, SOURCE_PEER);
        if let Some(age) = reply.proof_age_ms {
            self.handler.proof.renew_from_peer(requested_at, Duration::from_millis(age.into()));
        }
    }

    /// Requests an update from a peer, which must begin to reply within `timeout`. After that, a reply may take as long
    /// as it keeps arriving.
    async fn request_catch_up(
        &self,
        peer: SocketAddr,
        timeout: Duration,
    ) -> Result<CatchUpReply, CatchUpFailure> {
        let beginning = begin_catch_up(peer, self.known_position());
        let beginning = actix_rt::time::timeout(timeout, beginning).await.ok().flatten();
        let (mut stream, length) = beginning.ok_or(CatchUpFailure::NoReply)?;
        let is_large = length > LARGE_REPLY_BYTES;
        let _permit = match is_large {
            true => Some(self.large_replies.try_acquire().map_err(|_| CatchUpFailure::Crowded)?),
            false => None,
        };
        let chunk_timeout = self.sync_timings().silence_timeout();
        let reading = read_frame_body(&mut stream, length, chunk_timeout);
        reading.await.map_err(|_| CatchUpFailure::NoReply)
    }

    /// Applies a peer's update.
    pub(in crate::gateway) fn apply_peer_update(&self, update: PeerUpdate) -> PeerUpdateResult {
        let era = self.eras.borrow().resolve_peer_era(update.era);
        let known = self.mirror.borrow().era();
        let Some(era) = era.filter(|era| *era >= known) else {
            return PeerUpdateResult::EarlierEra;
        };
        let position = StorePosition::new(era, update.revision);
        let applied = match (update.is_snapshot, update.era_delta) {
            (true, _) => Some(self.apply_peer_snapshot(position, update.items)),
            (false, Some(delta)) if era > known => {
                self.apply_era_delta(position, delta, update.items)
            }
            (false, _) if era > known => None,
            (false, _) => Some(self.mirror.borrow_mut().apply_items(era, update.items)),
        };
        self.wants_all.set(applied.is_none());
        let Some(mut changes) = applied else { return PeerUpdateResult::Mismatch };
        changes.extend(self.adopt_peer_retained(update.retained));
        self.mirror.borrow_mut().mark_complete(position);
        PeerUpdateResult::Applied(changes)
    }

    /// The position up to which this daemon's copy is complete, for a request to a peer.
    pub(in crate::gateway) fn known_position(&self) -> StorePosition {
        match self.wants_all.get() {
            true => StorePosition::default(),
            false => self.mirror.borrow().position(),
        }
    }

    /// Fetches retained items from a peer, if this daemon has only the restored store's state.
    async fn fetch_retained_items(self: &Rc<Self>) {
        let era = self.mirror.borrow().era();
        if self.mirror.borrow().kept() > 0 || self.kept_asked.get() == era {
            return;
        }
        let retaining = self.peers.borrow().with_kept_items(self.now(), era);
        let Some(peer) = retaining else { return };
        self.kept_asked.set(era);
        self.catch_up(peer, self.sync_timings().first_response_timeout()).await;
    }

    /// Answers catch-up and follow requests of peers. Runs forever.
    pub async fn serve_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            };
            let daemon = self.clone();
            actix_rt::spawn(async move { daemon.serve_peer(stream).await });
        }
    }

    async fn serve_peer(&self, mut stream: TcpStream) -> Option<()> {
        let reading = read_frame(&mut stream, CATCH_UP_TIMEOUT);
        let request = actix_rt::time::timeout(CATCH_UP_TIMEOUT, reading).await.ok()?.ok()?;
        match request {
            PeerRequest::CatchUp { after, era } => {
                let reply = {
                    let mirror = self.mirror.borrow();
                    let after = StorePosition::new(era, after);
                    let MirrorUpdate { position, is_snapshot: whole, items, era_delta: step } =
                        mirror.update_since(after);
                    let proof_age_ms = self.handler.proof.age_for_peer(self.now());
                    let StorePosition { era, revision } = position;
                    let kept = mirror.retained_items();
                    CatchUpReply { revision, proof_age_ms, whole, items, era, kept, step }
                };
                let timeout = self.sync_timings().silence_timeout();
                actix_rt::time::timeout(
                    REPLY_TIMEOUT,
                    write_large_frame(&mut stream, &reply, timeout),
                )
                .await
                .ok()?
            }
            PeerRequest::Follow { after, question: query, era } => {
                let after = StorePosition::new(era, after);
                self.serve_follower(stream, after, query).await
            }
            PeerRequest::Tunnel(request) => Box::pin(self.serve_tunnel(stream, request)).await,
        }
    }
}

/// Why a peer's reply was not received.
enum CatchUpFailure {
    /// The peer did not reply, or stopped in the middle.
    NoReply,
    /// Another large reply is being received, for which this one would take bandwidth.
    Crowded,
}

/// Sends a request to a peer, and waits for the length of its reply.
async fn begin_catch_up(peer: SocketAddr, after: StorePosition) -> Option<(TcpStream, u32)> {
    let mut stream = TcpStream::connect(peer).await.ok()?;
    let StorePosition { era, revision: after } = after;
    write_frame(&mut stream, &PeerRequest::CatchUp { after, era }).await?;
    let length = stream.read_u32().await.ok()?;
    Some((stream, length))
}
