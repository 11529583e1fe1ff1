//! Connections over which daemons follow peers that watch the store.

use super::catch_up::{PeerUpdate, PeerUpdateResult};
use super::follower_feed::{
    FeedFrame, FeedMessage, Freshness, FreshnessQuery, PeerRequest, ReceivedQuery,
};
use super::frames::{FrameError, read_frame, write_frame, write_large_frame};
use super::large_values::{CompressedValue, PartRequest};
use super::mirror::MirrorUpdate;
use super::report::{SyncReport, SyncState};
use super::retained::RetainedItem;
use super::source_selector::{Distance, PeerTopology, SourceFailure, SyncSource};
use super::timings::SyncTimings;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::fleet::message::PeerMessage;
use crate::store::StorePosition;
use crate::types::Time;
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

/// A region with fewer daemons than this forms one group with two watchers; in a larger region each
/// data hall is a group. In a region this small every daemon receives every heartbeat, and two
/// watchers can feed the others.
const SINGLE_GROUP_LIMIT: usize = 12;
/// Longest interval between frames of a feed that has changes to send.
const FRAME_INTERVAL: Duration = Duration::from_millis(100);
/// A follower that accepts nothing within this time is disconnected.
const FRAME_WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Bytes of a large value in one message.
const PART_BYTES: usize = 4 * 1024;
/// Pause between attempts of an isolated daemon, unless it receives a datagram before.
const ISOLATED_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Number of daemons outside the group that are notified immediately when this daemon has reached
/// the store again: a burst of 20 KB.
const MAX_IMMEDIATE_NOTICES: usize = 64;
/// A follower that sends no query for this long is gone.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(8);

impl GatewayDaemon {
    /// Returns true if other daemons may follow this one while it watches the store.
    pub(in crate::gateway) fn serves_followers(&self) -> bool {
        self.peer_topology().group.len() > 1
    }

    /// The daemons that are up and not leaving, and this daemon's group.
    pub(in crate::gateway) fn peer_topology(&self) -> Rc<PeerTopology> {
        self.around.borrow().clone()
    }

    /// Recomputes the topology, with each heartbeat. Recomputing it on every use, 17 times a
    /// second, would take too much CPU time of a small node.
    pub(in crate::gateway) fn refresh_topology(&self) {
        let topology = Rc::new(self.build_topology());
        self.around.replace(topology);
    }

    fn build_topology(&self) -> PeerTopology {
        let (now, hall, regions) = (self.now(), &*self.settings.hall, self.settings.regions());
        let peers = self.peers.borrow();
        let distance = |other: &str| match (other == hall, regions.is_own(other)) {
            (true, _) => Distance::Hall,
            (false, true) => Distance::Region,
            (false, false) => Distance::Far,
        };
        let active = peers.not_leaving(now);
        let near = active.iter().filter(|peer| distance(peer.1) != Distance::Far);
        let is_single_group = near.count() < SINGLE_GROUP_LIMIT;
        let is_in_group = |other: &str| match is_single_group {
            true => distance(other) != Distance::Far,
            false => other == hall,
        };
        let group: &str = if is_single_group { regions.own() } else { hall };
        PeerTopology {
            group: peers.group_order(now, group, &self.settings.node, is_in_group),
            others: active.iter().map(|(peer, hall)| (*peer, distance(hall))).collect(),
        }
    }

    /// Selects the source of store changes.
    pub(in crate::gateway) fn select_source(&self) -> SyncSource {
        let topology = self.peer_topology();
        let source = self.course.borrow_mut().select_source(
            self.now(),
            &topology,
            self.handler.proof.proven_at(),
        );
        self.announce_watching(false);
        source
    }

    /// Notifies the group immediately if this daemon has started or stopped watching the store. If
    /// its copy was stale before, other daemons are notified too, since theirs may also be stale:
    /// heartbeats take a full round to reach every daemon of a large fleet.
    pub(in crate::gateway) fn announce_watching(&self, was_stale: bool) {
        let watches = self.course.borrow().watches();
        if watches == self.watches.replace(watches) {
            return;
        }
        let message = PeerMessage::Heartbeat(self.heartbeat());
        let topology = self.peer_topology();
        let PeerTopology { group, others } = &*topology;
        let others = others.iter().map(|(peer, _)| *peer).filter(|peer| !group.contains(peer));
        let limit = if was_stale { MAX_IMMEDIATE_NOTICES } else { 0 };
        for peer in group.iter().copied().chain(others.take(limit)) {
            if peer != self.settings.members {
                self.send(&message, peer);
            }
        }
    }

