//! Decides when requests may be sent to one server.

use super::asks::CallId;
use super::cold::{ColdRule, ColdWindow};
use super::fairness::{FairShares, choose_evicted};
use super::message::{GrantAnswer, GrantEnd, GrantReply, GrantRequest};
use super::pace::{PrefillRate, reading_time};
use super::promises::RetryScheduler;
use super::reading::{PrefillLimit, PrefillWindow};
use crate::gateway::admission::OrganisationHash;
use crate::gateway::backpressure::bucket::{LimitRule, RateBucket};
use crate::types::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A grant of which nothing is told is over after this: longer than nodes stand still.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(6_000);
/// Messages that come later than this after the end of their request are not expected.
const OVER_KEPT: Duration = Duration::from_millis(2_000);
/// Requests of one organisation that may be ahead of the next one of another, where no prompts are read.
const REQUESTS_A_ROUND: f64 = 3.0;
/// A rank lower waits as if it had so much more time left: urgent ones pass, and none is passed for ever.
const RANK_HEADSTART: Duration = Duration::from_millis(50);
/// A request that is late already has its turn, whatever else waits, after this share of the time for
/// which somebody waits for it.
const LATE_SHARE: f64 = 0.6;
/// A prompt that does not fit yet lets shorter ones pass for this share of the time between events, and
/// then none: large ones are not starved.
const PASSED_SHARE: f64 = 0.5;

/// What binds arrivals at the server at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServerRule {
    /// What is believed of it, if it is of a service with a cold start.
    pub cold: Option<ColdRule>,
    /// The limit that it names, if it does.
    pub limit: Option<LimitRule>,
}

#[derive(Debug, Clone, Copy)]
struct Given {
    at: Time,
    tokens: u32,
    /// The server was reading nothing.
    alone: bool,
    /// It counts toward the limit that the server names.
    limited: bool,
}

#[derive(Debug, Clone)]
struct Waiting {
    id: CallId,
    ask: GrantRequest,
    since: Time,
    /// It is late if it is sent after this, reckoned with the reading of its prompt.
    late_at: Time,
    /// Where it begins by its organisation's share.
    begins: f64,
}

impl Waiting {
    fn new(now: Time, id: CallId, ask: GrantRequest, pace: f64, begins: f64) -> Self {
        let reading = reading_time(f64::from(ask.tokens), pace);
        let left = Duration::from_millis(ask.left_ms.into()).saturating_sub(reading);
        Self { id, ask, since: now, late_at: now + left, begins }
    }

    fn left_at(&self) -> Time {
        self.since + Duration::from_millis(self.ask.most_ms.into())
    }

    /// Its place in the order: what waits too long, what is late soon, what is late already.
    fn order(&self, now: Time) -> (u8, Time, u32) {
        let must = self.since + Duration::from_millis(self.ask.most_ms.into()).mul_f64(LATE_SHARE);
        let headstart = RANK_HEADSTART * u32::from(self.ask.priority);
        let tokens = self.ask.tokens;
        match () {
            () if now >= must => (0, must, tokens),
            () if now <= self.late_at => (1, self.late_at + headstart, tokens),
            () => (2, must + headstart, tokens),
        }
    }
}

/// One server's granter.
#[derive(Debug)]
pub struct Granter {
    given: HashMap<CallId, Given>,
    /// Requests that ended lately: an ask that comes after that, late or doubled, is nobody's.
    over: HashMap<CallId, Time>,
    waiting: Vec<Waiting>,
    cold: ColdWindow,
    limit: RateBucket,
    reading: PrefillWindow,
    promises: RetryScheduler,
    shares: FairShares,
}

/// What a request costs a server: its prompt, or itself where prompts are not read.
fn work(ask: &GrantRequest) -> f64 {
    if ask.gap_ms > 0 { f64::from(ask.tokens) } else { 1.0 }
}

/// What an organisation may have ahead of the others' next: what is read within one pause.
fn round_work(ask: &GrantRequest, pace: f64) -> f64 {
    Granter::limit(ask, pace).map_or(REQUESTS_A_ROUND, |limit| limit.tokens)
}

