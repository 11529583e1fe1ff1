//! Schedules the requests that may be sent to one server.

use super::cold::{ColdRule, ColdWindow};
use super::fairness::{FairShares, choose_evicted};
use super::message::{GrantAnswer, GrantEnd, GrantReply, GrantRequest};
use super::pending_calls::CallId;
use super::prefill_rate::{PrefillRate, prefill_time};
use super::prefill_window::{PrefillLimit, PrefillWindow};
use super::retry_scheduler::RetryScheduler;
use crate::gateway::admission::OrganisationHash;
use crate::gateway::backpressure::bucket::{LimitRule, RateBucket};
use crate::types::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A grant without any report expires after this, which is longer than nodes are ever suspended.
const GRANT_TIMEOUT: Duration = Duration::from_millis(6_000);
/// No message is expected later than this after the end of its request.
const ENDED_KEPT_FOR: Duration = Duration::from_millis(2_000);
/// Number of requests of one organisation that may precede the next one of another, for servers
/// without prefill.
const REQUESTS_PER_ROUND: f64 = 3.0;
/// A request of the next lower priority is ordered as if it had this much more time left: urgent
/// requests overtake, but none is overtaken for ever.
const PRIORITY_HEAD_START: Duration = Duration::from_millis(50);
/// Share of its maximum wait after which a request that is late already is served before all
/// others.
const OVERDUE_SHARE: f64 = 0.6;
/// A prompt that does not fit yet lets shorter ones overtake for this share of the time between
/// events, and none after that, so that large prompts are not starved.
const OVERTAKEN_SHARE: f64 = 0.5;

/// The limits on arrivals at a server at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServerRule {
    /// The cold start rule, if the server's service has a cold start.
    pub cold: Option<ColdRule>,
    /// The limit that the server states, if any.
    pub limit: Option<LimitRule>,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    at: Time,
    tokens: u32,
    /// Whether the server had no other prefill to do.
    alone: bool,
    /// Whether the grant counts toward the server's stated limit.
    limited: bool,
}

#[derive(Debug, Clone)]
struct Waiting {
    id: CallId,
    request: GrantRequest,
    since: Time,
    /// The latest time to send the request so that it meets its objective, including its prefill.
    latest_start: Time,
    /// Start tag assigned by fair queueing.
    start_tag: f64,
}

impl Waiting {
    fn new(now: Time, id: CallId, request: GrantRequest, rate: f64, start_tag: f64) -> Self {
        let prefill = prefill_time(f64::from(request.tokens), rate);
        let left = Duration::from_millis(request.left_ms.into()).saturating_sub(prefill);
        Self { id, request, since: now, latest_start: now + left, start_tag }
    }

    fn deadline(&self) -> Time {
        self.since + Duration::from_millis(self.request.most_ms.into())
    }

    /// Sort key: first requests that have waited too long, then those that can meet their
    /// objective, then those that are late already.
    fn order(&self, now: Time) -> (u8, Time, u32) {
        let overdue_at =
            self.since + Duration::from_millis(self.request.most_ms.into()).mul_f64(OVERDUE_SHARE);
        let head_start = PRIORITY_HEAD_START * u32::from(self.request.priority);
        let tokens = self.request.tokens;
        match () {
            () if now >= overdue_at => (0, overdue_at, tokens),
            () if now <= self.latest_start => (1, self.latest_start + head_start, tokens),
            () => (2, overdue_at + head_start, tokens),
        }
    }
}

/// The granter of one server.
#[derive(Debug)]
pub struct Granter {
    grants: HashMap<CallId, Grant>,
    /// Recently ended requests. A request for a grant that arrives later, delayed or duplicated, is
    /// ignored.
    ended: HashMap<CallId, Time>,
    waiting: Vec<Waiting>,
    cold: ColdWindow,
    limit: RateBucket,
    prefill: PrefillWindow,
    retries: RetryScheduler,
    shares: FairShares,
}

/// The work that a request causes: its prompt tokens, or 1 for servers without prefill.
fn request_cost(request: &GrantRequest) -> f64 {
    if request.gap_ms > 0 { f64::from(request.tokens) } else { 1.0 }
}