    /// This daemon's report on its own copy of the store.
    pub(in crate::gateway) fn own_sync_report(&self) -> SyncReport {
        SyncReport {
            address: self.settings.members,
            incarnation: self.incarnation.number(),
            age_ms: self.handler.proof.age_for_peer(self.now()),
            standing: self.course.borrow().state(),
        }
    }

    /// The reports on other daemons that this daemon forwards.
    pub(in crate::gateway) fn peer_sync_reports(&self) -> Vec<SyncReport> {
        self.course.borrow().reports_to_forward(self.now(), &self.peer_topology())
    }

    pub(in crate::gateway) fn sync_timings(&self) -> SyncTimings {
        self.course.borrow().timings()
    }

    /// Follows a watching daemon until it fails or a better source is available.
    pub(in crate::gateway) async fn follow_peer(self: &Rc<Self>, source: SocketAddr) {
        let end = self.read_feed(source).await;
        let failure = match end {
            FeedEnd::NoConnection | FeedEnd::Silent => Some(SourceFailure::Unreachable),
            FeedEnd::Closed | FeedEnd::Redirected => Some(SourceFailure::Ended),
            FeedEnd::Better | FeedEnd::Unfit => None,
        };
        log::info!(
            feed:% = source, why:? = end, revision = self.mirror.borrow().revision(),
            news_age_ms = self.staleness().millis();
            "feed_left"
        );
        let Some(failure) = failure else { return };
        if self.is_cut_off() {
            // The source is not at fault: it is tried again as soon as any datagram arrives.
            let _ =
                actix_rt::time::timeout(ISOLATED_RETRY_PAUSE, self.reconnected.notified()).await;
        } else {
            self.course.borrow_mut().mark_failed(self.now(), source, failure);
        }
    }

    async fn read_feed(self: &Rc<Self>, source: SocketAddr) -> FeedEnd {
        let timings = self.sync_timings();
        let connecting =
            actix_rt::time::timeout(timings.first_response_timeout(), self.connect_to_peer(source));
        let Ok(Ok(mut stream)) = connecting.await else { return FeedEnd::NoConnection };
        let (mut read, mut write) = stream.split();
        let mut query = FreshnessQuery { sent_at: self.now() };
        let StorePosition { era, revision: after } = self.known_position();
        let (takes_parts, rests) = (true, self.partial_values.borrow().rests());
        let request = PeerRequest::Follow { after, question: query, era, takes_parts, rests };
        if write_frame(&mut write, &request).await.is_none() {
            return FeedEnd::NoConnection;
        }
        let mut incomplete = None;
        loop {
            let mut reading = pin!(read_frame(&mut read, timings.silence_timeout()));
            let message = loop {
                let message = tokio::select! {
                    message = &mut reading => Some(message),
                    () = actix_rt::time::sleep(timings.response_time()) => None,
                };
                // Checked while frames arrive too: otherwise a feed that always has something to
                // send would never be queried for its freshness.
                if self.select_source() != SyncSource::Peer(source) {
                    return FeedEnd::Better;
                }
                if self.now().since(query.sent_at) >= timings.query_interval() {
                    query = FreshnessQuery { sent_at: self.now() };
                    let writing = write_frame(&mut write, &query);
                    match actix_rt::time::timeout(timings.silence_timeout(), writing).await {
                        Ok(Some(())) => {}
                        Ok(None) => return FeedEnd::Closed,
                        Err(_) => return FeedEnd::Silent,
                    }
                }
                if let Some(message) = message {
                    break message;
                }
            };
            match message {
                Ok(FeedMessage::News(_)) if incomplete.is_some() => return FeedEnd::Unfit,
                Ok(FeedMessage::News(frame)) => {
                    self.apply_reports(&frame);
                    if !frame.large.is_empty() {
                        self.apply_small_items(frame.era, &frame.items);
                    }
                    incomplete = Some(frame);
                }
                Ok(FeedMessage::Part { digest, offset, bytes }) => {
                    self.add_part(incomplete.as_ref(), digest, offset, &bytes);
                }
                Ok(FeedMessage::Redirect(reports)) => {
                    self.handle_redirect(source, query.sent_at, &reports);
                    return FeedEnd::Redirected;
                }
                Err(FrameError::TimedOut) => return FeedEnd::Silent,
                Err(FrameError::Closed | FrameError::Malformed) => return FeedEnd::Closed,
            }
            let complete = incomplete.take_if(|frame| self.has_all_parts(frame.era, &frame.large));
            if let Some(frame) = complete
                && self.apply_frame(source, frame).is_none()
            {
                return FeedEnd::Unfit;
            }
        }
    }

