//! Gives out the slots of a service's servers, one request after the other.
//!
//! Answers for services with few slots and many daemons: with 72 daemons before 18 slots, each of which
//! knew the load of the servers up to 1.8 s late, all sent to the server they took for the idlest, up to
//! 24 requests queued there for 240 ms, and servers turned away 45% of what they got.

use crate::gateway::admission::OrganisationHash;
use crate::gateway::arrivals::{CallId, RetryScheduler, choose_evicted};
use crate::gateway::backpressure::bucket::{LimitRule, RateBucket};
use crate::gateway::selection::decay::DecayingSum;
use crate::types::Time;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Requests that a server gets beyond its slots, as a share of these, so that it has the next one at
/// hand when one ends: a node with an eighth of a core tells of an end, and sends the next request, some
/// ten milliseconds late. Trials on two days of 72 nodes before 18 slots, worth with 0, 0.2, 0.5, 1.0 and
/// 1.6: 0.412, 0.469, 0.489, 0.494, 0.497 and 0.550, 0.594, 0.596, 0.607, 0.620.
const AHEAD_SHARE: f64 = 1.6;
/// A slot whose request's end is never told is free again after this.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(3_000);
/// How long a request runs, before any has.
const FIRST_RUN: Duration = Duration::from_millis(50);
/// Share of one run in the average.
const RUN_WEIGHT: f64 = 0.05;
/// Share of one end in a server's failure rate, and the time in which that fades to half.
const END_WEIGHT: f64 = 0.2;
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_500);
/// A server that was found unreachable gets nothing for so long.
const UNREACHABLE_FOR: Duration = Duration::from_millis(700);
/// A request takes up to this many times the average from its turn to its end, for telling whether it
/// can be in time.
const LONG_RUN: f64 = 2.3;
/// A request may wait for so many times the average run at least, also where it cannot be in time: where
/// objectives are as short as a run, whatever had to wait was refused, and routes with such objectives
/// were served a sixth as often as others on a busy day.
const LEAST_WAIT_RUNS: f64 = 2.0;

/// Where all servers name limits, at least so many slots are reckoned with: none is no divisor.
const LEAST_LIMITED_SLOTS: f64 = 0.001;

/// What a request needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The asking daemon's count.
    pub ask: u32,
    /// The service, by its mark.
    pub service: u32,
    /// Whose request it is, if callers show keys.
    pub organisation: Option<OrganisationHash>,
    /// Within this it should be answered, in milliseconds.
    pub left_ms: u32,
    /// Servers that have failed it, by their marks.
    pub tried: Vec<u32>,
}

/// What becomes of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotAnswer {
    /// It may be sent to this server, by its mark.
    Granted(u32),
    /// It has to wait for its turn; another answer follows.
    Waits,
    /// It cannot be in time; when to come back, in milliseconds.
    Refused(u32),
}

/// An answer with the request it is for.
pub type SlotReply = (CallId, SlotAnswer);

/// How a request at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotEnd {
    /// With an answer.
    Answered,
    /// With a failure, or without an answer.
    Failed,
    /// The server could not be reached.
    Unreachable,
    /// It was not sent, since the server had no room within its limit. Only told to dispatchers that know this end.
    Unsent,
}

/// A server that takes work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerSlots {
    /// Its mark.
    pub server: u32,
    /// Requests that it works on at once.
    pub slots: usize,
    /// The limit that it names, if it does.
    pub limit: Option<LimitRule>,
}

#[derive(Debug, Clone, Default)]
struct Health {
    failure_rate: DecayingSum,
    unreachable_until: Time,
}

#[derive(Debug, Clone, Copy)]
struct Taken {
    server: u32,
    since: Time,
}

#[derive(Debug, Clone)]
struct Waiting {
    id: CallId,
    ask: SlotRequest,
    /// After that it cannot be in time.
    until: Time,
}

