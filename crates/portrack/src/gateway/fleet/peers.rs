//! The other daemons: who is there, and whom to tell. A state machine without sockets.

use super::message::Heartbeat;
use super::regions::Regions;
use crate::gateway::selection::load::server_hash;
use crate::gateway::store_sync::era::EraTracker;
use crate::membership::ranked;
use crate::store::{StoreEra, StorePosition};
use crate::types::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Between heartbeats.
pub const BEAT: Duration = Duration::from_millis(300);
/// Turns of heartbeats that may be lost before what a daemon said of its orders is not believed.
const TURNS_FRESH: u32 = 3;
/// Turns of heartbeats that may be lost before a daemon counts as gone.
const TURNS_GONE: u32 = 5;
/// A daemon not heard for this long counts as gone, in a fleet where all hear every heartbeat.
const GONE_AFTER: Duration = Duration::from_millis(3_000);
/// A daemon not heard for this long is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);
/// What a daemon said of its orders counts for this long, in such a fleet.
const ORDERS_FRESH: Duration = Duration::from_millis(1_400);
/// Daemons that one heartbeat goes to; in small fleets that is all of them.
const FAN_OUT: usize = 12;
/// Of these, so many are of other regions where there are several: what daemons tell each other across
/// is needed less often there, and paid for by volume.
const FAN_OUT_FAR: usize = 3;
/// Up to so many daemons all hear every notice.
const NOTICE_ALL: usize = 24;
/// Daemons of a hall that notices go to: the two that watch for it, and one that may just have
/// taken over.
const NOTICE_WATCHERS: usize = 3;
/// Seeds that were never heard are asked again each so many heartbeats.
const SEEDS_EVERY: usize = 8;
/// Daemons only heard of that are kept.
const MOST_HEARD_OF: usize = 512;
/// Daemons only heard of that one heartbeat greets besides.
const GREETED_AT_ONCE: usize = 16;
/// Daemons that a newcomer is told of in one datagram.
const TOLD_NEWCOMER: usize = 64;
/// A daemon that has heard so many fewer others than this one, beyond half of them, is a newcomer.
const FEWER: usize = 8;
/// A data hall is silent if nothing was heard of it for so long at least: three heartbeats of each of
/// its daemons in a small fleet.
const HALL_SILENT: Duration = Duration::from_millis(900);
/// The same, in heartbeats that should have come from all its daemons together: of 39 daemons in a
/// fleet of 195 one comes each 130 ms. With six, chance made eight nodes a second take a hall for
/// silent.
const HALL_BEATS_MISSED: u32 = 10;
/// Daemons that must be known of a hall before its silence means anything.
const HALL_KNOWN: usize = 2;
/// Heartbeats that a daemon gets that was only heard of.
const GREETINGS: u8 = 4;
/// Addresses of others that a heartbeat carries.
const KNOWN_CARRIED: usize = 8;

/// One other daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Its last sign of life.
    pub heartbeat: Heartbeat,
    /// When that came.
    pub heard_at: Time,
    /// The region of its data hall.
    region: Rc<str>,
}

/// Why a heartbeat changed something.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerChange {
    /// A daemon came up, or back.
    Up,
    /// It says that it is leaving.
    Leaving,
    /// It is of a life before the one that is known, which has this number.
    StaleIncarnation(u64),
}

/// A daemon that others know; datagrams to it may be lost.
#[derive(Debug, Clone, Copy)]
struct HeardOf {
    address: SocketAddr,
    greetings_left: u8,
}

/// The daemons known.
#[derive(Debug, Clone)]
pub struct Peers {
    me: SocketAddr,
    my_capacity: u32,
    seeds: Vec<SocketAddr>,
    heard_of: Vec<HeardOf>,
    peers: BTreeMap<Rc<str>, Peer>,
    /// When any other daemon was heard last.
    heard_at: Option<Time>,
    turn: usize,
    /// Moves on through the daemons of other regions.
    far_turn: usize,
    regions: Regions,
    /// How many daemons are known of each region.
    of_region: BTreeMap<Rc<str>, usize>,
    /// Heartbeats sent so far.
    beats: usize,
    /// Moves on through the daemons that newcomers are told of.
    newcomer_turn: usize,
}