/// Work that an organisation may have served before the others' next requests: what is prefilled
/// within one pause.
fn round_cost(request: &GrantRequest, rate: f64) -> f64 {
    Granter::prefill_limit(request, rate).map_or(REQUESTS_PER_ROUND, |limit| limit.tokens)
}

impl Granter {
    /// Creates a granter that becomes responsible for the server now and does not know the grants
    /// of its predecessor.
    pub fn new(now: Time) -> Self {
        Self {
            grants: HashMap::new(),
            ended: HashMap::new(),
            waiting: Vec::new(),
            cold: ColdWindow::new(now),
            limit: RateBucket::default(),
            prefill: PrefillWindow::default(),
            retries: RetryScheduler::default(),
            shares: FairShares::default(),
        }
    }

    fn prefill_limit(request: &GrantRequest, rate: f64) -> Option<PrefillLimit> {
        let span = Duration::from_millis(request.gap_ms.into());
        let event = Duration::from_millis(request.event_ms.into());
        (request.gap_ms > 0).then(|| PrefillLimit::new(span, event, rate))
    }

    fn has_room(&mut self, now: Time, rule: &ServerRule) -> bool {
        let grant = self.grants.len();
        self.limit.set(now, rule.limit);
        let cold_allows = rule.cold.is_none_or(|cold| self.cold.has_room(now, grant, &cold));
        cold_allows && self.limit.has_room(now)
    }

    /// Tokens granted before the last `span` without any report. Grants older than two spans are
    /// not counted, since their report may have been lost.
    fn unconfirmed_tokens(&self, now: Time, span: Duration) -> f64 {
        let age = |grant: &&Grant| (span..span * 2).contains(&now.since(grant.at));
        self.grants.values().filter(age).map(|grant| f64::from(grant.tokens)).sum()
    }

    fn fits(&self, now: Time, request: &GrantRequest, rate: f64) -> bool {
        Self::prefill_limit(request, rate).is_none_or(|limit| {
            self.prefill.fits(now, request.tokens, self.unconfirmed_tokens(now, limit.span), &limit)
        })
    }

    fn grant(&mut self, now: Time, id: CallId, request: &GrantRequest, rate: f64) -> GrantReply {
        let backlog = self.prefill.backlog(now);
        if let Some(limit) = Self::prefill_limit(request, rate) {
            self.prefill.take(now, request.tokens, &limit);
        }
        let alone = backlog.is_zero();
        let limited = self.limit.is_set();
        if limited {
            self.limit.take(now);
        }
        let grant = Grant { at: now, tokens: request.tokens, alone, limited };
        self.grants.insert(id, grant);
        (id, GrantAnswer::Granted(backlog.as_millis() as u32))
    }

    /// Decides on a request, and on another one that may have to be evicted for it.
    pub fn ask(
        &mut self,
        now: Time,
        from: SocketAddr,
        request: GrantRequest,
        rule: &ServerRule,
        rate: f64,
    ) -> Vec<GrantReply> {
        let id = CallId { from, call: request.ask };
        let waits = self.waiting.iter().any(|waiting| waiting.id == id);
        if waits || self.grants.contains_key(&id) || self.ended.contains_key(&id) {
            return Vec::new();
        }
        let start_tag = self.shares.start_tag(request.organisation, request_cost(&request));
        if self.waiting.is_empty() && self.has_room(now, rule) && self.fits(now, &request, rate) {
            self.shares.advance(start_tag);
            return vec![self.grant(now, id, &request, rate)];
        }
        self.waiting.push(Waiting::new(now, id, request, rate, start_tag));
        self.reassign_start_tags(now);
        let refused = self.over_capacity(now, rule, rate);
        let refused = refused.map(|index| self.remove_waiting(index));
        let mut replies: Vec<GrantReply> = Vec::new();
        if let Some(refused) = refused {
            replies.push((refused, self.refusal(now, rule, rate)));
        }
        if refused != Some(id) {
            replies.push((id, GrantAnswer::Waits(self.wait_ms(now, id, rule, rate))));
        }
        replies
    }

    fn remove_waiting(&mut self, index: usize) -> CallId {
        let removed = self.waiting.remove(index);
        self.shares.withdraw(removed.request.organisation, request_cost(&removed.request));
        removed.id
    }

