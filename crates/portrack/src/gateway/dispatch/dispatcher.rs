//! Assigns the slots of a service's servers to requests.
//!
//! A dispatcher serves services with few slots and many daemons. Without it, 72 daemons in front of 18
//! slots, each with load information up to 1.8 s old, all sent to the server that they considered
//! least loaded: up to 24 requests queued there for 240 ms, and servers rejected 45% of their requests.

use crate::gateway::admission::OrganisationHash;
use crate::gateway::arrivals::{CallId, RetryScheduler, choose_evicted};
use crate::gateway::backpressure::bucket::{LimitRule, RateBucket};
use crate::gateway::selection::decay::DecayingSum;
use crate::types::Time;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Requests that a server gets beyond its slots, as a share of the slots, so that the next request is
/// already there when one ends: a node with an eighth of a core reports the end, and sends the next
/// request, some ten milliseconds late. Scores in trials on two days with 72 nodes and 18 slots, for
/// shares of 0, 0.2, 0.5, 1.0 and 1.6: 0.412, 0.469, 0.489, 0.494, 0.497 and 0.550, 0.594, 0.596,
/// 0.607, 0.620.
const QUEUE_AHEAD_SHARE: f64 = 1.6;
/// Time after which a slot is freed if the end of its request is not reported.
const SLOT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Initial estimate of a request's run time.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(50);
/// Weight of one run in the average run time.
const RUN_WEIGHT: f64 = 0.05;
/// Weight of one outcome in a server's failure rate, and the half-life of the rate.
const OUTCOME_WEIGHT: f64 = 0.2;
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_500);
/// How long an unreachable server gets no requests.
const UNREACHABLE_FOR: Duration = Duration::from_millis(700);
/// Multiple of the average run time that a granted request may take; used to predict whether a waiting
/// request can be answered in time.
const RUN_TIME_MARGIN: f64 = 2.3;
/// Minimum time that a request may wait, in average run times, even if it cannot be answered in time.
/// Without it, every request that had to wait was refused if its objective was as short as a run, and
/// routes with such objectives were served a sixth as often as others on a busy day.
const MIN_WAIT_RUNS: f64 = 2.0;

/// Minimum number of slots if all servers announce limits; prevents a division by zero.
const MIN_LIMITED_SLOTS: f64 = 0.001;

/// Request for a slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The call number of the asking daemon.
    pub ask: u32,
    /// The service's hash.
    pub service: u32,
    /// The organisation that the request belongs to, if callers use keys.
    pub organisation: Option<OrganisationHash>,
    /// Time within which it should be answered, in milliseconds.
    pub left_ms: u32,
    /// Hashes of the servers that must not get it, such as those that have failed it.
    pub tried: Vec<u32>,
}

/// Answer to a slot request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotAnswer {
    /// The request may be sent to the server with this hash.
    Granted(u32),
    /// The request has to wait; another answer follows.
    Waits,
    /// The request cannot be answered in time; contains the retry delay in milliseconds.
    Refused(u32),
}

/// An answer with the call that it belongs to.
pub type SlotReply = (CallId, SlotAnswer);

/// How a request at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotEnd {
    /// The server answered.
    Answered,
    /// The server failed the request or did not answer.
    Failed,
    /// The server could not be reached.
    Unreachable,
    /// The request was not sent, since it would have exceeded the server's limit. Sent only to dispatchers
    /// that know this variant.
    Unsent,
}

/// A server that accepts requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerSlots {
    /// The server's hash.
    pub server: u32,
    /// Number of requests that it processes concurrently.
    pub slots: usize,
    /// The rate limit that it announces, if any.
    pub limit: Option<LimitRule>,
    /// It gets no requests beyond its slots: it may let none wait, and survives few rejections.
    pub is_brittle: bool,
}

#[derive(Debug, Clone, Default)]
struct Health {
    failure_rate: DecayingSum,
    unreachable_until: Time,
}

#[derive(Debug, Clone, Copy)]
struct TakenSlot {
    server: u32,
    since: Time,
}

#[derive(Debug, Clone)]
struct WaitingRequest {
    id: CallId,
    ask: SlotRequest,
    /// Time after which it cannot be answered in time.
    until: Time,
}