    fn handle_redirect(&self, source: SocketAddr, requested_at: Time, reports: &[SyncReport]) {
        log::info!(
            feed:% = source, watching:? = reports.iter().skip(1).map(|report| report.address).collect::<Vec<_>>();
            "feed_redirected"
        );
        self.course.borrow_mut().record_response(self.now(), requested_at, reports);
    }

    /// Applies what a frame tells of servers beside the store's items.
    fn apply_reports(self: &Rc<Self>, frame: &FeedFrame) {
        self.handler.loads.record_reports(self.now(), &frame.loads);
        if !frame.notices.is_empty() {
            self.on_notices(&frame.notices);
        }
    }

    /// Keeps a part of a large value that a frame has announced.
    fn add_part(&self, frame: Option<&FeedFrame>, digest: u64, offset: u32, bytes: &[u8]) {
        let mut announced = frame.into_iter().flat_map(|frame| &frame.large);
        if let Some(value) = announced.find(|value| value.digest == digest) {
            self.partial_values.borrow_mut().add(self.now(), value, offset, bytes);
        }
    }

    /// Applies the items of a frame of which all parts are there. Returns `None` if it does not build on
    /// this daemon's state.
    fn apply_frame(self: &Rc<Self>, source: SocketAddr, frame: FeedFrame) -> Option<()> {
        let now = self.now();
        let mut items = frame.items;
        items.extend(self.take_large_values(frame.era, &frame.large)?);
        let update = PeerUpdate {
            era: frame.era,
            revision: frame.revision,
            is_snapshot: frame.whole,
            items,
            retained: frame.kept,
            era_delta: frame.step,
        };
        let changes = match self.apply_peer_update(update) {
            PeerUpdateResult::Applied(changes) => changes,
            // The copy becomes stale until the source has caught up, or another source is selected.
            PeerUpdateResult::EarlierEra => return Some(()),
            PeerUpdateResult::Mismatch => return None,
        };
        self.apply(changes, "feed");
        if let Some(Freshness { question: query, age_ms, incarnation }) = frame.freshness {
            let age = Duration::from_millis(age_ms.into());
            self.handler.proof.renew_from_peer(query.sent_at, age);
            let (age_ms, standing) = (Some(age_ms), SyncState::Watches);
            let report = SyncReport { address: source, incarnation, age_ms, standing };
            self.course.borrow_mut().record_response(now, query.sent_at, &[report]);
        }
        // Set only now: the staleness of the changes above depends on when the store was last
        // reachable before this frame.
        if frame.store_age_ms != u32::MAX {
            let seen_at = Time(now.0.saturating_sub(frame.store_age_ms.into()));
            self.store_seen.set(self.store_seen.get().max(Some(seen_at)));
        }
        Some(())
    }

    /// Serves one follower until it disconnects or this daemon stops watching. The next frame is
    /// built only after the follower has accepted the previous one, so that no backlog builds up on
    /// a slow link.
    pub(in crate::gateway) async fn serve_follower(
        &self,
        mut stream: TcpStream,
        start: FeedStart,
    ) -> Option<()> {
        let query = ReceivedQuery { query: start.query, received_at: self.now() };
        let query = Cell::new(query);
        let (mut read, mut write) = stream.split();
        tokio::select! {
            ended = self.write_feed(&mut write, start, &query) => ended,
            ended = self.receive_queries(&mut read, &query) => ended,
        }
    }

