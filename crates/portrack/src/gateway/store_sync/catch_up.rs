//! Fetches updates of the store from peers on demand.

use super::attempts::{Attempt, AttemptId, LARGE_REPLY_BYTES, MAX_ATTEMPTS};
use super::era_delta::EraDelta;
use super::follower_feed::PeerRequest;
use super::frames::{FrameError, MAX_BODY, read_bytes, read_frame_body, write_frame};
use super::large_values::{LargeValue, PartRequest};
use super::mirror::{MirrorChange, MirrorItem};
use super::retained::RetainedItem;
use super::running_attempts::{EndedAttempt, RunningAttempts};
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::fleet::cold_start_tracker::SOURCE_PEER;
use crate::gateway::fleet::trailing_field::or_default;
use crate::store::{StoreEra, StorePosition};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Longest interval between checks whether peers have newer state.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time without any byte, both before and within a reply. It only frees what the attempt
/// holds: other peers are asked long before.
pub(super) const NO_PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for a whole reply, for peers that send a few bytes now and then.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks whether another large reply still arrives.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Peers that are considered when the copy is stale.
const MAX_CANDIDATES: usize = 2 * MAX_ATTEMPTS;

/// A peer's response to [`PeerRequest::CatchUp`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct CatchUpReply {
    /// The revision up to which the requester's copy is complete afterwards.
    pub revision: u64,
    /// The age of the peer's proof that this is the newest state, in milliseconds, if it has a
    /// proof.
    pub proof_age_ms: Option<u32>,
    /// `items` is a complete snapshot: keys that it lacks have been removed.
    pub whole: bool,
    /// The items that changed.
    pub items: Vec<MirrorItem>,
    /// The era that revisions count in.
    #[serde(deserialize_with = "or_default")]
    pub era: StoreEra,
    /// Items that the peer retains although the store's copy differs.
    #[serde(deserialize_with = "or_default")]
    pub kept: Vec<RetainedItem>,
    /// How a requester in the previous era gets into this era.
    #[serde(deserialize_with = "or_default")]
    pub step: Option<EraDelta>,
    /// Values that belong to `items` and are sent on request.
    #[serde(deserialize_with = "or_default")]
    pub large: Vec<LargeValue>,
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
        let mut running = RunningAttempts::default();
        loop {
            let interval = PEER_CHECK_INTERVAL.min(self.sync_timings().response_time());
            tokio::select! {
                () = actix_rt::time::sleep(interval) => {}
                // What was sent before a network partition may be lost.
                () = self.reconnected.notified() => self.end_attempts(&mut running),
                ended = running.next(), if !running.is_empty() => self.finish_attempt(ended),
            }
            self.update_timings();
            self.log_staleness_change();
            self.expire_retained();
            self.fetch_retained_items();
            self.partial_values.borrow_mut().expire(self.now());
            if self.staleness().is_within(self.sync_timings().healthy_staleness()) {
                self.end_attempts(&mut running);
            } else {
                self.start_attempts(&mut running);
            }
        }
    }

    /// Asks further peers if it is time.
    fn start_attempts(self: &Rc<Self>, running: &mut RunningAttempts) {
        let (now, timings, candidates) = (self.now(), self.sync_timings(), self.informed_peers());
        let peers = self.attempts.borrow().peers_to_ask(now, timings, &candidates);
        for peer in peers {
            let (id, replaced) = self.attempts.borrow_mut().start(now, peer);
            if let Some(replaced) = replaced {
                running.end(replaced.id);
                let silent_ms = now.since(replaced.last_evidence()).as_millis() as u64;
                let Attempt { peer, received, announced, .. } = replaced;
                log::info!(peer:% = peer, silent_ms, received, announced; "catch_up_replaced");
            }
            let daemon = self.clone();
            running.add(id, async move { daemon.catch_up(id, peer).await });
        }
    }

    /// Peers that may bring the copy up to date, the most suitable first.
    fn informed_peers(&self) -> Vec<SocketAddr> {
        let fresher = self.fresher_peers(MAX_CANDIDATES);
        if !fresher.is_empty() {
            return fresher;
        }
        let (now, revision) = (self.now(), self.mirror.borrow().revision());
        let later = self.peers.borrow().more_up_to_date(now, &self.eras.borrow(), revision);
        let is_usable = |peer: &SocketAddr| !self.course.borrow().is_in_backoff(now, *peer);
        later.into_iter().filter(is_usable).take(MAX_CANDIDATES).collect()
    }

    /// Ends all attempts: they are not needed any more, or what they sent may be lost.
    fn end_attempts(&self, running: &mut RunningAttempts) {
        running.clear();
        self.attempts.borrow_mut().clear();
    }

    /// Records how an attempt has ended.
    fn finish_attempt(&self, ended: EndedAttempt) {
        let EndedAttempt { id, end } = ended;
        let Some(attempt) = self.attempts.borrow_mut().finish(id) else { return };
        let now = self.now();
        let took_ms = now.since(attempt.started_at).as_millis() as u64;
        let begun =
            attempt.first_begun_at.map(|at| at.since(attempt.started_at).as_millis() as i64);
        let (begun_ms, peer) = (begun.unwrap_or(-1), attempt.peer);
        let Attempt { received, announced, .. } = attempt;
        match (end, begun) {
            (Ok(()), _) => {
                log::info!(peer:% = peer, begun_ms, took_ms, received, announced; "catch_up_done");
            }
            (Err(error), Some(_)) => {
                log::warn!(peer:% = peer, why:? = error, begun_ms, took_ms, received, announced; "catch_up_broken");
            }
            (Err(error), None) => {
                log::warn!(peer:% = peer, why:? = error, took_ms; "peer_did_not_answer");
                self.course.borrow_mut().mark_unresponsive(now, peer);
            }
        }
    }

    /// Fetches an update from a peer, together with a proof of how fresh it is.
    async fn catch_up(self: &Rc<Self>, id: AttemptId, peer: SocketAddr) -> Result<(), FrameError> {
        let requested_at = self.now();
        let receiving = self.request_catch_up(id, peer);
        let receiving = actix_rt::time::timeout(REPLY_TIMEOUT, receiving).await;
        let reply = receiving.map_err(|_| FrameError::TimedOut)??;
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
            return Ok(());
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
        Ok(())
    }

    /// Requests an update from a peer. The reply may take as long as it keeps arriving.
    async fn request_catch_up(
        self: &Rc<Self>,
        id: AttemptId,
        peer: SocketAddr,
    ) -> Result<CatchUpReply, FrameError> {
        let beginning = self.begin_catch_up(peer);
        let beginning = actix_rt::time::timeout(NO_PROGRESS_TIMEOUT, beginning).await;
        let (mut stream, length) = beginning.map_err(|_| FrameError::TimedOut)??;
        self.attempts.borrow_mut().begun(self.now(), id, length);
        self.wait_for_turn(id, length).await;
        let received = |bytes| self.attempts.borrow_mut().received(self.now(), id, bytes);
        received(0);
        let reading = read_frame_body(&mut stream, length, NO_PROGRESS_TIMEOUT, received);
        let mut reply: CatchUpReply = reading.await?;
        if reply.large.is_empty() {
            return Ok(reply);
        }
        self.apply_small_items(reply.era, &reply.items);
        for value in &reply.large {
            if !self.has_all_parts(reply.era, std::slice::from_ref(value)) {
                self.receive_large_value(id, &mut stream, value).await?;
            }
        }
        let values = self.take_large_values(reply.era, &reply.large);
        reply.items.extend(values.ok_or(FrameError::Malformed)?);
        Ok(reply)
    }

    /// Sends a request to a peer, and waits for the length of its reply.
    async fn begin_catch_up(&self, peer: SocketAddr) -> Result<(TcpStream, u32), FrameError> {
        let connecting = self.connect_to_peer(peer).await;
        let mut stream = connecting.map_err(|_| FrameError::Closed)?;
        let StorePosition { era, revision: after } = self.known_position();
        let request = PeerRequest::CatchUp { after, era, takes_parts: true };
        write_frame(&mut stream, &request).await.ok_or(FrameError::Closed)?;
        let length = stream.read_u32().await.map_err(|_| FrameError::Closed)?;
        Ok((stream, length))
    }

    /// Receives what is missing of a large value. What has arrived before, also from other peers, is not
    /// sent again.
    async fn receive_large_value(
        &self,
        id: AttemptId,
        stream: &mut TcpStream,
        value: &LargeValue,
    ) -> Result<(), FrameError> {
        if value.length > MAX_BODY {
            return Err(FrameError::Malformed);
        }
        let missing = || value.length - self.partial_values.borrow().received(value);
        self.wait_for_turn(id, missing()).await;
        let missing = missing();
        if missing == 0 {
            return Ok(());
        }
        let mut offset = value.length - missing;
        let request = PartRequest { digest: value.digest, offset };
        write_frame(stream, &request).await.ok_or(FrameError::Closed)?;
        self.attempts.borrow_mut().begun(self.now(), id, missing);
        self.attempts.borrow_mut().received(self.now(), id, 0);
        let received = |bytes: &[u8]| {
            let now = self.now();
            self.attempts.borrow_mut().received(now, id, bytes.len());
            self.partial_values.borrow_mut().add(now, value, offset, bytes);
            offset += bytes.len() as u32;
        };
        read_bytes(stream, missing, NO_PROGRESS_TIMEOUT, received).await
    }

    /// Waits while another large reply arrives fast enough: this one would take bandwidth from it.
    async fn wait_for_turn(&self, id: AttemptId, length: u32) {
        if length <= LARGE_REPLY_BYTES {
            return;
        }
        let is_on_course =
            || self.attempts.borrow().is_on_course(self.now(), self.sync_timings(), Some(id));
        while is_on_course() {
            actix_rt::time::sleep(TURN_CHECK_INTERVAL).await;
        }
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
    fn fetch_retained_items(self: &Rc<Self>) {
        let era = self.mirror.borrow().era();
        if self.mirror.borrow().kept() > 0 || self.kept_asked.get() == era {
            return;
        }
        let retaining = self.peers.borrow().with_kept_items(self.now(), era);
        let Some(peer) = retaining else { return };
        self.kept_asked.set(era);
        let id = self.attempts.borrow_mut().unlisted();
        let daemon = self.clone();
        actix_rt::spawn(async move {
            if let Err(error) = daemon.catch_up(id, peer).await {
                log::warn!(peer:% = peer, why:? = error; "kept_items_not_fetched");
            }
        });
    }
}
