//! Who watches the store for a data hall, and how the others follow.

use super::frames::{FrameError, read_frame, write_frame};
use super::hall_feed::{FeedFrame, Freshness, FreshnessQuestion, PeerAsk};
use super::mirror::MirrorNews;
use crate::gateway::daemon::GatewayDaemon;
use crate::types::Time;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

/// Daemons of a hall that watch the store: with two, the loss of one costs its followers a new
/// connection and no call.
const WATCHERS: usize = 2;
/// In a hall of so many daemons all watch: there is next to nothing to save.
const ALL_WATCH: usize = 4;
/// Between frames of a feed that has news.
const FRAME_EVERY: Duration = Duration::from_millis(100);
/// Between frames of a feed without news, so that followers know that it lives.
const IDLE_FRAME_EVERY: Duration = Duration::from_millis(400);
/// A feed that says nothing for so long is left: two idle frames are late.
const FEED_SILENT: Duration = Duration::from_millis(1_000);
/// A feed is left if the store has not answered its daemon for longer: a watch and some slack.
const FEED_STALE: Duration = Duration::from_millis(1_700);
/// For the connection to a feed, within a data centre.
const CONNECT: Duration = Duration::from_millis(400);
/// A follower that does not take a frame within this is cut off: over a link of 10 Mbit/s the
/// largest configuration takes half of it.
const FRAME_TAKEN: Duration = Duration::from_secs(4);
/// A daemon that does not watch, or whose feed fell silent, is not asked again for so long.
const SHUNNED_FOR: Duration = Duration::from_secs(3);
/// The same for one that could not be reached or has lost the store, which takes longer to pass.
const LOST_FOR: Duration = Duration::from_secs(10);
/// Between tries of a daemon that is cut off, unless it hears others before.
const CUT_OFF_PAUSE: Duration = Duration::from_millis(400);
/// After a feed that ended, so that a daemon which has just learned that it is to watch does so.
const CLOSED_PAUSE: Duration = Duration::from_millis(300);
/// A watcher whose calls have failed for so long tells its followers that it has lost the store. One
/// lost answer is no reason: all 39 daemons of a hall would turn to the store at once.
const STORE_LOST_AFTER: Duration = Duration::from_millis(700);
/// Between a follower's questions how fresh its source is; frames come as often at least.
const QUESTION_EVERY: Duration = Duration::from_millis(300);
/// The same where keys must be proved, and for frames, as a share of the age that proof may have.
const PROOF_FRAME_SHARE: f64 = 0.1;
/// A follower that asks nothing for so long is gone.
const FOLLOWER_SILENT: Duration = Duration::from_secs(8);
/// Between looks whether this daemon should watch by itself.
const LOOK_AGAIN: Duration = Duration::from_secs(2);

/// From whom this daemon learns what changes in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewsSource {
    /// From the store itself.
    Store,
    /// From a daemon that watches the store, of its own hall or of another one.
    Peer(SocketAddr),
}

/// Whom a daemon could follow.
#[derive(Debug, Clone, Copy)]
pub struct Watching<'a> {
    /// The daemons of its hall, itself included, in the order in which they watch for the others.
    pub hall: &'a [SocketAddr],
    /// Daemons of other halls that watch.
    pub abroad: &'a [SocketAddr],
}

/// Whom a daemon follows: one of the first two of its hall. `shunned` tells which daemons are of no
/// use now, itself if it has lost the store. If both are, the next two of the hall watch, and the
/// others follow daemons of other halls, which watch already and mostly have good links: one after
/// the other of 36 small nodes was asked in vain for 2.9 s. Where those are of no use either, the
/// hall's daemons find out two at a time whether the store is back.
pub fn news_source(
    watching: Watching<'_>,
    me: SocketAddr,
    shunned: impl Fn(SocketAddr) -> bool,
) -> NewsSource {
    let Watching { hall, abroad } = watching;
    if hall.len() <= ALL_WATCH {
        return NewsSource::Store;
    }
    let place = hall.iter().position(|address| *address == me).unwrap_or_default();
    let usable = |all: &[SocketAddr]| -> Vec<SocketAddr> {
        all.iter().copied().filter(|address| !shunned(*address)).collect()
    };
    let spread = |all: &[SocketAddr]| all.get(place % all.len().max(1)).copied();
    let next: Vec<SocketAddr> = usable(hall).into_iter().take(WATCHERS).collect();
    if next.contains(&me) {
        return NewsSource::Store;
    }
    let first = usable(&hall[..WATCHERS]);
    let source = spread(&first).or_else(|| spread(&usable(abroad))).or_else(|| spread(&next));
    source.map_or(NewsSource::Store, NewsSource::Peer)
}