impl Granter {
    /// Of a daemon that becomes the server's granter now, and does not know what another one gave.
    pub fn new(now: Time) -> Self {
        Self {
            given: HashMap::new(),
            over: HashMap::new(),
            waiting: Vec::new(),
            cold: ColdWindow::new(now),
            limit: RateBucket::default(),
            reading: PrefillWindow::default(),
            promises: RetryScheduler::default(),
            shares: FairShares::default(),
        }
    }

    fn limit(ask: &GrantRequest, pace: f64) -> Option<PrefillLimit> {
        let span = Duration::from_millis(ask.gap_ms.into());
        let event = Duration::from_millis(ask.event_ms.into());
        (ask.gap_ms > 0).then(|| PrefillLimit::new(span, event, pace))
    }

    fn has_room(&mut self, now: Time, rule: &ServerRule) -> bool {
        let given = self.given.len();
        self.limit.set(now, rule.limit);
        let warm_enough = rule.cold.is_none_or(|cold| self.cold.has_room(now, given, &cold));
        warm_enough && self.limit.has_room(now)
    }

    /// Tokens that began before the last `span` and of which nothing is heard. What is older than two of
    /// them is not counted: the word of it may be lost.
    fn unread(&self, now: Time, span: Duration) -> f64 {
        let age = |given: &&Given| (span..span * 2).contains(&now.since(given.at));
        self.given.values().filter(age).map(|given| f64::from(given.tokens)).sum()
    }

    fn fits(&self, now: Time, ask: &GrantRequest, pace: f64) -> bool {
        Self::limit(ask, pace).is_none_or(|limit| {
            self.reading.fits(now, ask.tokens, self.unread(now, limit.span), &limit)
        })
    }

    fn give(&mut self, now: Time, id: CallId, ask: &GrantRequest, pace: f64) -> GrantReply {
        let backlog = self.reading.backlog(now);
        if let Some(limit) = Self::limit(ask, pace) {
            self.reading.take(now, ask.tokens, &limit);
        }
        let alone = backlog.is_zero();
        let limited = self.limit.is_set();
        if limited {
            self.limit.take(now);
        }
        let given = Given { at: now, tokens: ask.tokens, alone, limited };
        self.given.insert(id, given);
        (id, GrantAnswer::Granted(backlog.as_millis() as u32))
    }

    /// Decides on a request, or on another one that has to make way for it.
    pub fn ask(
        &mut self,
        now: Time,
        from: SocketAddr,
        ask: GrantRequest,
        rule: &ServerRule,
        pace: f64,
    ) -> Vec<GrantReply> {
        let id = CallId { from, call: ask.ask };
        let waits = self.waiting.iter().any(|waiting| waiting.id == id);
        if waits || self.given.contains_key(&id) || self.over.contains_key(&id) {
            return Vec::new();
        }
        let begins = self.shares.begin(ask.organisation, work(&ask));
        if self.waiting.is_empty() && self.has_room(now, rule) && self.fits(now, &ask, pace) {
            self.shares.turn(begins);
            return vec![self.give(now, id, &ask, pace)];
        }
        self.waiting.push(Waiting::new(now, id, ask, pace, begins));
        self.deal_beginnings(now);
        let refused = self.over_bounds(now, rule, pace);
        let refused = refused.map(|place| self.give_up(place));
        let mut orders: Vec<GrantReply> = Vec::new();
        if let Some(refused) = refused {
            orders.push((refused, self.refusal(now, rule, pace)));
        }
        if refused != Some(id) {
            orders.push((id, GrantAnswer::Waits(self.wait_ms(now, id, rule, pace))));
        }
        orders
    }

    fn give_up(&mut self, place: usize) -> CallId {
        let gone = self.waiting.remove(place);
        self.shares.give_up(gone.ask.organisation, work(&gone.ask));
        gone.id
    }