/// The slots of one service.
#[derive(Debug)]
pub struct Dispatcher {
    servers: Vec<ServerSlots>,
    health: HashMap<u32, Health>,
    /// What servers that name limits may get. It steers; each send there is granted besides, with those of others.
    limits: HashMap<u32, RateBucket>,
    taken: HashMap<CallId, Taken>,
    waiting: Vec<Waiting>,
    /// How long requests run, on average, in milliseconds.
    run_ms: f64,
    /// When refused callers come back.
    promises: RetryScheduler,
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self {
            servers: Vec::new(),
            health: HashMap::new(),
            limits: HashMap::new(),
            taken: HashMap::new(),
            waiting: Vec::new(),
            run_ms: FIRST_RUN.as_millis() as f64,
            promises: RetryScheduler::default(),
        }
    }
}

impl Dispatcher {
    /// Takes in which servers take work now.
    pub fn set_servers(&mut self, now: Time, servers: Vec<ServerSlots>) {
        self.health.retain(|mark, _| servers.iter().any(|server| server.server == *mark));
        self.limits.retain(|mark, _| servers.iter().any(|server| server.server == *mark));
        for server in &servers {
            let bucket = self.limits.entry(server.server).or_default();
            bucket.set(now, server.limit);
        }
        self.servers = servers;
    }

    fn failure_rate(&self, now: Time, server: u32) -> f64 {
        let health = self.health.get(&server);
        health.map_or(0.0, |health| health.failure_rate.get(now, FAILURE_HALF_LIFE))
    }

    fn is_unreachable(&self, now: Time, server: u32) -> bool {
        self.health.get(&server).is_some_and(|health| now < health.unreachable_until)
    }

    fn taken_at(&self, server: u32) -> usize {
        self.taken.values().filter(|taken| taken.server == server).count()
    }

    /// The requests that a server may have: fewer where it fails some, one at least.
    fn room(&self, now: Time, server: &ServerSlots) -> usize {
        let sound = 1.0 - self.failure_rate(now, server.server);
        let all = server.slots as f64 * (1.0 + AHEAD_SHARE);
        ((all * sound).floor() as usize).max(1)
    }