impl GatewayDaemon {
    /// True if other daemons may follow this one while it watches.
    pub(in crate::gateway) fn feeds_others(&self) -> bool {
        self.watch_order().len() > ALL_WATCH
    }

    fn watch_order(&self) -> Vec<SocketAddr> {
        let settings = &self.settings;
        self.peers.borrow().watch_order(self.now(), &settings.hall, &settings.node)
    }

    fn watching_abroad(&self) -> Vec<SocketAddr> {
        self.peers.borrow().watching_abroad(self.now(), &self.settings.hall)
    }

    /// From whom to learn now.
    pub(in crate::gateway) fn news_source(&self) -> NewsSource {
        let now = self.now();
        let (hall, abroad) = (self.watch_order(), self.watching_abroad());
        let shunned = self.shunned.borrow();
        let is_shunned = |address: SocketAddr| shunned.get(&address).is_some_and(|at| now < *at);
        let watching = Watching { hall: &hall, abroad: &abroad };
        news_source(watching, self.settings.members, is_shunned)
    }

    /// Follows a daemon that watches until it is of no use, or this daemon is to watch by itself.
    pub(in crate::gateway) async fn follow_peer(self: &Rc<Self>, source: SocketAddr) {
        self.watches.set(false);
        let why = self.read_feed(source).await;
        let of_no_use = !matches!(why, FeedEnd::ToWatch | FeedEnd::Nearer);
        if of_no_use && self.is_cut_off() {
            // That is no fault of the source: it is asked again as soon as anybody is heard.
            let _ = actix_rt::time::timeout(CUT_OFF_PAUSE, self.reconnected.notified()).await;
        } else if of_no_use {
            let span = match why {
                FeedEnd::NoConnection | FeedEnd::Stale => LOST_FOR,
                _ => SHUNNED_FOR,
            };
            if why == FeedEnd::Closed {
                actix_rt::time::sleep(CLOSED_PAUSE).await;
            }
            let until = self.now() + span;
            self.shunned.borrow_mut().insert(source, until);
        }
        log::info!(feed:% = source, why:? = why, revision = self.mirror.borrow().revision(); "feed_left");
    }

    /// True if a daemon is of this daemon's hall, as far as known.
    fn is_near(&self, address: SocketAddr) -> bool {
        !self.watching_abroad().contains(&address)
    }

    async fn read_feed(self: &Rc<Self>, source: SocketAddr) -> FeedEnd {
        let connecting = actix_rt::time::timeout(CONNECT, TcpStream::connect(source));
        let Ok(Ok(mut stream)) = connecting.await else { return FeedEnd::NoConnection };
        let mut question = FreshnessQuestion { sent_at: self.now() };
        let ask = PeerAsk::Follow { after: self.mirror.borrow().revision(), question };
        if write_frame(&mut stream, &ask).await.is_none() {
            return FeedEnd::NoConnection;
        }
        let mut looked_at = self.now();
        loop {
            let now = self.now();
            let question_every = self.for_proof(QUESTION_EVERY, PROOF_FRAME_SHARE);
            if now.since(question.sent_at) >= question_every {
                question = FreshnessQuestion { sent_at: now };
                let asking = write_frame(&mut stream, &question);
                match actix_rt::time::timeout(FEED_SILENT, asking).await {
                    Ok(Some(())) => {}
                    Ok(None) => return FeedEnd::Closed,
                    Err(_) => return FeedEnd::Silent,
                }
            }
            let frame: FeedFrame = match read_frame(&mut stream, FEED_SILENT).await {
                Ok(frame) => frame,
                Err(FrameError::Silent) => return FeedEnd::Silent,
                Err(FrameError::Broken) => return FeedEnd::Closed,
            };
            let age = Duration::from_millis(frame.store_age_ms.into());
            self.take_frame(frame);
            if age > FEED_STALE {
                return FeedEnd::Stale;
            }
            if self.now().since(looked_at) >= LOOK_AGAIN {
                looked_at = self.now();
                match self.news_source() {
                    NewsSource::Store => return FeedEnd::ToWatch,
                    NewsSource::Peer(other) if self.is_near(other) && !self.is_near(source) => {
                        return FeedEnd::Nearer;
                    }
                    NewsSource::Peer(_) => {}
                }
            }
        }
    }

