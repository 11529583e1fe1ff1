//! Connections over which daemons follow others that watch the store.

use super::catching_up::{PeerItems, PeerNews};
use super::follower_feed::{
    FeedFrame, FeedMessage, Freshness, FreshnessQuestion, HeardQuestion, PeerAsk,
};
use super::frames::{FrameError, read_frame, write_frame};
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

/// A region of so many daemons is one group, in which two watch the store; in larger ones each data
/// hall is. All of them hear every heartbeat, and two can feed the others.
const SMALL_REGION: usize = 12;
/// Between frames of a feed that has news, at most.
const FRAME_EVERY: Duration = Duration::from_millis(100);
/// A follower that does not take a frame within this is cut off: over a link of 10 Mbit/s the
/// largest configuration takes half of it.
const FRAME_TAKEN: Duration = Duration::from_secs(4);
/// Between tries of a daemon that is cut off, unless it hears others before.
const CUT_OFF_PAUSE: Duration = Duration::from_millis(400);
/// Daemons beyond its group that are told at once of one that has found the store again: a burst of
/// 20 KB.
const TOLD_AT_ONCE: usize = 64;
/// A follower that asks nothing for so long is gone.
const FOLLOWER_SILENT: Duration = Duration::from_secs(8);

impl GatewayDaemon {
    /// True if other daemons may follow this one while it watches.
    pub(in crate::gateway) fn feeds_others(&self) -> bool {
        self.surroundings().group.len() > 1
    }

    /// The daemons that are up and stay, and which of them watch for whom.
    pub(in crate::gateway) fn surroundings(&self) -> Rc<PeerTopology> {
        self.around.borrow().clone()
    }

    /// Looks at them anew, with each heartbeat: 17 times a second it would cost a small node more.
    pub(in crate::gateway) fn refresh_topology(&self) {
        let around = Rc::new(self.seen_around());
        self.around.replace(around);
    }

    fn seen_around(&self) -> PeerTopology {
        let (now, hall, regions) = (self.now(), &*self.settings.hall, self.settings.regions());
        let peers = self.peers.borrow();
        let distance = |other: &str| match (other == hall, regions.is_own(other)) {
            (true, _) => Distance::Hall,
            (false, true) => Distance::Region,
            (false, false) => Distance::Far,
        };
        let staying = peers.not_leaving(now);
        let near = staying.iter().filter(|peer| distance(peer.1) != Distance::Far);
        let is_small = near.count() < SMALL_REGION;
        let of_group = |other: &str| match is_small {
            true => distance(other) != Distance::Far,
            false => other == hall,
        };
        let group: &str = if is_small { regions.own() } else { hall };
        PeerTopology {
            group: peers.group_order(now, group, &self.settings.node, of_group),
            others: staying.iter().map(|(peer, hall)| (*peer, distance(hall))).collect(),
        }
    }

    /// From whom to learn now.
    pub(in crate::gateway) fn news_source(&self) -> SyncSource {
        let around = self.surroundings();
        let source =
            self.course.borrow_mut().decide(self.now(), &around, self.handler.proof.proven_at());
        self.note_watching(false);
        source
    }

    /// Tells the group at once if this daemon has begun or ceased to watch, and others too if it had
    /// old news before, since theirs may be: heartbeats take a round to reach all of a large fleet.
    pub(in crate::gateway) fn note_watching(&self, had_old_news: bool) {
        let watches = self.course.borrow().watches();
        if watches == self.watches.replace(watches) {
            return;
        }
        let message = PeerMessage::Heartbeat(self.heartbeat());
        let around = self.surroundings();
        let PeerTopology { group, others } = &*around;
        let others = others.iter().map(|(peer, _)| *peer).filter(|peer| !group.contains(peer));
        let far = if had_old_news { TOLD_AT_ONCE } else { 0 };
        for peer in group.iter().copied().chain(others.take(far)) {
            if peer != self.settings.members {
                self.send(&message, peer);
            }
        }
    }

    /// What this daemon tells of its own news.
    pub(in crate::gateway) fn own_sync_report(&self) -> SyncReport {
        SyncReport {
            address: self.settings.members,
            incarnation: self.incarnation.number(),
            age_ms: self.handler.proof.age_for_peer(self.now()),
            standing: self.course.borrow().standing(),
        }
    }

    /// What it tells of others' news.
    pub(in crate::gateway) fn peer_sync_reports(&self) -> Vec<SyncReport> {
        self.course.borrow().to_tell(self.now(), &self.surroundings())
    }