impl Peers {
    /// Knows only where to ask first.
    pub fn new(me: SocketAddr, my_capacity: u32, seeds: Vec<SocketAddr>) -> Self {
        // Daemons that all began their rounds with the same one would reach it together, and leave it
        // without news for the rest of the round.
        let turn = server_hash(&me.to_string()) as usize;
        Self {
            me,
            my_capacity,
            seeds,
            heard_of: Vec::new(),
            peers: BTreeMap::new(),
            heard_at: None,
            turn,
            far_turn: turn,
            regions: Regions::default(),
            of_region: BTreeMap::new(),
            beats: 0,
            newcomer_turn: 0,
        }
    }

    /// Knows which data halls lie in which region, seen from this daemon.
    pub fn with_regions(self, regions: Regions) -> Self {
        Self { regions, ..self }
    }

    /// The region that a hall counts to; one for all halls where there are not several.
    fn region(&self, hall: &str) -> Rc<str> {
        match self.regions.is_multi_region() {
            true => self.regions.responsible_region(hall).clone(),
            false => self.regions.own().clone(),
        }
    }

    /// How many daemons are known of a region.
    fn known_of(&self, region: &str) -> usize {
        self.of_region.get(region).copied().unwrap_or(0)
    }

    fn count_regions(&mut self) {
        self.of_region.clear();
        for peer in self.peers.values() {
            *self.of_region.entry(peer.region.clone()).or_default() += 1;
        }
    }

    /// True if heartbeats go to daemons of other regions less often.
    pub fn spares_far(&self) -> bool {
        let own = self.known_of(self.regions.own());
        self.peers.len() > FAN_OUT && own < self.peers.len()
    }

    /// How long each daemon of a region takes until its heartbeats have reached all others once, those
    /// of this daemon's region among them.
    fn round(&self, region: &str) -> Duration {
        let own = *region == **self.regions.own();
        let turns = match (self.spares_far(), own) {
            (false, _) => self.peers.len().div_ceil(FAN_OUT),
            (true, true) => self.known_of(region).div_ceil(FAN_OUT - FAN_OUT_FAR),
            (true, false) => (self.peers.len() + 1 - self.known_of(region)).div_ceil(FAN_OUT_FAR),
        };
        BEAT * u32::try_from(turns.max(1)).unwrap_or(u32::MAX)
    }

    fn orders_fresh(&self, peer: &Peer) -> Duration {
        ORDERS_FRESH.max(self.round(&peer.region) * TURNS_FRESH)
    }

    fn gone_after(&self, peer: &Peer) -> Duration {
        GONE_AFTER.max(self.round(&peer.region) * TURNS_GONE)
    }

    fn is_up(&self, now: Time, peer: &Peer) -> bool {
        now.since(peer.heard_at) < self.gone_after(peer)
    }

