//! Tracks servers without a holder and decides when this daemon should claim them. A state machine
//! without I/O.

use super::claim_records::{ClaimRecords, SeenRecord};
use super::claims::Predecessor;
use crate::membership::ranked;
use crate::types::Time;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A server without a record is claimed after this delay.
const FIRST_CLAIM_DELAY: Duration = Duration::from_millis(150);
/// A server whose record names another machine is left to it for this long, since the machine may
/// come back.
const RETURN_GRACE: Duration = Duration::from_millis(3_500);
/// Each daemon that ranks before this one for a server gets this much time.
const RANK_STEP: Duration = Duration::from_millis(1_200);
/// Delay between two attempts on the same server.
const RETRY_DELAY: Duration = Duration::from_millis(700);

#[derive(Debug, Clone, Default)]
struct UnclaimedServer {
    since: Time,
    tried_at: Option<Time>,
}

/// An attempt to claim a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimAttempt {
    /// The server.
    pub server: Rc<str>,
    /// The expected revision of its record, 0 if there must be none.
    pub revision: u64,
    /// The machine whose lease must have expired.
    pub expired_machine: Option<String>,
    /// Who ordered the server before.
    pub predecessor: Predecessor,
}

/// The daemons that could claim a server, this one included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Candidates {
    /// Daemons in the server's data hall, preferred ones first. They come before all others, since
    /// a hall that is cut off must continue on its own.
    pub near: Vec<Rc<str>>,
    /// Daemons in other halls.
    pub far: Vec<Rc<str>>,
    /// The first so many of `near` share the hall's servers evenly; the others only replace them.
    pub holders: usize,
}

impl Candidates {
    /// Returns a daemon's rank for a server, from 0.
    fn rank(&self, server: &str, daemon: &str) -> Option<usize> {
        let (holders, others) = self.near.split_at(self.holders.min(self.near.len()));
        let holders = ranked(server, holders.iter().map(|name| &**name));
        let others = others.iter().map(|name| &**name);
        let far = ranked(server, self.far.iter().map(|name| &**name));
        holders.into_iter().chain(others).chain(far).position(|name| name == daemon)
    }
}

/// This daemon as a claimant.
#[derive(Debug, Clone, Copy)]
pub struct Claimant<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its machine, as named in claims.
    pub machine: &'a str,
    /// Number of servers it holds.
    pub held: usize,
    /// Its even share of all servers.
    pub share: usize,
    /// Servers without a record are left alone until then: a daemon that has just started does not
    /// know the other daemons yet.
    pub claims_new_from: Time,
}

/// The servers without a known holder.
#[derive(Debug, Clone, Default)]
pub struct UnclaimedServers {
    servers: BTreeMap<Rc<str>, UnclaimedServer>,
}

impl UnclaimedServers {
    /// Updates the set of servers without a holder.
    pub fn update(&mut self, now: Time, unclaimed: &[Rc<str>]) {
        self.servers.retain(|id, _| unclaimed.contains(id));
        for id in unclaimed {
            let fresh = UnclaimedServer { since: now, tried_at: None };
            self.servers.entry(id.clone()).or_insert(fresh);
        }
    }

    /// Returns the attempts that are due. `candidates` returns who could claim a server; `is_heard`
    /// tells whether a machine was heard from recently. A daemon that already has its share lets
    /// others go first.
    pub fn due(
        &mut self,
        now: Time,
        me: Claimant<'_>,
        records: &ClaimRecords,
        candidates: impl Fn(&str) -> Candidates,
        is_heard: impl Fn(&str) -> bool,
    ) -> Vec<ClaimAttempt> {
        let mut attempts = Vec::new();
        for (server, entry) in &mut self.servers {
            if entry.tried_at.is_some_and(|at| now.since(at) < RETRY_DELAY) {
                continue;
            }
            let Some(rank) = candidates(server).rank(server, me.name) else { continue };
            let excess = (me.held + attempts.len() + 1).saturating_sub(me.share);
            let seen = records.record(server);
            if now < entry.may_claim_from(me, seen, rank + excess) {
                continue;
            }
            if let Some(attempt) = attempt(server, seen, me.machine, &is_heard) {
                entry.tried_at = Some(now);
                attempts.push(attempt);
            }
        }
        attempts
    }
}

impl UnclaimedServer {
    /// Returns the time from which a machine claims the server, after `turns` others that rank
    /// before it. A machine reclaims its own server without waiting for them.
    fn may_claim_from(&self, me: Claimant<'_>, seen: Option<&SeenRecord>, turns: usize) -> Time {
        let turns = RANK_STEP * u32::try_from(turns).unwrap_or(u32::MAX);
        match seen {
            Some(seen) if seen.record.machine == me.machine => self.since + FIRST_CLAIM_DELAY,
            Some(seen) if seen.record.yielded => self.since + (FIRST_CLAIM_DELAY + turns),
            Some(_) => self.since + (RETURN_GRACE + turns),
            None => self.since.max(me.claims_new_from) + (FIRST_CLAIM_DELAY + turns),
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
    let predecessor = Predecessor::of(seen.map(|seen| &seen.record), machine);
    let Some(SeenRecord { revision, record }) = seen else {
        return Some(ClaimAttempt { server, revision: 0, expired_machine: None, predecessor });
    };
    let revision = *revision;
    if record.machine == machine || record.resigned {
        return Some(ClaimAttempt { server, revision, expired_machine: None, predecessor });
    }
    if is_heard(&record.machine) {
        return None;
    }
    let expired_machine = Some(record.machine.clone());
    Some(ClaimAttempt { server, revision, expired_machine, predecessor })
}