    /// Reassigns each organisation's start tags so that its most urgent requests come first.
    fn reassign_start_tags(&mut self, now: Time) {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_cached_key(|index| self.waiting[*index].order(now));
        let mut start_tags: HashMap<Option<OrganisationHash>, Vec<f64>> = HashMap::new();
        for waiting in &self.waiting {
            start_tags.entry(waiting.request.organisation).or_default().push(waiting.start_tag);
        }
        start_tags.values_mut().for_each(|all| all.sort_by(|a, b| b.total_cmp(a)));
        for index in order {
            let waiting = &mut self.waiting[index];
            let first = start_tags.get_mut(&waiting.request.organisation).and_then(Vec::pop);
            waiting.start_tag = first.unwrap_or(waiting.start_tag);
        }
    }

    /// Indices of the waiting requests in the order in which they are served. Requests beyond an
    /// organisation's share come after those of the others.
    fn queue_order(&self, now: Time, rate: f64) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_cached_key(|index| {
            let waiting = &self.waiting[*index];
            let round =
                self.shares.rounds_ahead(waiting.start_tag, round_cost(&waiting.request, rate));
            (round, waiting.order(now))
        });
        order
    }

    /// Estimates how long a request waits behind those `ahead` of it: for its turn, if the server
    /// may be cold or states a limit, and for the prefill ahead of it.
    fn wait(
        &mut self,
        now: Time,
        ahead: &[usize],
        index: usize,
        rule: &ServerRule,
        rate: f64,
    ) -> (Duration, Duration) {
        let grant = self.grants.len();
        let cold = rule
            .cold
            .map_or(Duration::ZERO, |cold| self.cold.wait(now, grant, ahead.len() + 1, &cold));
        self.limit.set(now, rule.limit);
        let turn_wait = cold.max(self.limit.wait(now, ahead.len() + 1));
        let request = &self.waiting[index].request;
        let prefill = Self::prefill_limit(request, rate).map_or(Duration::ZERO, |limit| {
            let tokens =
                ahead.iter().map(|other| f64::from(self.waiting[*other].request.tokens)).sum();
            self.prefill.wait(now, tokens, request.tokens, &limit)
        });
        (turn_wait, prefill)
    }

    fn wait_ms(&mut self, now: Time, id: CallId, rule: &ServerRule, rate: f64) -> u32 {
        let order = self.queue_order(now, rate);
        let Some(at) = order.iter().position(|index| self.waiting[*index].id == id) else {
            return 0;
        };
        let (turn_wait, prefill) = self.wait(now, &order[..at], order[at], rule, rate);
        turn_wait.max(prefill).as_millis() as u32
    }

    /// Returns the index of the request to refuse after one more has been queued; `None` if all may
    /// wait. A request may wait for its turn as long as it can still meet its objective, and for
    /// prefill as long as its caller waits for the answer.
    fn over_capacity(&mut self, now: Time, rule: &ServerRule, rate: f64) -> Option<usize> {
        let order = self.queue_order(now, rate);
        let (last, ahead) = order.split_last()?;
        let (turn_wait, prefill) = self.wait(now, ahead, *last, rule, rate);
        let request = &self.waiting[*last].request;
        let in_time = turn_wait <= Duration::from_millis(request.left_ms.into());
        let is_useful = prefill <= Duration::from_millis(request.most_ms.into());
        if in_time && is_useful {
            return None;
        }
        let is_shared = self.waiting.iter().any(|waiting| waiting.request.organisation.is_some());
        if rule.limit.is_some() && !is_shared {
            return self.newest_of_least_urgent();
        }
        let turn = |index| order.iter().position(|other| *other == index);
        let waiting = self.waiting.iter().enumerate();
        let waiting: Vec<_> =
            waiting.map(|(index, waiting)| (waiting.request.organisation, turn(index))).collect();
        Some(choose_evicted(&waiting))
    }

    /// Index of the newest of the least urgent requests. Urgent requests keep their part of a limit
    /// that is below the demand, and a request that has waited is not refused in favour of a new
    /// one.
    fn newest_of_least_urgent(&self) -> Option<usize> {
        let waiting = self.waiting.iter().enumerate();
        let last = waiting
            .max_by_key(|(index, waiting)| (waiting.request.priority, waiting.since, *index));
        last.map(|(index, _)| index)
    }

    /// A refusal whose retry delay lies after all waiting requests, with callers spaced one after
    /// another.
    fn refusal(&mut self, now: Time, rule: &ServerRule, rate: f64) -> GrantAnswer {
        let last = self.queue_order(now, rate).last().map(|index| self.waiting[*index].id);
        let longest = last.map_or(0, |last| self.wait_ms(now, last, rule, rate));
        let longest = Duration::from_millis(longest.into());
        let next = self.waiting.len() + 1;
        let (cold, cold_interval) = match rule.cold {
            Some(cold) => {
                let room = self.cold.wait(now, self.grants.len(), next, &cold);
                (room, Duration::from_secs_f64(1.0 / cold.max_arrivals() as f64))
            }
            None => (Duration::ZERO, longest / next as u32),
        };
        self.limit.set(now, rule.limit);
        let room = longest.max(cold).max(self.limit.wait(now, next));
        GrantAnswer::Refused(self.retries.next(
            now,
            room,
            cold_interval.max(self.limit.mean_interval()),
        ))
    }

    /// Handles a request that has started, failed or was not sent. Returns the grants that this
    /// makes possible.
    pub fn ended(
        &mut self,
        now: Time,
        id: CallId,
        end: GrantEnd,
        rule: &ServerRule,
        rate: &mut PrefillRate,
    ) -> Vec<GrantReply> {
        if let Some(index) = self.waiting.iter().position(|waiting| waiting.id == id) {
            self.remove_waiting(index);
        }
        self.ended.insert(id, now);
        if let Some(grant) = self.grants.remove(&id) {
            self.record_end(now, grant, end, rate);
        }
        self.serve_queue(now, rule, rate.get())
    }

    fn record_end(&mut self, now: Time, grant: Grant, end: GrantEnd, rate: &mut PrefillRate) {
        match end {
            GrantEnd::Begun(millis) => {
                self.cold.arrived(now);
                if grant.alone && grant.tokens > 0 {
                    rate.observe(grant.tokens, f64::from(millis));
                }
            }
            GrantEnd::Failed | GrantEnd::Lost => self.cold.arrived(now),
            GrantEnd::TurnedAway | GrantEnd::Unsent | GrantEnd::Unreachable => {
                self.prefill.refund(grant.at, grant.tokens);
            }
        }
        // A request that the server rejected has also arrived there.
        let has_arrived = !matches!(end, GrantEnd::Unsent | GrantEnd::Unreachable);
        if grant.limited && !has_arrived {
            self.limit.refund();
        }
    }

    /// Grants the requests whose turn it is, and refuses those whose callers no longer wait.
    fn serve_queue(&mut self, now: Time, rule: &ServerRule, rate: f64) -> Vec<GrantReply> {
        let mut replies = Vec::new();
        self.reassign_start_tags(now);
        let order = self.queue_order(now, rate);
        let waiting = std::mem::take(&mut self.waiting);
        let waiting: Vec<Waiting> = order.into_iter().map(|index| waiting[index].clone()).collect();
        let mut closed = false;
        for next in waiting {
            if now > next.deadline() {
                self.shares.withdraw(next.request.organisation, request_cost(&next.request));
                replies.push((next.id, self.refusal(now, rule, rate)));
                continue;
            }
            if !closed && self.has_room(now, rule) && self.fits(now, &next.request, rate) {
                self.shares.advance(next.start_tag);
                replies.push(self.grant(now, next.id, &next.request, rate));
                continue;
            }
            let span = Duration::from_millis(next.request.gap_ms.into());
            closed |= now.since(next.since) >= span.mul_f64(OVERTAKEN_SHARE);
            self.waiting.push(next);
        }
        replies
    }

    /// Expires old state and serves the queue.
    pub fn tick(&mut self, now: Time, rule: &ServerRule, rate: f64) -> Vec<GrantReply> {
        self.ended.retain(|_, at| now.since(*at) < ENDED_KEPT_FOR);
        self.grants.retain(|_, grant| now.since(grant.at) < GRANT_TIMEOUT);
        if self.waiting.is_empty() { Vec::new() } else { self.serve_queue(now, rule, rate) }
    }

    /// Returns whether nothing is in flight, waiting or recently ended.
    pub fn is_idle(&self) -> bool {
        self.grants.is_empty() && self.waiting.is_empty() && self.ended.is_empty()
    }
}
