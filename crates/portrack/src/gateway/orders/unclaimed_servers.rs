//! Which servers nobody orders, and whose turn it is to claim them. A state machine without I/O.

use super::claim_records::{ClaimRecords, SeenRecord};
use super::claims::Predecessor;
use crate::membership::ranked;
use crate::types::Time;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A server without a record is claimed after this.
const FIRST_CLAIM: Duration = Duration::from_millis(150);
/// A server that another machine's record names is left to it for this long: it may come back.
const COMES_BACK: Duration = Duration::from_millis(3_500);
/// Each daemon that comes before this one in the server's order is given so long.
const RANK_STEP: Duration = Duration::from_millis(1_200);
/// Between two tries at one server.
const TRY_AGAIN: Duration = Duration::from_millis(700);

#[derive(Debug, Clone, Default)]
struct Vacancy {
    since: Time,
    tried_at: Option<Time>,
}

/// A try at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimAttempt {
    /// The server.
    pub server: Rc<str>,
    /// Its record must be at this revision, 0 if it must not be there.
    pub revision: u64,
    /// The machine whose lease must be gone.
    pub gone: Option<String>,
    /// Who ordered the server before.
    pub before: Predecessor,
}

/// Who could claim a server, this daemon included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Candidates {
    /// In the server's data hall, the preferred first; they come before all others, since a cut
    /// hall must go on by itself.
    pub near: Vec<Rc<str>>,
    /// In other halls.
    pub far: Vec<Rc<str>>,
    /// So many of `near` share the hall's servers evenly; the others only stand in for them.
    pub holders: usize,
}

impl Candidates {
    /// The place of a daemon in the order of a server, from 0.
    fn rank(&self, server: &str, daemon: &str) -> Option<usize> {
        let (holders, others) = self.near.split_at(self.holders.min(self.near.len()));
        let holders = ranked(server, holders.iter().map(|name| &**name));
        let others = others.iter().map(|name| &**name);
        let far = ranked(server, self.far.iter().map(|name| &**name));
        holders.into_iter().chain(others).chain(far).position(|name| name == daemon)
    }
}

/// This daemon, as a claimant.
#[derive(Debug, Clone, Copy)]
pub struct Claimant<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its machine, as claims name it.
    pub machine: &'a str,
    /// Servers that it orders already.
    pub held: usize,
    /// Its even share of all servers.
    pub share: usize,
    /// Servers that nobody ordered yet are left alone until then: a daemon that has just started
    /// does not know who else is there.
    pub knows_fleet_from: Time,
}

/// The servers that nobody is known to order.
#[derive(Debug, Clone, Default)]
pub struct UnclaimedServers {
    servers: BTreeMap<Rc<str>, Vacancy>,
}

impl UnclaimedServers {
    /// Updates which servers are vacant now.
    pub fn update(&mut self, now: Time, vacant: &[Rc<str>]) {
        self.servers.retain(|id, _| vacant.contains(id));
        for id in vacant {
            let fresh = Vacancy { since: now, tried_at: None };
            self.servers.entry(id.clone()).or_insert(fresh);
        }
    }

    /// The tries that are due. `candidates` could claim each server; `is_heard` tells whether a
    /// machine was heard lately. A daemon that has its share already leaves others a turn.
    pub fn due(
        &mut self,
        now: Time,
        me: Claimant<'_>,
        records: &ClaimRecords,
        candidates: impl Fn(&str) -> Candidates,
        is_heard: impl Fn(&str) -> bool,
    ) -> Vec<ClaimAttempt> {
        let mut tries = Vec::new();
        for (server, vacancy) in &mut self.servers {
            if vacancy.tried_at.is_some_and(|at| now.since(at) < TRY_AGAIN) {
                continue;
            }
            let Some(rank) = candidates(server).rank(server, me.name) else { continue };
            let excess = (me.held + tries.len() + 1).saturating_sub(me.share);
            let seen = records.record(server);
            if now < vacancy.claimed_from(me, seen, rank + excess) {
                continue;
            }
            if let Some(attempt) = attempt(server, seen, me.machine, &is_heard) {
                vacancy.tried_at = Some(now);
                tries.push(attempt);
            }
        }
        tries
    }
}

impl Vacancy {
    /// From when on a machine claims the server, which it leaves to others that come before it by
    /// `turns`. Its own server it takes back at once.
    fn claimed_from(&self, me: Claimant<'_>, seen: Option<&SeenRecord>, turns: usize) -> Time {
        let turns = RANK_STEP * u32::try_from(turns).unwrap_or(u32::MAX);
        match seen {
            Some(seen) if seen.record.machine == me.machine => self.since + FIRST_CLAIM,
            Some(_) => self.since + (COMES_BACK + turns),
            None => self.since.max(me.knows_fleet_from) + (FIRST_CLAIM + turns),
        }
    }
}

fn attempt(
    server: &Rc<str>,
    seen: Option<&SeenRecord>,
    machine: &str,
    is_heard: impl Fn(&str) -> bool,
) -> Option<ClaimAttempt> {
    let server = server.clone();
    let before = Predecessor::of(seen.map(|seen| &seen.record), machine);
    let Some(SeenRecord { revision, record }) = seen else {
        return Some(ClaimAttempt { server, revision: 0, gone: None, before });
    };
    let revision = *revision;
    if record.machine == machine || record.resigned {
        return Some(ClaimAttempt { server, revision, gone: None, before });
    }
    if is_heard(&record.machine) {
        return None;
    }
    let gone = Some(record.machine.clone());
    Some(ClaimAttempt { server, revision, gone, before })
}
