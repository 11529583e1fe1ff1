//! What a server that may be cold gets in any second.

use crate::gateway::fleet::config::ColdStart;
use crate::types::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// The time in which arrivals are counted.
const SECOND: Duration = Duration::from_millis(1_000);
/// Granters that may serve one server at the same time, by different views of the fleet.
const GRANTERS: f64 = 2.0;
/// Daemons a side of a cut that may send to a cold server without a grant, one request a second each.
const MOST_SHARERS: usize = 2;
/// Of the bound, at most this share goes to daemons without a grant, on both sides of a cut.
const SHARERS_PART: f64 = 0.25;
/// Of what granters may give, this share goes to the one of a server that is taken for warm; the rest is
/// for one that stands in for it, and for the first second of one that takes its place. The first may only
/// be slow to answer and go on giving, so their parts must add up to the whole.
const WARM_PART: f64 = 0.75;

/// The most that one cold server may get in any second from everybody, and how it is dealt out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    most: f64,
}

impl ColdBound {
    /// The bound of servers that bear so much, with the deployment's ratio and slack.
    pub fn new(start: &ColdStart, ratio: f64, slack: f64) -> Self {
        Self { most: start.per_second * ratio + slack }
    }

    /// Daemons of one side of a cut that may send without a grant.
    pub fn sharers(&self) -> usize {
        ((self.most * SHARERS_PART / GRANTERS).floor() as usize).min(MOST_SHARERS)
    }

    /// What one granter gives in a second to a server that may be cold.
    fn while_cold(&self) -> usize {
        ((self.granted() / GRANTERS).floor() as usize).max(1)
    }

    /// The same to one that is taken for warm, and may turn cold before anybody hears of it.
    fn while_warm(&self) -> usize {
        ((self.granted() * WARM_PART).floor() as usize).max(1)
    }

    /// The same in a granter's first second, and from one that stands in for another.
    fn while_new(&self) -> usize {
        (self.granted().floor() as usize).saturating_sub(self.while_warm())
    }

    /// What all granters together may give.
    fn granted(&self) -> f64 {
        self.most - self.sharers() as f64 * GRANTERS
    }
}

/// What is believed of a server of a service with a cold start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRule {
    /// The bound.
    pub bound: ColdBound,
    /// It is cold, or in doubt.
    pub cold: bool,
    /// Another daemon comes before this one as its granter, and did not answer somebody in time: it may
    /// go on giving its own part to others.
    pub is_stand_in: bool,
}

impl ColdRule {
    /// The most that this granter lets arrive in any second.
    pub fn most(&self) -> usize {
        match (self.cold, self.is_stand_in) {
            // The first may take the server for warm.
            (true, true) => self.bound.while_cold().min(self.bound.while_new().max(1)),
            (true, false) => self.bound.while_cold(),
            (false, true) => self.bound.while_new().max(1),
            (false, false) => self.bound.while_warm(),
        }
    }
}

/// Arrivals at one server. A request counts from its grant until a second after it is told that it has
/// begun there: however late it was sent, it is counted in the second in which it arrived.
#[derive(Debug, Clone)]
pub struct ColdWindow {
    since: Time,
    arrived: VecDeque<Time>,
}

impl ColdWindow {
    /// Of a granter that does not know what others gave before `since`.
    pub fn new(since: Time) -> Self {
        Self { since, arrived: VecDeque::new() }
    }

    /// A request has certainly arrived by now.
    pub fn arrived(&mut self, now: Time) {
        self.arrived.push_back(now);
    }

    /// Requests that count, besides `under_way` of which nothing is known yet.
    fn count(&mut self, now: Time, under_way: usize) -> usize {
        while self.arrived.front().is_some_and(|at| now.since(*at) >= SECOND) {
            self.arrived.pop_front();
        }
        self.arrived.len() + under_way
    }

    /// The most that may arrive in a second now.
    fn most(&self, now: Time, rule: &ColdRule) -> usize {
        match (now.since(self.since) < SECOND, rule.cold) {
            (true, true) => 0,
            (true, false) => rule.bound.while_new(),
            (false, _) => rule.most(),
        }
    }

    /// True if one more may be sent.
    pub fn has_room(&mut self, now: Time, under_way: usize, rule: &ColdRule) -> bool {
        self.count(now, under_way) < self.most(now, rule)
    }

    /// How long the last of `waiting` requests waits for its turn.
    pub fn wait(
        &mut self,
        now: Time,
        under_way: usize,
        waiting: usize,
        rule: &ColdRule,
    ) -> Duration {
        let new_for = SECOND.saturating_sub(now.since(self.since));
        let unknown = match self.has_room(now, under_way + waiting.saturating_sub(1), rule) {
            true => Duration::ZERO,
            false => new_for,
        };
        let over = (self.count(now, under_way) + waiting).saturating_sub(rule.most());
        unknown + SECOND.mul_f64(over as f64 / rule.most() as f64)
    }
}
