//! Which servers nobody orders, and whose turn it is to claim them. A state machine without I/O.

use super::claim_record::ClaimRecord;
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

/// A record as it was last seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenRecord {
    /// The revision of its last change.
    pub revision: u64,
    /// What it says.
    pub record: ClaimRecord,
}

#[derive(Debug, Clone, Default)]
struct Vacancy {
    since: Time,
    tried_at: Option<Time>,
    seen: Option<SeenRecord>,
}

/// A try at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimTry {
    /// The server.
    pub server: Rc<str>,
    /// Its record must be at this revision, 0 if it must not be there.
    pub revision: u64,
    /// The machine whose lease must be gone.
    pub gone: Option<String>,
    /// Who ordered the server before.
    pub before: Predecessor,
}

/// The servers that nobody is known to order.
#[derive(Debug, Clone, Default)]
pub struct Vacancies {
    servers: BTreeMap<Rc<str>, Vacancy>,
}

impl Vacancies {
    /// Takes in which servers are vacant now.
    pub fn update(&mut self, now: Time, vacant: &[Rc<str>]) {
        self.servers.retain(|id, _| vacant.contains(id));
        for id in vacant {
            self.servers.entry(id.clone()).or_insert(Vacancy { since: now, ..Vacancy::default() });
        }
    }

    /// A try found this record.
    pub fn saw(&mut self, server: &str, seen: Option<SeenRecord>) {
        if let Some(vacancy) = self.servers.get_mut(server) {
            vacancy.seen = seen;
        }
    }

    /// The tries that are due. `able` are the daemons that could claim, this one included, for
    /// each server; `is_heard` tells whether a machine was heard lately.
    pub fn due(
        &mut self,
        now: Time,
        me: &str,
        machine: &str,
        able: impl Fn(&str) -> Vec<Rc<str>>,
        is_heard: impl Fn(&str) -> bool,
    ) -> Vec<ClaimTry> {
        let mut tries = Vec::new();
        for (server, vacancy) in &mut self.servers {
            let resting = vacancy.tried_at.is_some_and(|at| now.since(at) < TRY_AGAIN);
            let names = able(server);
            let order = ranked(server, names.iter().map(|name| &**name));
            let Some(rank) = order.iter().position(|name| *name == me) else { continue };
            let seen = vacancy.seen.as_ref();
            let own = seen.is_some_and(|seen| seen.record.machine == machine);
            let patience = match (seen, own) {
                (None, _) | (_, true) => FIRST_CLAIM,
                (Some(_), false) => COMES_BACK,
            };
            let rank = if own { 0 } else { rank as u32 };
            let due = now.since(vacancy.since) >= patience + RANK_STEP * rank;
            if resting || !due {
                continue;
            }
            if let Some(attempt) = attempt(server, seen, machine, &is_heard) {
                vacancy.tried_at = Some(now);
                tries.push(attempt);
            }
        }
        tries
    }
}

fn attempt(
    server: &Rc<str>,
    seen: Option<&SeenRecord>,
    machine: &str,
    is_heard: impl Fn(&str) -> bool,
) -> Option<ClaimTry> {
    let server = server.clone();
    let Some(SeenRecord { revision, record }) = seen else {
        return Some(ClaimTry { server, revision: 0, gone: None, before: Predecessor::None });
    };
    let revision = *revision;
    if record.machine == machine {
        let before = if record.settled { Predecessor::None } else { Predecessor::Lapsed };
        return Some(ClaimTry { server, revision, gone: None, before });
    }
    if record.resigned {
        return Some(ClaimTry { server, revision, gone: None, before: Predecessor::Resigned });
    }
    if is_heard(&record.machine) {
        return None;
    }
    let gone = Some(record.machine.clone());
    Some(ClaimTry { server, revision, gone, before: Predecessor::Lapsed })
}