    fn take_frame(self: &Rc<Self>, frame: FeedFrame) {
        let now = self.now();
        self.path.loads.report(now, &frame.loads);
        if !frame.notices.is_empty() {
            self.on_notices(&frame.notices);
        }
        let changes = {
            let mut mirror = self.mirror.borrow_mut();
            let changes = match frame.whole {
                true => mirror.apply_whole(self.dialect.prefix(), frame.revision, frame.items),
                false => mirror.apply_items(frame.items),
            };
            mirror.whole_up_to(frame.revision);
            changes
        };
        self.apply(changes, "feed");
        if let Some(Freshness { question, age_ms }) = frame.freshness {
            let age = Duration::from_millis(age_ms.into());
            self.path.proof.renew_from(question.sent_at, age);
        }
        // Only now: how old the news can be is told by when the store was heard of before it.
        if frame.store_age_ms != u32::MAX {
            let seen_at = Time(now.0.saturating_sub(frame.store_age_ms.into()));
            self.store_seen.set(self.store_seen.get().max(Some(seen_at)));
        }
    }

    /// Serves one follower until it leaves, or this daemon does not watch any more. Each is told
    /// anew only when it has taken what was told before, so that a slow link delays nothing twice.
    pub(in crate::gateway) async fn serve_follower(
        &self,
        mut stream: TcpStream,
        after: u64,
        question: FreshnessQuestion,
    ) -> Option<()> {
        let question = Cell::new(question);
        let (mut read, mut write) = stream.split();
        tokio::select! {
            ended = self.write_feed(&mut write, after, &question) => ended,
            ended = hear_questions(&mut read, &question) => ended,
        }
    }

    async fn write_feed(
        &self,
        stream: &mut WriteHalf<'_>,
        after: u64,
        question: &Cell<FreshnessQuestion>,
    ) -> Option<()> {
        let mut place = self.feed.end();
        let mut told = after;
        let mut told_at: Option<Time> = None;
        while self.watches.get() {
            let now = self.now();
            let (notices, loads) = self.feed.after(&mut place);
            let unchanged = self.mirror.borrow().revision() <= told;
            let silent = notices.is_empty() && loads.is_empty() && unchanged;
            let idle_every = self.for_proof(IDLE_FRAME_EVERY, PROOF_FRAME_SHARE);
            if silent && told_at.is_some_and(|at| now.since(at) < idle_every) {
                actix_rt::time::sleep(FRAME_EVERY).await;
                continue;
            }
            let MirrorNews { revision, whole, items } = self.mirror.borrow().news_after(told);
            let store_age_ms = self.store_age();
            let freshness = self.path.proof.age_to_tell(now);
            let freshness = freshness.map(|age_ms| Freshness { question: question.get(), age_ms });
            let frame =
                FeedFrame { revision, store_age_ms, freshness, whole, items, notices, loads };
            (told, told_at) = (revision, Some(now));
            let writing = write_frame(stream, &frame);
            actix_rt::time::timeout(FRAME_TAKEN, writing).await.ok()??;
            actix_rt::time::sleep(FRAME_EVERY).await;
        }
        Some(())
    }

    /// True if all watches of the store have failed for a while.
    pub(in crate::gateway) fn has_lost_store(&self) -> bool {
        let fails = self.store_fails_since.get();
        fails.is_some_and(|since| self.now().since(since) >= STORE_LOST_AFTER)
    }

    /// A watcher that has lost the store leaves watching to others and follows them.
    pub(in crate::gateway) fn leave_watching(&self) {
        let until = self.now() + LOST_FOR;
        self.shunned.borrow_mut().insert(self.settings.members, until);
        self.store_fails_since.set(None);
    }

    /// How long ago the store answered, in milliseconds, for followers; very long if it is lost.
    fn store_age(&self) -> u32 {
        if self.has_lost_store() {
            return u32::MAX;
        }
        u32::try_from(self.store_age_ms()).unwrap_or(u32::MAX)
    }
}

/// Keeps the newest question of a follower until it is gone.
async fn hear_questions(stream: &mut ReadHalf<'_>, newest: &Cell<FreshnessQuestion>) -> Option<()> {
    loop {
        newest.set(read_frame(stream, FOLLOWER_SILENT).await.ok()?);
    }
}

/// Why a feed was left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FeedEnd {
    /// It could not be reached.
    NoConnection,
    /// It was ended by the other side, which does not watch or is gone.
    Closed,
    /// Nothing came for a while.
    Silent,
    /// Its daemon does not hear from the store.
    Stale,
    /// This daemon is to watch the store by itself.
    ToWatch,
    /// It is of another hall, and one of this hall can be followed again.
    Nearer,
}
