//! Decides from whom a daemon learns what changes in the store. A state machine without sockets.

use super::peer_freshness::{PeerFreshness, PeerFreshnessTable, millis, moment};
use super::report::{SyncReport, SyncState};
use super::timings::SyncTimings;
use crate::types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Daemons of a group that watch the store while all is well: with two, the loss of one costs its
/// followers a new connection and no call.
const WATCHERS: usize = 2;
/// A store that turned this daemon away is not asked for so long: one that only the store can help
/// learns so late that it is back. All daemons of a fleet ask a store that is away, at a price.
const TURNED_AWAY: Duration = Duration::from_millis(4_000);
/// The same for one of the first two of a group, if nobody has fresh news.
const NEEDED_AGAIN: Duration = Duration::from_millis(800);
/// What a daemon said of being turned away counts for so long: it tries again by then.
const TURNED_AWAY_HOLDS: Duration = Duration::from_millis(10_000);
/// A daemon that could not be reached, or was silent, is not followed for so long.
const UNREACHABLE_FOR: Duration = Duration::from_millis(3_000);
/// Evidence is kept for so long: a large fleet's heartbeats take 9 s to reach everybody.
const KEPT: Duration = Duration::from_secs(30);
/// Daemons whose evidence is passed on: those of the group, and as many others.
const TOLD: usize = 2;

/// From whom this daemon learns what changes in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncSource {
    /// From the store itself.
    Store,
    /// From a daemon that watches the store.
    Peer(SocketAddr),
    /// From nobody: nobody is known to be of use, and the store is not to be asked yet.
    Nobody,
}

/// How far off a daemon is, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data hall.
    Hall,
    /// In another one of the region.
    Region,
    /// In another region.
    Far,
}

/// The daemons that are up and stay, as far as this one knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerTopology {
    /// Those for which two watch, this one among them, in the order in which they do.
    pub group: Vec<SocketAddr>,
    /// All others than this one, the best suited first.
    pub others: Vec<(SocketAddr, Distance)>,
}

/// Why a daemon is not followed any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceFailure {
    /// It could not be reached, or said nothing for a while.
    Unreachable,
    /// It ended the connection.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Lost {
    at: Time,
    until: Time,
}

/// What a daemon does to have fresh news: whether it watches the store, and whom it follows else.
#[derive(Debug, Clone)]
pub struct SourceSelector {
    me: SocketAddr,
    bounds: SyncTimings,
    evidence: PeerFreshnessTable,
    lost: BTreeMap<SocketAddr, Lost>,
    /// When the store turned this daemon away, if it has not answered since.
    turned_away_at: Option<Time>,
    /// Since when all calls to the store have failed.
    fails_since: Option<Time>,
    source: SyncSource,
    /// When that was decided.
    chosen_at: Time,
    /// Since when nobody is known to be of use.
    alone_since: Option<Time>,
    /// The store answered, and this daemon has been its watcher since.
    watches: bool,
}

impl SourceSelector {
    /// A daemon that knows of nobody.
    pub fn new(me: SocketAddr, bounds: SyncTimings) -> Self {
        Self {
            me,
            bounds,
            evidence: PeerFreshnessTable::default(),
            lost: BTreeMap::new(),
            turned_away_at: None,
            fails_since: None,
            source: SyncSource::Nobody,
            chosen_at: Time(0),
            alone_since: None,
            watches: false,
        }
    }

    /// The times it goes by.
    pub fn bounds(&self) -> SyncTimings {
        self.bounds
    }

    /// Sets the times it goes by.
    pub fn set_bounds(&mut self, bounds: SyncTimings) {
        self.bounds = bounds;
    }

    /// True while this daemon watches the store and others may follow it.
    pub fn watches(&self) -> bool {
        self.watches
    }