/// Assigns the slots of one service.
#[derive(Debug)]
pub struct Dispatcher {
    servers: Vec<ServerSlots>,
    health: HashMap<u32, Health>,
    /// Buckets of the servers that announce limits. They only guide the selection; each send to such a
    /// server needs a grant in addition.
    limits: HashMap<u32, RateBucket>,
    taken: HashMap<CallId, TakenSlot>,
    waiting: Vec<WaitingRequest>,
    /// Average run time of requests in milliseconds.
    run_ms: f64,
    /// Staggers the retry times of refused callers.
    retry_scheduler: RetryScheduler,
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self {
            servers: Vec::new(),
            health: HashMap::new(),
            limits: HashMap::new(),
            taken: HashMap::new(),
            waiting: Vec::new(),
            run_ms: INITIAL_RUN_TIME.as_millis() as f64,
            retry_scheduler: RetryScheduler::default(),
        }
    }
}

impl Dispatcher {
    /// Sets the servers that currently accept requests.
    pub fn set_servers(&mut self, now: Time, servers: Vec<ServerSlots>) {
        self.health.retain(|hash, _| servers.iter().any(|server| server.server == *hash));
        self.limits.retain(|hash, _| servers.iter().any(|server| server.server == *hash));
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

    fn taken_count(&self, server: u32) -> usize {
        self.taken.values().filter(|taken| taken.server == server).count()
    }

    /// Number of requests that a server may have at once: fewer if it fails some, but at least one.
    fn capacity(&self, now: Time, server: &ServerSlots) -> usize {
        let healthy_share = 1.0 - self.failure_rate(now, server.server);
        let queue_ahead = if server.is_brittle { 0.0 } else { QUEUE_AHEAD_SHARE };
        let total = server.slots as f64 * (1.0 + queue_ahead);
        ((total * healthy_share).floor() as usize).max(1)
    }

    /// The least loaded server with free capacity, except those in `tried`.
    fn free_server(&self, now: Time, tried: &[u32]) -> Option<u32> {
        let available = self.servers.iter().filter(|server| {
            !tried.contains(&server.server)
                && !self.is_unreachable(now, server.server)
                && self.limits.get(&server.server).is_none_or(|bucket| bucket.has_room(now))
        });
        let with_capacity = available.filter_map(|server| {
            let (taken, capacity) = (self.taken_count(server.server), self.capacity(now, server));
            (taken < capacity).then(|| (taken as f64 / capacity as f64, server.server))
        });
        with_capacity.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, server)| server)
    }

    /// Effective number of usable slots.
    fn slots(&self, now: Time) -> f64 {
        let available =
            self.servers.iter().filter(|server| !self.is_unreachable(now, server.server));
        let usable = available.map(|server| {
            let healthy = server.slots as f64 * (1.0 - self.failure_rate(now, server.server));
            healthy.min(self.slots_within_limit(server))
        });
        let all_limited = self.servers.iter().all(|server| server.limit.is_some());
        let min_slots = if all_limited { MIN_LIMITED_SLOTS } else { 1.0 };
        usable.sum::<f64>().max(min_slots)
    }

    /// Average number of busy slots if the server gets requests at its rate limit.
    fn slots_within_limit(&self, server: &ServerSlots) -> f64 {
        let run_s = self.run_ms / 1_000.0;
        server.limit.map_or(f64::INFINITY, |limit| limit.rate() * run_s)
    }

    /// Grants a slot at a server to a request.
    fn grant(&mut self, now: Time, id: CallId, server: u32) -> SlotReply {
        self.taken.insert(id, TakenSlot { server, since: now });
        if let Some(bucket) = self.limits.get_mut(&server).filter(|bucket| bucket.is_set()) {
            bucket.take(now);
        }
        (id, SlotAnswer::Granted(server))
    }

    /// Expected wait of the last of `waiting` requests.
    fn expected_wait(&self, now: Time, waiting: usize) -> Duration {
        Duration::from_secs_f64(waiting as f64 * self.run_ms / 1_000.0 / self.slots(now))
    }

    /// Decides on a request, and on a waiting one that may be refused in its favour.
    pub fn ask(&mut self, now: Time, from: SocketAddr, ask: SlotRequest) -> Vec<SlotReply> {
        let id = CallId { from, call: ask.ask };
        if self.taken.contains_key(&id) || self.waiting.iter().any(|waiting| waiting.id == id) {
            return Vec::new();
        }
        if self.waiting.is_empty()
            && let Some(server) = self.free_server(now, &ask.tried)
        {
            return vec![self.grant(now, id, server)];
        }
        let runs = |times: f64| Duration::from_secs_f64(self.run_ms * times / 1_000.0);
        let left = Duration::from_millis(ask.left_ms.into()).saturating_sub(runs(RUN_TIME_MARGIN));
        let left = left.max(runs(MIN_WAIT_RUNS));
        let until = now + left;
        self.waiting.push(WaitingRequest { id, ask, until });
        if self.expected_wait(now, self.waiting.len()) <= left {
            return vec![(id, SlotAnswer::Waits)];
        }
        let refused = self.index_to_refuse();
        let refused = self.waiting.swap_remove(refused).id;
        let mut replies = vec![(refused, self.refusal(now))];
        if refused != id {
            replies.push((id, SlotAnswer::Waits));
        }
        replies
    }

    /// Index of the waiting request to refuse.
    fn index_to_refuse(&self) -> usize {
        let waiting = self.waiting.iter().map(|waiting| (waiting.ask.organisation, waiting.until));
        choose_evicted(&waiting.collect::<Vec<_>>())
    }

    fn refusal(&mut self, now: Time) -> SlotAnswer {
        let (until_free, interval) =
            (self.expected_wait(now, self.waiting.len() + 1), self.expected_wait(now, 1));
        SlotAnswer::Refused(self.retry_scheduler.next(now, until_free, interval))
    }

    /// Records the end of a request at a server, and grants the slots that have become free.
    pub fn ended(&mut self, now: Time, id: CallId, end: SlotEnd) -> Vec<SlotReply> {
        self.waiting.retain(|waiting| waiting.id != id);
        if let Some(taken) = self.taken.remove(&id) {
            self.record_outcome(now, taken, end);
        }
        self.serve_waiting(now)
    }

    fn record_outcome(&mut self, now: Time, taken: TakenSlot, end: SlotEnd) {
        if end == SlotEnd::Unsent {
            self.limits.entry(taken.server).or_default().refund();
            return;
        }
        let health = self.health.entry(taken.server).or_default();
        let rate = health.failure_rate.get(now, FAILURE_HALF_LIFE);
        let failed = if end == SlotEnd::Answered { 0.0 } else { 1.0 };
        health.failure_rate.set(now, rate + (failed - rate) * OUTCOME_WEIGHT);
        match end {
            SlotEnd::Answered => {
                let run = now.since(taken.since).as_millis() as f64;
                self.run_ms += (run - self.run_ms) * RUN_WEIGHT;
            }
            SlotEnd::Unreachable => health.unreachable_until = now + UNREACHABLE_FOR,
            SlotEnd::Failed | SlotEnd::Unsent => {}
        }
    }

    /// Grants free slots to waiting requests, the most urgent ones first, and refuses those that can no
    /// longer be answered in time.
    fn serve_waiting(&mut self, now: Time) -> Vec<SlotReply> {
        let mut replies = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|waiting| waiting.until);
        let (expired, in_time): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|waiting| waiting.until < now);
        for next in in_time {
            match self.free_server(now, &next.ask.tried) {
                Some(server) => {
                    replies.push(self.grant(now, next.id, server));
                }
                None => self.waiting.push(next),
            }
        }
        replies.extend(expired.into_iter().map(|expired| (expired.id, self.refusal(now))));
        replies
    }

    /// Frees slots whose end was not reported, and updates the waiting requests.
    pub fn tick(&mut self, now: Time) -> Vec<SlotReply> {
        self.taken.retain(|_, taken| now.since(taken.since) < SLOT_TIMEOUT);
        if self.waiting.is_empty() { Vec::new() } else { self.serve_waiting(now) }
    }
}
