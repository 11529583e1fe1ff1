//! Limits the arrivals per second at a server that may be cold.

use crate::gateway::fleet::config::ColdStart;
use crate::types::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// The window in which arrivals are counted.
const SECOND: Duration = Duration::from_millis(1_000);
/// Number of granters that may serve one server at the same time, because daemons have different
/// views of the fleet.
const GRANTERS: f64 = 2.0;
/// Number of daemons on each side of a network partition that may send to a cold server without a
/// grant, one request per second each.
const MAX_SHARERS: usize = 2;
/// Maximum share of the bound for daemons without a grant, on both sides of a network partition.
const SHARERS_SHARE: f64 = 0.25;
/// Share of the grants for the first granter of a server believed to be warm. The rest is for a
/// stand-in and for the first second of a successor. The first granter may only be slow to answer
/// and go on granting, so the shares must add up to the whole.
const WARM_SHARE: f64 = 0.75;

/// Maximum number of arrivals per second at one cold server, and its division among senders.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    per_second: f64,
}

impl ColdBound {
    /// The bound for servers with the given cold start, using the deployment's ratio and slack.
    pub fn new(start: &ColdStart, ratio: f64, slack: f64) -> Self {
        Self { per_second: start.per_second * ratio + slack }
    }

    /// Number of daemons on one side of a network partition that may send without a grant.
    pub fn sharers(&self) -> usize {
        ((self.per_second * SHARERS_SHARE / GRANTERS).floor() as usize).min(MAX_SHARERS)
    }

    /// Grants per second of one granter to a server that may be cold.
    fn cold_grants(&self) -> usize {
        ((self.all_grants() / GRANTERS).floor() as usize).max(1)
    }

    /// Grants per second to a server believed to be warm. It may turn cold before anyone learns of
    /// it.
    fn warm_grants(&self) -> usize {
        ((self.all_grants() * WARM_SHARE).floor() as usize).max(1)
    }

    /// Grants per second of a granter in its first second, and of a stand-in.
    fn first_second_grants(&self) -> usize {
        (self.all_grants().floor() as usize).saturating_sub(self.warm_grants())
    }

    /// Grants per second of all granters together.
    fn all_grants(&self) -> f64 {
        self.per_second - self.sharers() as f64 * GRANTERS
    }
}

/// The believed state of a server whose service has a cold start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRule {
    /// The bound.
    pub bound: ColdBound,
    /// Whether the server is cold or may be.
    pub cold: bool,
    /// Whether another daemon precedes this one as granter but did not answer some daemon in time.
    /// It may go on granting its own share to others.
    pub is_stand_in: bool,
}

impl ColdRule {
    /// Maximum number of arrivals that this granter allows in any second.
    pub fn max_arrivals(&self) -> usize {
        match (self.cold, self.is_stand_in) {
            // The first granter may believe that the server is warm.
            (true, true) => self.bound.cold_grants().min(self.bound.first_second_grants().max(1)),
            (true, false) => self.bound.cold_grants(),
            (false, true) => self.bound.first_second_grants().max(1),
            (false, false) => self.bound.warm_grants(),
        }
    }
}

/// Counts the arrivals at one server. A request counts from its grant until one second after its
/// start is reported, so it is counted in the second in which it arrived, however late it was sent.
#[derive(Debug, Clone)]
pub struct ColdWindow {
    since: Time,
    arrived: VecDeque<Time>,
}

impl ColdWindow {
    /// Creates the window of a granter that does not know the grants given by others before
    /// `since`.
    pub fn new(since: Time) -> Self {
        Self { since, arrived: VecDeque::new() }
    }

    /// Records that a request has arrived by now.
    pub fn arrived(&mut self, now: Time) {
        self.arrived.push_back(now);
    }

    /// Number of requests that count, including `in_flight` ones without a report yet.
    fn count(&mut self, now: Time, in_flight: usize) -> usize {
        while self.arrived.front().is_some_and(|at| now.since(*at) >= SECOND) {
            self.arrived.pop_front();
        }
        self.arrived.len() + in_flight
    }

    /// Maximum number of arrivals allowed per second at the moment.
    fn max_arrivals(&self, now: Time, rule: &ColdRule) -> usize {
        match (now.since(self.since) < SECOND, rule.cold) {
            (true, true) => 0,
            (true, false) => rule.bound.first_second_grants(),
            (false, _) => rule.max_arrivals(),
        }
    }

    /// Returns whether one more request may be sent.
    pub fn has_room(&mut self, now: Time, in_flight: usize, rule: &ColdRule) -> bool {
        self.count(now, in_flight) < self.max_arrivals(now, rule)
    }

    /// How long the last of `waiting` requests has to wait.
    pub fn wait(
        &mut self,
        now: Time,
        in_flight: usize,
        waiting: usize,
        rule: &ColdRule,
    ) -> Duration {
        let unknown_for = SECOND.saturating_sub(now.since(self.since));
        let initial = match self.has_room(now, in_flight + waiting.saturating_sub(1), rule) {
            true => Duration::ZERO,
            false => unknown_for,
        };
        let excess = (self.count(now, in_flight) + waiting).saturating_sub(rule.max_arrivals());
        initial + SECOND.mul_f64(excess as f64 / rule.max_arrivals() as f64)
    }
}