    pub(in crate::gateway) fn news_bounds(&self) -> SyncTimings {
        self.course.borrow().bounds()
    }

    /// Follows a daemon that watches until it is of no use, or there is a better way.
    pub(in crate::gateway) async fn follow_peer(self: &Rc<Self>, source: SocketAddr) {
        let why = self.read_feed(source).await;
        let lost = match why {
            FeedEnd::NoConnection | FeedEnd::Silent => Some(SourceFailure::Unreachable),
            FeedEnd::Closed | FeedEnd::Redirected => Some(SourceFailure::Ended),
            FeedEnd::Better | FeedEnd::Unfit => None,
        };
        log::info!(
            feed:% = source, why:? = why, revision = self.mirror.borrow().revision(),
            news_age_ms = self.staleness().millis();
            "feed_left"
        );
        let Some(lost) = lost else { return };
        if self.is_cut_off() {
            // That is no fault of the source: it is asked again as soon as anybody is heard.
            let _ = actix_rt::time::timeout(CUT_OFF_PAUSE, self.reconnected.notified()).await;
        } else {
            self.course.borrow_mut().left(self.now(), source, lost);
        }
    }

    async fn read_feed(self: &Rc<Self>, source: SocketAddr) -> FeedEnd {
        let bounds = self.news_bounds();
        let connecting = actix_rt::time::timeout(bounds.patience(), TcpStream::connect(source));
        let Ok(Ok(mut stream)) = connecting.await else { return FeedEnd::NoConnection };
        let (mut read, mut write) = stream.split();
        let mut question = FreshnessQuestion { sent_at: self.now() };
        let StorePosition { era, revision: after } = self.known_position();
        let ask = PeerAsk::Follow { after, question, era };
        if write_frame(&mut write, &ask).await.is_none() {
            return FeedEnd::NoConnection;
        }
        loop {
            let mut reading = pin!(read_frame(&mut read, bounds.silent()));
            let message = loop {
                let message = tokio::select! {
                    message = &mut reading => Some(message),
                    () = actix_rt::time::sleep(bounds.answer()) => None,
                };
                // Also while frames keep coming: a feed that had always something to tell was never
                // asked how fresh it is.
                if self.news_source() != SyncSource::Peer(source) {
                    return FeedEnd::Better;
                }
                if self.now().since(question.sent_at) >= bounds.question() {
                    question = FreshnessQuestion { sent_at: self.now() };
                    let asking = write_frame(&mut write, &question);
                    match actix_rt::time::timeout(bounds.silent(), asking).await {
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
                Ok(FeedMessage::News(frame)) => {
                    if self.take_frame(source, frame).is_none() {
                        return FeedEnd::Unfit;
                    }
                }
                Ok(FeedMessage::Redirect(reports)) => {
                    self.take_redirect(source, question.sent_at, &reports);
                    return FeedEnd::Redirected;
                }
                Err(FrameError::Silent) => return FeedEnd::Silent,
                Err(FrameError::Broken) => return FeedEnd::Closed,
            }
        }
    }

    fn take_redirect(&self, source: SocketAddr, asked_at: Time, reports: &[SyncReport]) {
        log::info!(
            feed:% = source, watching:? = reports.iter().skip(1).map(|told| told.address).collect::<Vec<_>>();
            "feed_redirected"
        );
        self.course.borrow_mut().redirected(self.now(), asked_at, reports);
    }

    /// Takes a frame in; `None` if its sender took this daemon to know something else.
    fn take_frame(self: &Rc<Self>, source: SocketAddr, frame: FeedFrame) -> Option<()> {
        let now = self.now();
        self.handler.loads.record_reports(now, &frame.loads);
        if !frame.notices.is_empty() {
            self.on_notices(&frame.notices);
        }
        let told = PeerItems {
            era: frame.era,
            revision: frame.revision,
            whole: frame.whole,
            items: frame.items,
            kept: frame.kept,
            step: frame.step,
        };
        let changes = match self.take_peer_items(told) {
            PeerNews::Taken(changes) => changes,
            // The news grows old until the source has noticed, or another one is followed.
            PeerNews::Former => return Some(()),
            PeerNews::Unfit => return None,
        };
        self.apply(changes, "feed");
        if let Some(Freshness { question, age_ms, incarnation }) = frame.freshness {
            let age = Duration::from_millis(age_ms.into());
            self.handler.proof.renew_from_peer(question.sent_at, age);
            let (age_ms, standing) = (Some(age_ms), SyncState::Watches);
            let told = SyncReport { address: source, incarnation, age_ms, standing };
            self.course.borrow_mut().redirected(now, question.sent_at, &[told]);
        }
        // Only now: how old the news can be is told by when the store was heard of before it.
        if frame.store_age_ms != u32::MAX {
            let seen_at = Time(now.0.saturating_sub(frame.store_age_ms.into()));
            self.store_seen.set(self.store_seen.get().max(Some(seen_at)));
        }
        Some(())
    }

    /// Serves one follower until it leaves, or this daemon does not watch any more. Each is told
    /// anew only when it has taken what was told before, so that a slow link delays nothing twice.
    pub(in crate::gateway) async fn serve_follower(
        &self,
        mut stream: TcpStream,
        after: StorePosition,
        question: FreshnessQuestion,
    ) -> Option<()> {
        let question = Cell::new(HeardQuestion { question, heard_at: self.now() });
        let (mut read, mut write) = stream.split();
        tokio::select! {
            ended = self.write_feed(&mut write, after, &question) => ended,
            ended = self.hear_questions(&mut read, &question) => ended,
        }
    }

    async fn write_feed(
        &self,
        stream: &mut WriteHalf<'_>,
        after: StorePosition,
        question: &Cell<HeardQuestion>,
    ) -> Option<()> {
        let mut place = self.feed.end();
        let mut told = after;
        let mut told_at: Option<Time> = None;
        let mut told_proof = None;
        let mut told_kept: Vec<RetainedItem> = Vec::new();
        while self.watches.get() && !self.stopping() {
            let now = self.now();
            let (notices, loads) = self.feed.after(&mut place);
            let unchanged = self.mirror.borrow().position() <= told;
            let proof = self.handler.proof.proven_at();
            let silent = notices.is_empty() && loads.is_empty() && unchanged && proof == told_proof;
            let bounds = self.news_bounds();
            let frame_every = FRAME_EVERY.min(bounds.answer());
            if silent && told_at.is_some_and(|at| now.since(at) < bounds.question()) {
                actix_rt::time::sleep(frame_every).await;
                continue;
            }
            let MirrorUpdate { position, whole, items, step } =
                self.mirror.borrow().news_after(told);
            let kept = self.kept_to_tell(&mut told_kept);
            let store_age_ms = self.store_age();
            let freshness = self.freshness(question.get());
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
            };
            (told, told_at, told_proof) = (position, Some(now), proof);
            let message = FeedMessage::News(frame);
            let writing = write_frame(stream, &message);
            actix_rt::time::timeout(FRAME_TAKEN, writing).await.ok()??;
            actix_rt::time::sleep(frame_every).await;
        }
        let reports = std::iter::once(self.own_sync_report()).chain(self.peer_sync_reports());
        let message = FeedMessage::Redirect(reports.collect());
        actix_rt::time::timeout(FRAME_TAKEN, write_frame(stream, &message)).await.ok()?
    }

    /// What is believed against the store's copy, if a follower has not been told that.
    fn kept_to_tell(&self, told: &mut Vec<RetainedItem>) -> Vec<RetainedItem> {
        let kept = self.mirror.borrow().kept_items();
        if kept == *told {
            return Vec::new();
        }
        *told = kept.clone();
        kept
    }

    /// How old this daemon's proof was when it had a question. The follower counts from its sending,
    /// so that nothing is added for the time that the question lay here.
    fn freshness(&self, heard: HeardQuestion) -> Option<Freshness> {
        let age_ms = self.handler.proof.age_for_peer(heard.heard_at)?;
        Some(Freshness { question: heard.question, age_ms, incarnation: self.incarnation.number() })
    }

    /// Keeps the newest question of a follower until it is gone.
    async fn hear_questions(
        &self,
        stream: &mut ReadHalf<'_>,
        newest: &Cell<HeardQuestion>,
    ) -> Option<()> {
        loop {
            let question = read_frame(stream, FOLLOWER_SILENT).await.ok()?;
            newest.set(HeardQuestion { question, heard_at: self.now() });
        }
    }

    /// How long ago the store answered, in milliseconds, for followers.
    fn store_age(&self) -> u32 {
        u32::try_from(self.store_age_ms()).unwrap_or(u32::MAX)
    }
}

/// Why a feed was left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FeedEnd {
    /// It could not be reached.
    NoConnection,
    /// It was ended by the other side, which is gone.
    Closed,
    /// Its daemon does not watch, and said who does.
    Redirected,
    /// Nothing came for a while.
    Silent,
    /// What it told does not fit what is known here.
    Unfit,
    /// Another daemon is nearer or knows more, or this one is to watch the store by itself.
    Better,
}
