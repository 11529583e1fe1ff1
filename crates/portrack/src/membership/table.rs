//! State machine of the membership.

use super::{Health, Member, Peer, Scope, Timing, highest, ranked};
use crate::types::{HallName, Instance, NodeName, Time};
use crate::wire::{Heartbeat, MemberState};
use std::collections::BTreeMap;

/// Maximum number of daemons of a hall that hold leases. With 12 halls that makes 96 leases, each
/// renewed every 10 s.
const LEASE_HOLDERS: usize = 8;
/// Number of daemons of a hall that watch the key-value service.
const WATCHERS: usize = 2;

/// All members known to this daemon, except itself.
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
    /// Creates a membership without other members.
    pub fn new(me: Peer, timing: Timing, now: Time) -> Self {
        let members = BTreeMap::new();
        Self { me, timing, leaving: false, members, version: 0, next_hall: now, next_remote: now }
    }

    /// This node's own entry.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// Adds peers from the settings or the node list. Known members keep their state.
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
                    self.members.insert(peer.node.clone(), new_member(peer, scope, now));
                }
            }
        }
    }

    /// Applies the platform's node list and removes dead members that it does not contain. A list
    /// without this node is considered incomplete and removes none.
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

    /// Handles a heartbeat. Returns false if the node is unknown or the incarnation outdated.
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

    /// Updates the health of all members and returns the nodes to which heartbeats are due.
    pub fn tick(&mut self, now: Time) -> Vec<NodeName> {
        self.update_health(now);
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

    fn update_health(&mut self, now: Time) {
        let updates: Vec<(NodeName, Health)> = self
            .members
            .values()
            .map(|member| (member.peer.node.clone(), self.next_health(now, member)))
            .collect();
        for (node, health) in updates {
            let Some(member) = self.members.get_mut(&node) else { continue };
            let was_eligible = member.is_eligible();
            member.health = health;
            if member.is_eligible() != was_eligible {
                self.version += 1;
            }
        }
    }

    fn next_health(&self, now: Time, member: &Member) -> Health {
        if matches!(member.health, Health::Unheard | Health::Dead) {
            return member.health;
        }
        let silence = now.since(member.heard_at);
        let interval = self.timing.interval(member.scope);
        if silence < interval * self.timing.suspect_after {
            return Health::Alive;
        }
        if silence < interval * self.timing.dead_after {
            return Health::Suspect;
        }
        let long_silent = silence >= interval * self.timing.dead_unconfirmed_after;
        match long_silent || self.is_missed_by_others(member) {
            true => Health::Dead,
            false => Health::Suspect,
        }
    }

    /// True unless most of the reachable members of the hall still receive its heartbeats. Always
    /// true for a member of another hall.
    fn is_missed_by_others(&self, member: &Member) -> bool {
        if member.scope != Scope::Hall {
            return true;
        }
        let node = &member.peer.node;
        let observers = self.members.values().filter(|other| {
            other.scope == Scope::Hall && other.is_reachable() && other.peer.node != *node
        });
        let (mut missing, mut all) = (0, 0);
        for observer in observers {
            all += 1;
            missing += usize::from(observer.suspects.contains(node));
        }
        missing * 2 >= all
    }

    fn in_scope(&self, scope: Scope) -> impl Iterator<Item = NodeName> + '_ {
        let members = self.members.values().filter(move |m| m.scope == scope);
        members.map(|m| m.peer.node.clone())
    }

    /// A fixed selection of a few members from each hall of the other regions.
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

    /// Marks this node as leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.version += 1;
    }

    /// Increases whenever the set of nodes that can be given work changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The state that this node reports.
    pub fn state(&self) -> MemberState {
        match self.leaving {
            true => MemberState::Leaving,
            false => MemberState::Alive,
        }
    }

    /// Nodes of this hall that this node considers suspect or dead.
    pub fn suspects(&self) -> Vec<NodeName> {
        let suspected = |m: &&Member| matches!(m.health, Health::Suspect | Health::Dead);
        let hall = self.members.values().filter(|m| m.scope == Scope::Hall);
        hall.filter(suspected).map(|m| m.peer.node.clone()).collect()
    }

    /// A member by its node.
    pub fn get(&self, node: &NodeName) -> Option<&Member> {
        self.members.get(node)
    }

    /// All members, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Nodes within a scope, including this one, that can be given work.
    pub fn eligible(&self, scope: Scope) -> impl Iterator<Item = &NodeName> {
        let others = self.members.values().filter(move |m| m.scope <= scope && m.is_eligible());
        let me = (!self.leaving).then_some(&self.me.node);
        others.map(|m| &m.peer.node).chain(me)
    }

    /// Every known hall of the region with the nodes that can be given work. This hall is listed
    /// without nodes if this node does not reach a majority of it.
    pub fn by_hall(&self) -> BTreeMap<HallName, Vec<NodeName>> {
        let mut halls: BTreeMap<HallName, Vec<NodeName>> = BTreeMap::new();
        let own = halls.entry(self.me.hall.clone()).or_default();
        if !self.leaving {
            own.push(self.me.node.clone());
        }
        let majority = self.reaches_majority();
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

    /// True if this node reaches more than half of the hall's nodes, or exactly half including the
    /// tie breaker. At most one side of a network partition in the hall can have the majority.
    /// Leaving nodes keep no state and are not counted.
    fn reaches_majority(&self) -> bool {
        let hall = self.members.values().filter(|m| m.scope == Scope::Hall);
        let staying: Vec<&Member> = hall.filter(|m| m.state == MemberState::Alive).collect();
        let reached = 1 + staying.iter().filter(|m| m.is_reachable()).count();
        let known = 1 + staying.len();
        if reached * 2 != known {
            return reached * 2 > known;
        }
        let all = staying.iter().map(|m| &m.peer.node).chain([&self.me.node]);
        let tie_breaker = highest("hall-tie", all);
        let unreached = staying.iter().filter(|m| !m.is_reachable());
        !unreached.map(|m| &m.peer.node).any(|node| Some(node) == tie_breaker)
    }

    /// The node of this hall that owns a key.
    pub fn owner_of(&self, key: &str) -> Option<&NodeName> {
        self.owner_in(&self.me.hall, key)
    }

    /// Nodes of a hall of the region, including this one, that can be given work.
    fn eligible_in(&self, hall: &HallName) -> Vec<&NodeName> {
        let region = self.members.values().filter(|m| m.scope <= Scope::Region);
        let there = region.filter(|m| m.peer.hall == *hall && m.is_eligible());
        let me = (!self.leaving && self.me.hall == *hall).then_some(&self.me.node);
        there.map(|m| &m.peer.node).chain(me).collect()
    }

    /// The node of the given hall of the region that owns a key.
    pub fn owner_in(&self, hall: &HallName, key: &str) -> Option<&NodeName> {
        highest(key, self.eligible_in(hall))
    }

    /// The owner of an engine that needs a lease. Only a few daemons of each hall are eligible, to
    /// limit the number of leases to renew.
    pub fn lease_owner_in(&self, hall: &HallName, key: &str) -> Option<&NodeName> {
        let ranked = ranked("lease-holder", self.eligible_in(hall));
        highest(key, ranked.into_iter().take(LEASE_HOLDERS))
    }

    /// The nodes of the region that can plan loads, in order of preference.
    pub fn planners(&self) -> Vec<NodeName> {
        let ranked = ranked("load-planner", self.eligible(Scope::Region));
        ranked.into_iter().cloned().collect()
    }

    /// The daemons of this hall that watch the key-value service.
    pub fn watchers(&self) -> Vec<NodeName> {
        let ranked = ranked("settings-watcher", self.eligible(Scope::Hall));
        ranked.into_iter().take(WATCHERS).cloned().collect()
    }

    /// True if this daemon is one of the watchers.
    pub fn is_watcher(&self) -> bool {
        self.watchers().contains(&self.me.node)
    }
}

fn new_member(peer: Peer, scope: Scope, now: Time) -> Member {
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