    /// Of what an organisation has waiting, the most urgent begins first.
    fn deal_beginnings(&mut self, now: Time) {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_cached_key(|place| self.waiting[*place].order(now));
        let mut begins: HashMap<Option<OrganisationHash>, Vec<f64>> = HashMap::new();
        for waiting in &self.waiting {
            begins.entry(waiting.ask.organisation).or_default().push(waiting.begins);
        }
        begins.values_mut().for_each(|all| all.sort_by(|a, b| b.total_cmp(a)));
        for place in order {
            let waiting = &mut self.waiting[place];
            let first = begins.get_mut(&waiting.ask.organisation).and_then(Vec::pop);
            waiting.begins = first.unwrap_or(waiting.begins);
        }
    }

    /// Those that wait, by their places, in the order in which they have their turns. What an
    /// organisation sends beyond its share while others wait comes after these.
    fn turn_order(&self, now: Time, pace: f64) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_cached_key(|place| {
            let waiting = &self.waiting[*place];
            let round = self.shares.round(waiting.begins, round_work(&waiting.ask, pace));
            (round, waiting.order(now))
        });
        order
    }

    /// How long a request waits behind those `ahead` of it, as far as can be told: for its turn, where the server may
    /// be cold or names a limit, and for what is ahead of it to be read.
    fn wait(
        &mut self,
        now: Time,
        ahead: &[usize],
        place: usize,
        rule: &ServerRule,
        pace: f64,
    ) -> (Duration, Duration) {
        let given = self.given.len();
        let cold = rule
            .cold
            .map_or(Duration::ZERO, |cold| self.cold.wait(now, given, ahead.len() + 1, &cold));
        self.limit.set(now, rule.limit);
        let turn = cold.max(self.limit.wait(now, ahead.len() + 1));
        let ask = &self.waiting[place].ask;
        let reading = Self::limit(ask, pace).map_or(Duration::ZERO, |limit| {
            let tokens = ahead.iter().map(|other| f64::from(self.waiting[*other].ask.tokens)).sum();
            self.reading.wait(now, tokens, ask.tokens, &limit)
        });
        (turn, reading)
    }

    fn wait_ms(&mut self, now: Time, id: CallId, rule: &ServerRule, pace: f64) -> u32 {
        let order = self.turn_order(now, pace);
        let Some(at) = order.iter().position(|place| self.waiting[*place].id == id) else {
            return 0;
        };
        let (turn, reading) = self.wait(now, &order[..at], order[at], rule, pace);
        turn.max(reading).as_millis() as u32
    }

    /// The place of the request that has to go now that one more waits; `None` if all may wait. For
    /// its turn a request waits as long as it can be in time; for reading, as long as
    /// somebody waits for its answer.
    fn over_bounds(&mut self, now: Time, rule: &ServerRule, pace: f64) -> Option<usize> {
        let order = self.turn_order(now, pace);
        let (last, ahead) = order.split_last()?;
        let (turn, reading) = self.wait(now, ahead, *last, rule, pace);
        let ask = &self.waiting[*last].ask;
        let in_time = turn <= Duration::from_millis(ask.left_ms.into());
        let of_use = reading <= Duration::from_millis(ask.most_ms.into());
        if in_time && of_use {
            return None;
        }
        let is_shared = self.waiting.iter().any(|waiting| waiting.ask.organisation.is_some());
        if rule.limit.is_some() && !is_shared {
            return self.newest_of_least_urgent();
        }
        let turn = |place| order.iter().position(|other| *other == place);
        let waiting = self.waiting.iter().enumerate();
        let waiting: Vec<_> =
            waiting.map(|(place, waiting)| (waiting.ask.organisation, turn(place))).collect();
        Some(choose_evicted(&waiting))
    }

    /// The place of the newest of the least urgent requests: the urgent have their part of a limit below what is asked for, and
    /// who has waited is not refused for who has just come.
    fn newest_of_least_urgent(&self) -> Option<usize> {
        let waiting = self.waiting.iter().enumerate();
        let last =
            waiting.max_by_key(|(place, waiting)| (waiting.ask.priority, waiting.since, *place));
        last.map(|(place, _)| place)
    }

    /// When a refused caller may come back: behind all who wait, one after the other.
    fn refusal(&mut self, now: Time, rule: &ServerRule, pace: f64) -> GrantAnswer {
        let last = self.turn_order(now, pace).last().map(|place| self.waiting[*place].id);
        let longest = last.map_or(0, |last| self.wait_ms(now, last, rule, pace));
        let longest = Duration::from_millis(longest.into());
        let next = self.waiting.len() + 1;
        let (cold, cold_apart) = match rule.cold {
            Some(cold) => {
                let room = self.cold.wait(now, self.given.len(), next, &cold);
                (room, Duration::from_secs_f64(1.0 / cold.most() as f64))
            }
            None => (Duration::ZERO, longest / next as u32),
        };
        self.limit.set(now, rule.limit);
        let room = longest.max(cold).max(self.limit.wait(now, next));
        GrantAnswer::Refused(self.promises.next(
            now,
            room,
            cold_apart.max(self.limit.mean_interval()),
        ))
    }

    /// A request has begun to be answered, or failed, or was not sent; tells which others have their
    /// turn.
    pub fn ended(
        &mut self,
        now: Time,
        id: CallId,
        end: GrantEnd,
        rule: &ServerRule,
        pace: &mut PrefillRate,
    ) -> Vec<GrantReply> {
        if let Some(place) = self.waiting.iter().position(|waiting| waiting.id == id) {
            self.give_up(place);
        }
        self.over.insert(id, now);
        if let Some(given) = self.given.remove(&id) {
            self.note(now, given, end, pace);
        }
        self.turns(now, rule, pace.get())
    }

    fn note(&mut self, now: Time, given: Given, end: GrantEnd, pace: &mut PrefillRate) {
        match end {
            GrantEnd::Begun(millis) => {
                self.cold.arrived(now);
                if given.alone && given.tokens > 0 {
                    pace.observe(given.tokens, f64::from(millis));
                }
            }
            GrantEnd::Failed | GrantEnd::Lost => self.cold.arrived(now),
            GrantEnd::TurnedAway | GrantEnd::Unsent | GrantEnd::Unreachable => {
                self.reading.give_back(given.at, given.tokens);
            }
        }
        // What the server turned away has arrived there too.
        let has_arrived = !matches!(end, GrantEnd::Unsent | GrantEnd::Unreachable);
        if given.limited && !has_arrived {
            self.limit.refund();
        }
    }

    /// Those whose turn it is, and those for which nobody waits any more.
    fn turns(&mut self, now: Time, rule: &ServerRule, pace: f64) -> Vec<GrantReply> {
        let mut orders = Vec::new();
        self.deal_beginnings(now);
        let order = self.turn_order(now, pace);
        let waiting = std::mem::take(&mut self.waiting);
        let waiting: Vec<Waiting> = order.into_iter().map(|place| waiting[place].clone()).collect();
        let mut closed = false;
        for next in waiting {
            if now > next.left_at() {
                self.shares.give_up(next.ask.organisation, work(&next.ask));
                orders.push((next.id, self.refusal(now, rule, pace)));
                continue;
            }
            if !closed && self.has_room(now, rule) && self.fits(now, &next.ask, pace) {
                self.shares.turn(next.begins);
                orders.push(self.give(now, next.id, &next.ask, pace));
                continue;
            }
            let span = Duration::from_millis(next.ask.gap_ms.into());
            closed |= now.since(next.since) >= span.mul_f64(PASSED_SHARE);
            self.waiting.push(next);
        }
        orders
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, rule: &ServerRule, pace: f64) -> Vec<GrantReply> {
        self.over.retain(|_, at| now.since(*at) < OVER_KEPT);
        self.given.retain(|_, given| now.since(given.at) < FORGOTTEN_AFTER);
        if self.waiting.is_empty() { Vec::new() } else { self.turns(now, rule, pace) }
    }

    /// True if nothing is under way or waits.
    pub fn is_idle(&self) -> bool {
        self.given.is_empty() && self.waiting.is_empty() && self.over.is_empty()
    }
}