    async fn write_feed(
        &self,
        stream: &mut WriteHalf<'_>,
        mut start: FeedStart,
        query: &Cell<ReceivedQuery>,
    ) -> Option<()> {
        let mut cursor = self.feed.cursor();
        let mut sent_position = start.after;
        let mut last_sent_at: Option<Time> = None;
        let mut sent_proof = None;
        let mut sent_retained: Vec<RetainedItem> = Vec::new();
        while self.watches.get() && !self.stopping() {
            let now = self.now();
            let (notices, loads) = self.feed.read(&mut cursor);
            let mirror_unchanged = self.mirror.borrow().position() <= sent_position;
            let proof = self.handler.proof.proven_at();
            let nothing_new =
                notices.is_empty() && loads.is_empty() && mirror_unchanged && proof == sent_proof;
            let timings = self.sync_timings();
            let frame_interval = FRAME_INTERVAL.min(timings.response_time());
            if nothing_new
                && last_sent_at.is_some_and(|at| now.since(at) < timings.query_interval())
            {
                actix_rt::time::sleep(frame_interval).await;
                continue;
            }
            let MirrorUpdate { position, is_snapshot: whole, mut items, era_delta: step } =
                self.mirror.borrow().update_since(sent_position);
            let values = self.separate_large_values(start.takes_parts, position.era, &mut items);
            let large = values.iter().map(|value| value.announcement.clone()).collect();
            let kept = self.retained_to_send(&mut sent_retained);
            let store_age_ms = self.store_age();
            let freshness = self.freshness(query.get());
            let StorePosition { era, revision } = position;
            let frame = FeedFrame {
                revision,
                store_age_ms,
                freshness,
                whole,
                items,
                notices,
                loads,
                era,
                kept,
                step,
                large,
            };
            (sent_position, last_sent_at, sent_proof) = (position, Some(now), proof);
            let message = FeedMessage::News(frame);
            write_large_frame(stream, &message, FRAME_WRITE_TIMEOUT).await?;
            for value in &values {
                let offset = start.take_offset(value.announcement.digest);
                write_parts(stream, value, offset).await?;
            }
            actix_rt::time::sleep(frame_interval).await;
        }
        let reports = std::iter::once(self.own_sync_report()).chain(self.peer_sync_reports());
        let message = FeedMessage::Redirect(reports.collect());
        actix_rt::time::timeout(FRAME_WRITE_TIMEOUT, write_frame(stream, &message)).await.ok()?
    }

    /// The retained items, if they differ from what the follower was sent last.
    fn retained_to_send(&self, last_sent: &mut Vec<RetainedItem>) -> Vec<RetainedItem> {
        let kept = self.mirror.borrow().retained_items();
        if kept == *last_sent {
            return Vec::new();
        }
        *last_sent = kept.clone();
        kept
    }

    /// How old this daemon's proof was when it received a query. The follower counts from the time
    /// at which it sent the query, so the time that the query waited here adds nothing.
    fn freshness(&self, received: ReceivedQuery) -> Option<Freshness> {
        let age_ms = self.handler.proof.age_for_peer(received.received_at)?;
        Some(Freshness { question: received.query, age_ms, incarnation: self.incarnation.number() })
    }

    /// Stores the newest query of a follower until it disconnects.
    async fn receive_queries(
        &self,
        stream: &mut ReadHalf<'_>,
        newest: &Cell<ReceivedQuery>,
    ) -> Option<()> {
        loop {
            let query = read_frame(stream, FOLLOWER_TIMEOUT).await.ok()?;
            newest.set(ReceivedQuery { query, received_at: self.now() });
        }
    }

    /// Milliseconds since the store last responded, for followers.
    fn store_age(&self) -> u32 {
        u32::try_from(self.store_age_ms()).unwrap_or(u32::MAX)
    }
}

/// What a follower asked for.
pub(in crate::gateway) struct FeedStart {
    /// The position up to which its copy is complete.
    pub after: StorePosition,
    /// Its first freshness query.
    pub query: FreshnessQuery,
    /// Whether it takes large values apart from the other items.
    pub takes_parts: bool,
    /// What it lacks of large values of which a part has arrived.
    pub rests: Vec<PartRequest>,
}

impl FeedStart {
    /// The first byte of a value that the follower lacks. If the value is sent once more, that is its
    /// first one: the follower has taken its parts by then.
    fn take_offset(&mut self, digest: u64) -> u32 {
        let at = self.rests.iter().position(|rest| rest.digest == digest);
        at.map_or(0, |at| self.rests.swap_remove(at).offset)
    }
}

/// Writes a large value from a byte on.
async fn write_parts(
    stream: &mut WriteHalf<'_>,
    value: &CompressedValue,
    mut offset: u32,
) -> Option<()> {
    let digest = value.announcement.digest;
    for bytes in value.bytes.get(offset as usize..)?.chunks(PART_BYTES) {
        let message = FeedMessage::Part { digest, offset, bytes: bytes.to_vec() };
        write_large_frame(stream, &message, FRAME_WRITE_TIMEOUT).await?;
        offset += bytes.len() as u32;
    }
    Some(())
}

/// Why a feed ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FeedEnd {
    /// The source could not be reached.
    NoConnection,
    /// The source closed the connection.
    Closed,
    /// The source does not watch the store, and reported daemons that do.
    Redirected,
    /// No frame arrived for a while.
    Silent,
    /// A frame did not build on this daemon's state.
    Unfit,
    /// Another daemon is nearer or fresher, or this daemon is to watch the store itself.
    Better,
}