    /// Takes a heartbeat in: what a daemon says of itself, and what it has heard of others.
    pub fn heard(&mut self, now: Time, own: &SyncReport, of_others: &[SyncReport]) {
        self.evidence.heard(now, own);
        for report in of_others.iter().filter(|report| report.address != self.me) {
            self.evidence.heard_of(now, report);
        }
        let kept_since = Time(now.0.saturating_sub(KEPT.as_millis() as u64));
        self.evidence.forget_before(kept_since);
        self.lost.retain(|_, lost| lost.at >= kept_since);
    }

    /// A daemon that was asked at `asked_at` does not watch, and says who does.
    pub fn redirected(&mut self, now: Time, asked_at: Time, reports: &[SyncReport]) {
        for (n, report) in reports.iter().enumerate().filter(|(_, told)| told.address != self.me) {
            self.evidence.answered(now, asked_at, report, n == 0);
        }
    }

    /// A daemon is of no use as a source. It is followed again when it has known the store since.
    pub fn left(&mut self, now: Time, peer: SocketAddr, why: SourceFailure) {
        let until = match why {
            SourceFailure::Unreachable => now + UNREACHABLE_FOR,
            SourceFailure::Ended => now,
        };
        self.lost.insert(peer, Lost { at: now, until });
        self.source = SyncSource::Nobody;
    }

    /// A daemon did not answer a question.
    pub fn unanswered(&mut self, now: Time, peer: SocketAddr) {
        self.lost.insert(peer, Lost { at: now, until: now + UNREACHABLE_FOR });
    }

    /// Other daemons are heard again after a silence: what could not be reached is tried again.
    pub fn reconnected(&mut self) {
        self.lost.clear();
        self.turned_away_at = None;
    }

    /// The store answered a call of this daemon.
    pub fn store_answered(&mut self) {
        self.watches = true;
        self.turned_away_at = None;
        self.fails_since = None;
    }

    /// A call to the store that was made at `asked_at` failed. One that watched bears it for a while;
    /// another one is turned away.
    pub fn store_failed(&mut self, now: Time, asked_at: Time) {
        let since = *self.fails_since.get_or_insert(asked_at);
        if self.watches && now.since(since) < self.bounds.silent() {
            return;
        }
        self.turned_away_at = Some(now);
        self.watches = false;
    }

    /// True if a daemon was of no use a moment ago.
    pub fn is_left_alone(&self, now: Time, peer: SocketAddr) -> bool {
        self.lost.get(&peer).is_some_and(|lost| now < lost.until)
    }

    /// From whom it learns now.
    pub fn source(&self) -> SyncSource {
        self.source
    }

    /// True if the store is not to be asked now, since it turned this daemon away. One that others look
    /// to and that has old news asks again sooner.
    fn is_turned_away(&self, now: Time, is_needed: bool) -> bool {
        let pause = if is_needed { NEEDED_AGAIN } else { TURNED_AWAY };
        self.turned_away_at.is_some_and(|at| now.since(at) < pause)
    }

    /// Where this daemon has its news from, for others.
    pub fn standing(&self) -> SyncState {
        match (self.watches, self.turned_away_at, self.source) {
            (true, _, _) => SyncState::Watches,
            (false, Some(_), _) => SyncState::TurnedAway,
            (false, None, SyncSource::Peer(_)) => SyncState::Follows,
            (false, None, _) => SyncState::Alone,
        }
    }

    /// From whom to learn now, with proof of the moment `known_at`, if there is any.
    pub fn decide(
        &mut self,
        now: Time,
        around: &PeerTopology,
        known_at: Option<i64>,
    ) -> SyncSource {
        let source = self.decision(now, around, known_at);
        if let SyncSource::Peer(followed) = self.source
            && source != self.source
            && self.is_old(now, known_at)
        {
            // It says that it watches, and its news did not come.
            self.left(now, followed, SourceFailure::Unreachable);
        }
        self.watches &= source == SyncSource::Store;
        self.alone_since = match source {
            SyncSource::Nobody => self.alone_since.or(Some(now)),
            SyncSource::Store | SyncSource::Peer(_) => None,
        };
        if source != self.source {
            self.chosen_at = now;
        }
        self.source = source;
        source
    }

