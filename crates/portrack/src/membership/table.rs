//! The state machine of the membership.

use super::{Health, Member, Peer, Scope, Timing, highest, ranked};
use crate::types::{HallName, Instance, NodeName, Time};
use crate::wire::{Heartbeat, MemberState};
use std::collections::BTreeMap;

/// Daemons of a hall that may hold leases: 96 in 12 halls, each renewed every 10 s.
const LEASE_HOLDERS: usize = 8;
/// Daemons of a hall that watch the key-value service.
const WATCHERS: usize = 2;

/// All members that this daemon knows, itself not among them.
#[derive(Debug, Clone)]
pub struct Membership {
    me: Peer,
    timing: Timing,
    leaving: bool,
    members: BTreeMap<NodeName, Member>,
    version: u64,
    next_hall: Time,
    next_remote: Time,
}

impl Membership {
    /// A membership that knows only itself.
    pub fn new(me: Peer, timing: Timing, now: Time) -> Self {
        let members = BTreeMap::new();
        Self { me, timing, leaving: false, members, version: 0, next_hall: now, next_remote: now }
    }

    /// This node's own place.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// Adds peers that settings or the node list name. Known ones keep their state.
    pub fn seed(&mut self, now: Time, peers: impl IntoIterator<Item = Peer>) {
        for peer in peers {
            if peer.node == self.me.node {
                continue;
            }
            let scope = self.scope_of(&peer);
            match self.members.get_mut(&peer.node) {
                Some(member) => {
                    self.version += u64::from(member.scope != scope);
                    member.scope = scope;
                    member.peer = peer;
                }
                None => {
                    self.members.insert(peer.node.clone(), fresh(peer, scope, now));
                }
            }
        }
    }

    /// Takes the platform's list in. A list that does not name this node is no list of daemons.
    pub fn listed(&mut self, now: Time, peers: Vec<Peer>) {
        let names: Vec<NodeName> = peers.iter().map(|peer| peer.node.clone()).collect();
        self.seed(now, peers);
        if !names.contains(&self.me.node) {
            return;
        }
        let before = self.members.len();
        self.members.retain(|node, member| {
            let silent = matches!(member.health, Health::Dead | Health::Unheard);
            names.contains(node) || !silent
        });
        self.version += u64::from(self.members.len() != before);
    }

    fn scope_of(&self, peer: &Peer) -> Scope {
        if peer.hall == self.me.hall {
            Scope::Hall
        } else if peer.region == self.me.region {
            Scope::Region
        } else {
            Scope::Far
        }
    }

    /// Takes a heartbeat in. Returns false if it is of an unknown node or an older incarnation.
    pub fn heard(&mut self, now: Time, from: &Instance, heartbeat: &Heartbeat) -> bool {
        let Some(member) = self.members.get_mut(&from.node) else {
            return false;
        };
        if from.incarnation < member.incarnation {
            return false;
        }
        let was_eligible = member.is_eligible();
        member.incarnation = from.incarnation;
        member.health = Health::Alive;
        member.state = heartbeat.state;
        member.heard_at = now;
        member.settings = heartbeat.settings;
        member.platform = heartbeat.platform;
        member.suspects.clone_from(&heartbeat.suspects);
        if member.is_eligible() != was_eligible {
            self.version += 1;
        }
        true
    }

    /// Judges silence, and returns whom to send heartbeats to now.
    pub fn tick(&mut self, now: Time) -> Vec<NodeName> {
        self.judge(now);
        let mut due = Vec::new();
        if now >= self.next_hall {
            self.next_hall = now + self.timing.hall_every;
            due.extend(self.in_scope(Scope::Hall));
        }
        if now >= self.next_remote {
            self.next_remote = now + self.timing.remote_every;
            due.extend(self.in_scope(Scope::Region));
            due.extend(self.far_peers());
        }
        due
    }

    fn judge(&mut self, now: Time) {
        let verdicts: Vec<(NodeName, Health)> = self
            .members
            .values()
            .map(|member| (member.peer.node.clone(), self.verdict(now, member)))
            .collect();
        for (node, health) in verdicts {
            let Some(member) = self.members.get_mut(&node) else { continue };
            let was_eligible = member.is_eligible();
            member.health = health;
            if member.is_eligible() != was_eligible {
                self.version += 1;
            }
        }
    }

    fn verdict(&self, now: Time, member: &Member) -> Health {
        if matches!(member.health, Health::Unheard | Health::Dead) {
            return member.health;
        }
        let silence = now.since(member.heard_at);
        let pace = self.timing.pace(member.scope);
        if silence < pace * self.timing.suspect_after {
            return Health::Alive;
        }
        if silence < pace * self.timing.dead_after {
            return Health::Suspect;
        }
        let alone = silence >= pace * self.timing.alone_after;
        match alone || self.others_agree(member) {
            true => Health::Dead,
            false => Health::Suspect,
        }
    }

    /// True unless most of the live members of the hall still hear the member.
    fn others_agree(&self, member: &Member) -> bool {
        if member.scope != Scope::Hall {
            return true;
        }
        let node = &member.peer.node;
        let witnesses = self.members.values().filter(|other| {
            other.scope == Scope::Hall && other.is_reachable() && other.peer.node != *node
        });
        let (mut missing, mut all) = (0, 0);
        for witness in witnesses {
            all += 1;
            missing += usize::from(witness.suspects.contains(node));
        }
        missing * 2 >= all
    }