    /// The server with most room that has not failed the request yet.
    fn free_server(&self, now: Time, tried: &[u32]) -> Option<u32> {
        let open = self.servers.iter().filter(|server| {
            !tried.contains(&server.server)
                && !self.is_unreachable(now, server.server)
                && self.limits.get(&server.server).is_none_or(|bucket| bucket.has_room(now))
        });
        let filled = open.filter_map(|server| {
            let (taken, room) = (self.taken_at(server.server), self.room(now, server));
            (taken < room).then(|| (taken as f64 / room as f64, server.server))
        });
        filled.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, server)| server)
    }

    /// The slots that can be used.
    fn slots(&self, now: Time) -> f64 {
        let open = self.servers.iter().filter(|server| !self.is_unreachable(now, server.server));
        let usable = open.map(|server| {
            let sound = server.slots as f64 * (1.0 - self.failure_rate(now, server.server));
            sound.min(self.slots_within_limit(server))
        });
        let all_limited = self.servers.iter().all(|server| server.limit.is_some());
        let least = if all_limited { LEAST_LIMITED_SLOTS } else { 1.0 };
        usable.sum::<f64>().max(least)
    }

    /// The slots that are busy on the average if a server gets what it takes.
    fn slots_within_limit(&self, server: &ServerSlots) -> f64 {
        let run_s = self.run_ms / 1_000.0;
        server.limit.map_or(f64::INFINITY, |limit| limit.rate() * run_s)
    }

    /// A request goes to a server.
    fn give(&mut self, now: Time, id: CallId, server: u32) -> SlotReply {
        self.taken.insert(id, Taken { server, since: now });
        if let Some(bucket) = self.limits.get_mut(&server).filter(|bucket| bucket.is_set()) {
            bucket.take(now);
        }
        (id, SlotAnswer::Granted(server))
    }

    /// How long the last of `waiting` requests waits.
    fn wait_of(&self, now: Time, waiting: usize) -> Duration {
        Duration::from_secs_f64(waiting as f64 * self.run_ms / 1_000.0 / self.slots(now))
    }

    /// Decides on a request, or on another one that has to make way for it.
    pub fn ask(&mut self, now: Time, from: SocketAddr, ask: SlotRequest) -> Vec<SlotReply> {
        let id = CallId { from, call: ask.ask };
        if self.taken.contains_key(&id) || self.waiting.iter().any(|waiting| waiting.id == id) {
            return Vec::new();
        }
        if self.waiting.is_empty()
            && let Some(server) = self.free_server(now, &ask.tried)
        {
            return vec![self.give(now, id, server)];
        }
        let runs = |times: f64| Duration::from_secs_f64(self.run_ms * times / 1_000.0);
        let left = Duration::from_millis(ask.left_ms.into()).saturating_sub(runs(LONG_RUN));
        let left = left.max(runs(LEAST_WAIT_RUNS));
        let until = now + left;
        self.waiting.push(Waiting { id, ask, until });
        if self.wait_of(now, self.waiting.len()) <= left {
            return vec![(id, SlotAnswer::Waits)];
        }
        let refused = self.one_too_many();
        let refused = self.waiting.swap_remove(refused).id;
        let mut orders = vec![(refused, self.refusal(now))];
        if refused != id {
            orders.push((id, SlotAnswer::Waits));
        }
        orders
    }

    /// The place of the waiting request that has to go.
    fn one_too_many(&self) -> usize {
        let waiting = self.waiting.iter().map(|waiting| (waiting.ask.organisation, waiting.until));
        choose_evicted(&waiting.collect::<Vec<_>>())
    }

    fn refusal(&mut self, now: Time) -> SlotAnswer {
        let (free, apart) = (self.wait_of(now, self.waiting.len() + 1), self.wait_of(now, 1));
        SlotAnswer::Refused(self.promises.next(now, free, apart))
    }

    /// A request at a server has ended; tells which others have their turn.
    pub fn ended(&mut self, now: Time, id: CallId, end: SlotEnd) -> Vec<SlotReply> {
        self.waiting.retain(|waiting| waiting.id != id);
        if let Some(taken) = self.taken.remove(&id) {
            self.note(now, taken, end);
        }
        self.turns(now)
    }

    fn note(&mut self, now: Time, taken: Taken, end: SlotEnd) {
        if end == SlotEnd::Unsent {
            self.limits.entry(taken.server).or_default().refund();
            return;
        }
        let health = self.health.entry(taken.server).or_default();
        let rate = health.failure_rate.get(now, FAILURE_HALF_LIFE);
        let failed = if end == SlotEnd::Answered { 0.0 } else { 1.0 };
        health.failure_rate.set(now, rate + (failed - rate) * END_WEIGHT);
        match end {
            SlotEnd::Answered => {
                let run = now.since(taken.since).as_millis() as f64;
                self.run_ms += (run - self.run_ms) * RUN_WEIGHT;
            }
            SlotEnd::Unreachable => health.unreachable_until = now + UNREACHABLE_FOR,
            SlotEnd::Failed | SlotEnd::Unsent => {}
        }
    }

    /// Those whose turn it is, and those that cannot be in time any more.
    fn turns(&mut self, now: Time) -> Vec<SlotReply> {
        let mut orders = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|waiting| waiting.until);
        let (late, in_time): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|waiting| waiting.until < now);
        for next in in_time {
            match self.free_server(now, &next.ask.tried) {
                Some(server) => {
                    orders.push(self.give(now, next.id, server));
                }
                None => self.waiting.push(next),
            }
        }
        orders.extend(late.into_iter().map(|late| (late.id, self.refusal(now))));
        orders
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) -> Vec<SlotReply> {
        self.taken.retain(|_, taken| now.since(taken.since) < FORGOTTEN_AFTER);
        if self.waiting.is_empty() { Vec::new() } else { self.turns(now) }
    }
}