    fn is_old(&self, now: Time, known_at: Option<i64>) -> bool {
        known_at.is_none_or(|at| moment(now) - at >= millis(self.bounds.calm()))
    }

    fn decision(&self, now: Time, around: &PeerTopology, known_at: Option<i64>) -> SyncSource {
        let place = self.place(now, around);
        let open = !self.is_turned_away(now, place < WATCHERS && self.is_old(now, known_at));
        if open && (place < WATCHERS || (self.watches && !self.is_replaced(now, around))) {
            return SyncSource::Store;
        }
        let followed = match self.source {
            SyncSource::Peer(peer) if self.is_usable(now, around, peer) => Some(peer),
            _ => None,
        };
        let is_new = now.since(self.chosen_at) < self.bounds.patience();
        if let Some(peer) = followed.filter(|_| is_new) {
            return SyncSource::Peer(peer);
        }
        let turn = self.bounds.turn(place);
        let oldest = moment(now) - millis(self.bounds.calm() + turn);
        if open && known_at.is_none_or(|at| at <= oldest) {
            return SyncSource::Store;
        }
        let source = match (followed, self.is_old(now, known_at)) {
            (Some(peer), false) => self.nearer(now, around, peer).or(Some(peer)),
            (Some(peer), true) => self.best(now, around, known_at, Some(peer)).or(Some(peer)),
            (None, _) => self.candidate(now, around, known_at),
        };
        let is_alone = self.alone_since.is_some_and(|since| now.since(since) >= turn);
        match source {
            Some(peer) => SyncSource::Peer(peer),
            None if open && is_alone => SyncSource::Store,
            None => SyncSource::Nobody,
        }
    }

    /// How many of the group come before this daemon and may watch.
    fn place(&self, now: Time, around: &PeerTopology) -> usize {
        self.before(around).filter(|peer| !self.says_turned_away(now, *peer)).count()
    }