    fn in_scope(&self, scope: Scope) -> impl Iterator<Item = NodeName> + '_ {
        let members = self.members.values().filter(move |m| m.scope == scope);
        members.map(|m| m.peer.node.clone())
    }

    /// A few members of each hall of the other regions, the same ones every time.
    fn far_peers(&self) -> Vec<NodeName> {
        let mut halls: BTreeMap<&HallName, Vec<&NodeName>> = BTreeMap::new();
        for member in self.members.values().filter(|m| m.scope == Scope::Far) {
            halls.entry(&member.peer.hall).or_default().push(&member.peer.node);
        }
        let mut chosen = Vec::new();
        for nodes in halls.into_values() {
            let ranked = ranked(self.me.node.as_str(), nodes);
            chosen.extend(ranked.into_iter().take(self.timing.far_peers).cloned());
        }
        chosen
    }

    /// Says that this node is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.version += 1;
    }

    /// Changes whenever another set of nodes can be given work.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What this node says of itself.
    pub fn state(&self) -> MemberState {
        match self.leaving {
            true => MemberState::Leaving,
            false => MemberState::Alive,
        }
    }

    /// Nodes of the own hall that are suspected here.
    pub fn suspects(&self) -> Vec<NodeName> {
        let silent = |m: &&Member| matches!(m.health, Health::Suspect | Health::Dead);
        let hall = self.members.values().filter(|m| m.scope == Scope::Hall);
        hall.filter(silent).map(|m| m.peer.node.clone()).collect()
    }

    /// A member by its node.
    pub fn get(&self, node: &NodeName) -> Option<&Member> {
        self.members.get(node)
    }

    /// All members, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Nodes within a scope, this one included, that can be given work.
    pub fn eligible(&self, scope: Scope) -> impl Iterator<Item = &NodeName> {
        let others = self.members.values().filter(move |m| m.scope <= scope && m.is_eligible());
        let me = (!self.leaving).then_some(&self.me.node);
        others.map(|m| &m.peer.node).chain(me)
    }

    /// Every hall of the region that is known, with the nodes that can be given work.
    pub fn by_hall(&self) -> BTreeMap<HallName, Vec<NodeName>> {
        let mut halls: BTreeMap<HallName, Vec<NodeName>> = BTreeMap::new();
        let own = halls.entry(self.me.hall.clone()).or_default();
        if !self.leaving {
            own.push(self.me.node.clone());
        }
        let majority = self.hears_majority();
        for member in self.members.values().filter(|m| m.scope <= Scope::Region) {
            let nodes = halls.entry(member.peer.hall.clone()).or_default();
            if member.is_eligible() {
                nodes.push(member.peer.node.clone());
            }
        }
        if !majority {
            halls.insert(self.me.hall.clone(), Vec::new());
        }
        for nodes in halls.values_mut() {
            nodes.sort();
        }
        halls
    }

    /// True if this node hears more than half of the hall's nodes, or half of them with the one
    /// that decides ties. Two parts of a hall that do not hear each other cannot both say so.
    /// Nodes that announced their leaving keep nothing and do not count.
    fn hears_majority(&self) -> bool {
        let hall = self.members.values().filter(|m| m.scope == Scope::Hall);
        let staying: Vec<&Member> = hall.filter(|m| m.state == MemberState::Alive).collect();
        let heard = 1 + staying.iter().filter(|m| m.is_reachable()).count();
        let known = 1 + staying.len();
        if heard * 2 != known {
            return heard * 2 > known;
        }
        let all = staying.iter().map(|m| &m.peer.node).chain([&self.me.node]);
        let decides = highest("hall-tie", all);
        let unheard = staying.iter().filter(|m| !m.is_reachable());
        !unheard.map(|m| &m.peer.node).any(|node| Some(node) == decides)
    }

    /// The owner of something in this hall.
    pub fn owner_of(&self, key: &str) -> Option<&NodeName> {
        self.owner_in(&self.me.hall, key)
    }

    /// Nodes of a hall of the region, this one included, that can be given work.
    fn eligible_in(&self, hall: &HallName) -> Vec<&NodeName> {
        let region = self.members.values().filter(|m| m.scope <= Scope::Region);
        let there = region.filter(|m| m.peer.hall == *hall && m.is_eligible());
        let me = (!self.leaving && self.me.hall == *hall).then_some(&self.me.node);
        there.map(|m| &m.peer.node).chain(me).collect()
    }

    /// The owner of something in any hall of the region.
    pub fn owner_in(&self, hall: &HallName, key: &str) -> Option<&NodeName> {
        highest(key, self.eligible_in(hall))
    }

    /// The owner of an engine that needs a lease: one of a few daemons of its hall, so that few
    /// leases have to be renewed.
    pub fn lease_owner_in(&self, hall: &HallName, key: &str) -> Option<&NodeName> {
        let ranked = ranked("lease-holder", self.eligible_in(hall));
        highest(key, ranked.into_iter().take(LEASE_HOLDERS))
    }

    /// The nodes of the region that may plan loads, the first choice first.
    pub fn planners(&self) -> Vec<NodeName> {
        let ranked = ranked("load-planner", self.eligible(Scope::Region));
        ranked.into_iter().cloned().collect()
    }

    /// The two daemons of this hall that watch the key-value service.
    pub fn watchers(&self) -> Vec<NodeName> {
        let ranked = ranked("settings-watcher", self.eligible(Scope::Hall));
        ranked.into_iter().take(WATCHERS).cloned().collect()
    }

    /// True if this daemon is one of the watchers.
    pub fn is_watcher(&self) -> bool {
        self.watchers().contains(&self.me.node)
    }
}

fn fresh(peer: Peer, scope: Scope, now: Time) -> Member {
    Member {
        peer,
        scope,
        incarnation: 0,
        health: Health::Unheard,
        state: MemberState::Alive,
        heard_at: now,
        settings: Default::default(),
        platform: false,
        suspects: Vec::new(),
    }
}