    /// Takes a heartbeat in.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> Option<PeerChange> {
        if heartbeat.address == self.me {
            return None;
        }
        self.heard_at = Some(now);
        for address in &heartbeat.known {
            self.add_candidate(*address);
        }
        self.heard_of.retain(|other| other.address != heartbeat.address);
        let name: Rc<str> = heartbeat.node.as_str().into();
        let before = self.peers.get(&name);
        let known = before.map_or(0, |peer| peer.heartbeat.incarnation);
        if known > heartbeat.incarnation {
            return Some(PeerChange::StaleIncarnation(known));
        }
        // One that has started again knows nothing of what it was told, however soon it is heard.
        let was_up = before.is_some_and(|peer| {
            self.is_up(now, peer) && peer.heartbeat.incarnation == heartbeat.incarnation
        });
        let was_leaving = before.is_some_and(|peer| peer.heartbeat.leaving);
        let leaving = heartbeat.leaving;
        let region = self.region(&heartbeat.hall);
        let moved = before.is_none_or(|peer| peer.region != region);
        self.peers.insert(name, Peer { heartbeat, heard_at: now, region });
        if moved {
            self.count_regions();
        }
        match (leaving, was_leaving, was_up) {
            (true, false, _) => Some(PeerChange::Leaving),
            (false, _, false) => Some(PeerChange::Up),
            _ => None,
        }
    }

    /// Takes note of a daemon that was only heard of.
    pub fn add_candidate(&mut self, address: SocketAddr) {
        let known = address == self.me
            || self.heard_of.iter().any(|other| other.address == address)
            || self.peers.values().any(|peer| peer.heartbeat.address == address);
        if !known && self.heard_of.len() < MOST_HEARD_OF {
            self.heard_of.push(HeardOf { address, greetings_left: GREETINGS });
        }
    }

    /// Forgets daemons not heard for long. Returns those that have just gone silent.
    pub fn sweep(&mut self, now: Time, since: Time) -> Vec<Rc<str>> {
        let silent = self.peers.iter().filter(|(_, peer)| {
            !self.is_up(now, peer) && since.since(peer.heard_at) < self.gone_after(peer)
        });
        let silent: Vec<Rc<str>> = silent.map(|(name, _)| name.clone()).collect();
        self.peers.retain(|_, peer| now.since(peer.heard_at) < FORGOTTEN_AFTER);
        self.count_regions();
        silent
    }

    /// The daemons that are up.
    pub fn up(&self, now: Time) -> impl Iterator<Item = (&Rc<str>, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| self.is_up(now, peer))
    }

    /// Where all daemons known hear datagrams, silent ones among them.
    pub fn all(&self) -> impl Iterator<Item = SocketAddr> {
        let heard = self.peers.values().map(|peer| peer.heartbeat.address);
        heard.chain(self.heard_of.iter().map(|other| other.address))
    }

    /// Where all daemons that are up hear datagrams.
    pub fn addresses(&self, now: Time) -> Vec<SocketAddr> {
        self.up(now).map(|(_, peer)| peer.heartbeat.address).collect()
    }

    /// Where the next heartbeat goes: some daemons in turn, and whoever was only heard of.
    pub fn targets(&mut self, now: Time) -> Vec<SocketAddr> {
        let spares_far = self.spares_far();
        let mut all = self.whose_turn();
        let greeted = self.heard_of.len().min(GREETED_AT_ONCE);
        for other in &mut self.heard_of[..greeted] {
            all.push(other.address);
            other.greetings_left -= 1;
        }
        self.heard_of.rotate_left(greeted);
        self.heard_of.retain(|other| other.greetings_left > 0);
        let few = self.up(now).next().is_none();
        let unheard = self.seeds.iter().filter(|seed| **seed != self.me && !all.contains(seed));
        let unheard: Vec<SocketAddr> = unheard.copied().collect();
        if few || self.beats.is_multiple_of(SEEDS_EVERY) {
            all.extend(unheard);
        }
        self.beats += 1;
        if all.len() <= FAN_OUT && !spares_far {
            self.turn = self.turn.wrapping_add(1);
        }
        all
    }

    fn whose_turn(&mut self) -> Vec<SocketAddr> {
        let address = |peer: &&Peer| peer.heartbeat.address;
        if !self.spares_far() {
            let all = self.peers.values().map(|peer| address(&peer)).collect();
            return some_in_turn(&mut self.turn, all, FAN_OUT);
        }
        let own = self.regions.own();
        let (near, far): (Vec<&Peer>, Vec<&Peer>) =
            self.peers.values().partition(|peer| peer.region == *own);
        let near = near.iter().map(address).collect();
        let far = far.iter().map(address).collect();
        let mut all = some_in_turn(&mut self.turn, near, FAN_OUT - FAN_OUT_FAR);
        all.extend(some_in_turn(&mut self.far_turn, far, FAN_OUT_FAR));
        all
    }

    /// Some daemons to tell others of.
    pub fn known(&self, now: Time) -> Vec<SocketAddr> {
        let all = self.addresses(now);
        let start = if all.is_empty() { 0 } else { self.turn % all.len() };
        all.iter().cycle().skip(start).take(all.len().min(KNOWN_CARRIED)).copied().collect()
    }

    /// Some daemons to tell one that has heard of `heard`, in turn; none if that is not far fewer
    /// than are known here.
    pub fn addresses_for_new_peer(&mut self, now: Time, heard: usize) -> Vec<SocketAddr> {
        if self.up(now).count() <= 2 * heard + FEWER {
            return Vec::new();
        }
        let all = self.addresses(now);
        self.newcomer_turn += TOLD_NEWCOMER;
        let start = self.newcomer_turn % all.len();
        all.iter().cycle().skip(start).take(all.len().min(TOLD_NEWCOMER)).copied().collect()
    }

    /// The daemon that may order a server, as far as heard lately.
    pub fn orderer(&self, now: Time, mark: u32) -> Option<(&Rc<str>, &Peer)> {
        self.peers.iter().find(|(_, peer)| {
            let fresh = now.since(peer.heard_at) < self.orders_fresh(peer);
            fresh && !peer.heartbeat.leaving && peer.heartbeat.orders.contains(&mark)
        })
    }

    /// A machine, by its daemon's name and address, if it was heard within `span`.
    fn machine(&self, now: Time, machine: &str, span: Duration) -> Option<&Peer> {
        let (node, _) = machine.rsplit_once('|')?;
        let peer = self.peers.get(node)?;
        let known = machine_name(&peer.heartbeat) == machine && now.since(peer.heard_at) < span;
        known.then_some(peer)
    }

    /// True if a machine, by its daemon's name and address, was heard within `span`, or within a round of
    /// its heartbeats if it is of another region.
    pub fn heard_within(&self, now: Time, machine: &str, span: Duration) -> bool {
        let own = self.regions.own();
        let Some(peer) = self.machine(now, machine, Duration::MAX) else { return false };
        let span = if peer.region == *own { span } else { span.max(self.round(&peer.region)) };
        now.since(peer.heard_at) < span
    }

    /// Where a machine hears datagrams; `None` if it is leaving or has fallen silent. One that was
    /// never heard is believed to be where its name says: a daemon that has just started hears of
    /// some only after seconds.
    pub fn machine_address(&self, now: Time, machine: &str) -> Option<SocketAddr> {
        let (node, address) = machine.rsplit_once('|')?;
        if !self.peers.contains_key(node) {
            return address.parse().ok();
        }
        let span = self.orders_fresh(self.peers.get(node)?);
        let peer = self.machine(now, machine, span)?;
        (!peer.heartbeat.leaving).then_some(peer.heartbeat.address)
    }

    /// For how long no other daemon has been heard; `None` if none ever was.
    pub fn silent_for(&self, now: Time) -> Option<Duration> {
        self.heard_at.map(|at| now.since(at))
    }

    /// The data halls other than `mine` from which nothing is heard any more although it should be:
    /// they are cut off, or this one is. None if nothing is heard of this daemon's own hall either,
    /// since the daemon itself is cut off then.
    pub fn silent_halls(&self, now: Time, mine: &str) -> Vec<Rc<str>> {
        let mut halls: BTreeMap<&str, (usize, Time)> = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| self.is_up(now, peer)) {
            let (known, heard_at) = halls.entry(&peer.heartbeat.hall).or_default();
            *known += 1;
            *heard_at = peer.heard_at.max(*heard_at);
        }
        let is_silent = |hall: &str| {
            halls.get(hall).is_some_and(|(known, at)| {
                self.is_silence(&self.region(hall), *known, now.since(*at))
            })
        };
        if is_silent(mine) || !halls.contains_key(mine) {
            return Vec::new();
        }
        let others = halls.keys().filter(|hall| **hall != mine && is_silent(hall));
        let mut silent: BTreeSet<Rc<str>> = others.map(|hall| Rc::from(*hall)).collect();
        for region in self.silent_regions(now, &halls) {
            silent.extend(self.regions.halls(&region).cloned());
        }
        silent.into_iter().collect()
    }

    /// True if nothing was heard for so long of `known` daemons of a region that they are cut off.
    fn is_silence(&self, region: &str, known: usize, since: Duration) -> bool {
        let expected = self.round(region) / u32::try_from(known.max(1)).unwrap_or(u32::MAX);
        known >= HALL_KNOWN && since >= HALL_SILENT.max(expected * HALL_BEATS_MISSED)
    }

    /// The other regions of which nothing is heard, of whichever hall: a cut region is found sooner than
    /// each of its halls by itself.
    fn silent_regions(&self, now: Time, halls: &BTreeMap<&str, (usize, Time)>) -> Vec<Rc<str>> {
        let mut regions: BTreeMap<Rc<str>, (usize, Time)> = BTreeMap::new();
        for (hall, (known, heard_at)) in halls {
            let (all, last) = regions.entry(self.region(hall)).or_default();
            *all += known;
            *last = (*last).max(*heard_at);
        }
        regions.remove(self.regions.own());
        let silent = regions
            .into_iter()
            .filter(|(region, (known, at))| self.is_silence(region, *known, now.since(*at)));
        silent.map(|(region, _)| region).collect()
    }

    /// True if every heartbeat reaches all daemons.
    pub fn is_full_mesh(&self) -> bool {
        self.peers.len() <= FAN_OUT
    }

    /// Where the daemons of a hall are, in the order in which they watch the store for the others;
    /// `node`, this daemon, is among them.
    pub fn watch_order(&self, now: Time, hall: &str, node: &str) -> Vec<SocketAddr> {
        self.group_order(now, hall, node, |other| other == hall)
    }

    /// The same for a group of halls with a name of its own.
    pub fn group_order(
        &self,
        now: Time,
        group: &str,
        node: &str,
        is_of_group: impl Fn(&str) -> bool,
    ) -> Vec<SocketAddr> {
        let up = self.up(now).filter(|(_, peer)| {
            let heartbeat = &peer.heartbeat;
            is_of_group(&heartbeat.hall) && !heartbeat.leaving && heartbeat.node != node
        });
        let mut names: Vec<&str> = up.map(|(name, _)| &**name).collect();
        names.push(node);
        let address = |name: &str| match name == node {
            true => Some(self.me),
            false => self.peers.get(name).map(|peer| peer.heartbeat.address),
        };
        self.by_capacity(group, names).into_iter().filter_map(address).collect()
    }

    /// The daemons that are up and stay: where each is and in which hall, the best suited first.
    pub fn not_leaving(&self, now: Time) -> Vec<(SocketAddr, &str)> {
        let up = self.up(now).map(|(_, peer)| &peer.heartbeat);
        let mut staying: Vec<&Heartbeat> = up.filter(|heartbeat| !heartbeat.leaving).collect();
        staying.sort_by_key(|heartbeat| std::cmp::Reverse(heartbeat.capacity));
        staying.into_iter().map(|heartbeat| (heartbeat.address, &*heartbeat.hall)).collect()
    }

    /// Daemons of a hall in the order in which they work for others of it: those of the best suited
    /// nodes first. With a small node's link of 20 Mbit/s a configuration of 1,700 routes took 3 s
    /// to reach 20 others.
    pub fn by_capacity<'a>(&self, hall: &str, names: Vec<&'a str>) -> Vec<&'a str> {
        let mut order = ranked(hall, names);
        let capacity = |name: &&str| match self.peers.get(*name) {
            Some(peer) => peer.heartbeat.capacity,
            None => self.my_capacity,
        };
        order.sort_by_key(|name| std::cmp::Reverse(capacity(name)));
        order
    }

    /// Where notices go: to all daemons of a small fleet; in larger ones to those that watch the
    /// store for their hall, which pass them on.
    pub fn notice_targets(&self, now: Time) -> Vec<SocketAddr> {
        if self.peers.len() <= NOTICE_ALL {
            return self.addresses(now);
        }
        let watching = self.up(now).filter(|(_, peer)| peer.heartbeat.watches);
        let mut halls: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (name, peer) in watching {
            halls.entry(&peer.heartbeat.hall).or_default().push(name);
        }
        let watchers = halls.into_iter().flat_map(|(hall, names)| {
            self.by_capacity(hall, names).into_iter().take(NOTICE_WATCHERS)
        });
        let peers = watchers.filter_map(|name| self.peers.get(name));
        peers.map(|peer| peer.heartbeat.address).collect()
    }

    /// A daemon that knows more of the store than this one, which is in `eras` at `revision`: the one that knows
    /// most.
    pub fn most_up_to_date(
        &self,
        now: Time,
        eras: &EraTracker,
        revision: u64,
    ) -> Option<SocketAddr> {
        let mine = StorePosition::new(eras.era(), revision);
        let known = self.up(now).filter_map(|(_, peer)| {
            let era = eras.resolve_peer_era(peer.heartbeat.store.era)?;
            Some((StorePosition::new(era, peer.heartbeat.revision), peer.heartbeat.address))
        });
        known.filter(|(position, _)| *position > mine).max().map(|(_, address)| address)
    }

    /// A daemon that believes items against the store's copy of an era.
    pub fn with_kept_items(&self, now: Time, era: StoreEra) -> Option<SocketAddr> {
        let mut keeping = self.up(now).filter(|(_, peer)| {
            let told = peer.heartbeat.store;
            told.era == era && told.kept > 0
        });
        keeping.next().map(|(_, peer)| peer.heartbeat.address)
    }

    /// All daemons that could order servers: up, seeing the store and not leaving.
    pub fn claimants(&self, now: Time) -> Vec<Rc<str>> {
        self.able_peers(now).map(|(name, _)| name.clone()).collect()
    }

    /// The same, those of a hall and those of all others.
    pub fn claimants_by_hall(&self, now: Time, hall: &str) -> (Vec<Rc<str>>, Vec<Rc<str>>) {
        let (near, far): (Vec<_>, Vec<_>) =
            self.able_peers(now).partition(|(_, peer)| peer.heartbeat.hall == hall);
        let names = |peers: Vec<(&Rc<str>, &Peer)>| {
            peers.into_iter().map(|(name, _)| name.clone()).collect()
        };
        (names(near), names(far))
    }

    fn able_peers(&self, now: Time) -> impl Iterator<Item = (&Rc<str>, &Peer)> {
        self.up(now).filter(|(_, peer)| peer.heartbeat.sees_store && !peer.heartbeat.leaving)
    }
}

/// Some of a list, from where the last turn ended.
fn some_in_turn(turn: &mut usize, mut all: Vec<SocketAddr>, most: usize) -> Vec<SocketAddr> {
    if all.len() > most {
        let start = *turn % all.len();
        all.rotate_left(start);
        all.truncate(most);
        *turn = turn.wrapping_add(most);
    }
    all
}

/// A machine by its daemon's name and address; stays the same over restarts.
pub fn machine_name(heartbeat: &Heartbeat) -> String {
    format!("{}|{}", heartbeat.node, heartbeat.address)
}