    fn before<'a>(&self, around: &'a PeerTopology) -> impl Iterator<Item = SocketAddr> + 'a {
        let me = self.me;
        around.group.iter().copied().take_while(move |peer| *peer != me)
    }

    /// True if enough of those that come first are known to watch, so that this daemon need not.
    fn is_replaced(&self, now: Time, around: &PeerTopology) -> bool {
        self.before(around).filter(|peer| self.is_fresh(now, *peer)).count() >= WATCHERS
    }

    fn says_turned_away(&self, now: Time, peer: SocketAddr) -> bool {
        self.evidence.of(peer).is_some_and(|told| {
            let holds = now.since(told.heard_at) < TURNED_AWAY_HOLDS;
            told.standing == SyncState::TurnedAway && holds
        })
    }

    /// The moment up to which a daemon that watches is known to know everything; `None` if it was of
    /// no use since.
    fn watching(&self, now: Time, peer: SocketAddr) -> Option<i64> {
        let told = self.evidence.of(peer)?;
        let known_at = told.known_at.filter(|_| told.standing == SyncState::Watches)?;
        let held_off = self
            .lost
            .get(&peer)
            .is_some_and(|lost| now < lost.until || known_at <= moment(lost.at));
        (!held_off).then_some(known_at)
    }

    fn is_fresh(&self, now: Time, peer: SocketAddr) -> bool {
        let oldest = moment(now) - millis(self.bounds.most());
        self.watching(now, peer).is_some_and(|known_at| known_at >= oldest)
    }

    fn is_usable(&self, now: Time, around: &PeerTopology, peer: SocketAddr) -> bool {
        let is_up = around.others.iter().any(|(other, _)| *other == peer);
        is_up && self.watching(now, peer).is_some()
    }

    /// Whom to follow: of the nearest daemons with fresh news one of the first two, each follower
    /// another one; else the one that knows most, if that is more than is known here.
    fn candidate(
        &self,
        now: Time,
        around: &PeerTopology,
        known_at: Option<i64>,
    ) -> Option<SocketAddr> {
        let nearest = [Distance::Hall, Distance::Region, Distance::Far];
        let fresh = nearest.into_iter().find_map(|distance| {
            let near = around.others.iter().filter(|(_, off)| *off == distance);
            let fresh = near.map(|(peer, _)| *peer).filter(|peer| self.is_fresh(now, *peer));
            let first: Vec<SocketAddr> = fresh.take(WATCHERS).collect();
            first.get(self.spread(around) % first.len().max(1)).copied()
        });
        fresh.or_else(|| self.best(now, around, known_at, None))
    }

    fn spread(&self, around: &PeerTopology) -> usize {
        around.group.iter().position(|peer| *peer == self.me).unwrap_or_default()
    }

    /// A daemon with fresh news that is nearer than the one that is followed.
    fn nearer(&self, now: Time, around: &PeerTopology, followed: SocketAddr) -> Option<SocketAddr> {
        let off = |peer| around.others.iter().find(|(other, _)| *other == peer).map(|of| of.1);
        let candidate = self.candidate(now, around, None)?;
        (off(candidate) < off(followed) && self.is_fresh(now, candidate)).then_some(candidate)
    }

    /// The daemon that watches and is known to know most, if that is more than is known here.
    fn best(
        &self,
        now: Time,
        around: &PeerTopology,
        known_at: Option<i64>,
        but: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let worth = known_at.map_or(i64::MIN, |at| at + millis(self.bounds.question()));
        let others = around.others.iter().filter(|(peer, _)| Some(*peer) != but);
        let known = others.filter_map(|(peer, off)| {
            let known_at = self.watching(now, *peer).filter(|at| *at > worth)?;
            Some((known_at, std::cmp::Reverse(*off), *peer))
        });
        known.max().map(|(_, _, peer)| peer)
    }

    /// Some daemons that provably know more than this one, those that know most first: to be asked
    /// once, whether they watch or not.
    pub fn know_more(
        &self,
        now: Time,
        around: &PeerTopology,
        known_at: Option<i64>,
        some: usize,
    ) -> Vec<SocketAddr> {
        let worth = known_at.map_or(i64::MIN, |at| at + millis(self.bounds.question()));
        let others = around.others.iter().map(|(peer, _)| *peer);
        let mut known: Vec<(i64, SocketAddr)> = others
            .filter(|peer| !self.is_left_alone(now, *peer))
            .filter_map(|peer| Some((self.evidence.of(peer)?.known_at?, peer)))
            .filter(|(at, _)| *at > worth)
            .collect();
        known.sort_unstable_by(|one, other| other.cmp(one));
        known.into_iter().take(some).map(|(_, peer)| peer).collect()
    }

    /// Whom else to tell of: of the group and of the others those that watch and know most.
    pub fn to_tell(&self, now: Time, around: &PeerTopology) -> Vec<SyncReport> {
        let mut known: Vec<(i64, SocketAddr, &PeerFreshness)> = self
            .evidence
            .all()
            .filter_map(|(peer, told)| Some((self.watching(now, peer)?, peer, told)))
            .collect();
        known.sort_unstable_by_key(|(known_at, peer, _)| (std::cmp::Reverse(*known_at), *peer));
        let (near, far): (Vec<_>, Vec<_>) =
            known.into_iter().partition(|(_, peer, _)| around.group.contains(peer));
        let some = near.into_iter().take(TOLD).chain(far.into_iter().take(TOLD));
        some.map(|(known_at, address, told)| SyncReport {
            address,
            incarnation: told.incarnation,
            age_ms: u32::try_from(moment(now) - known_at).ok(),
            standing: told.standing,
        })
        .collect()
    }
}
