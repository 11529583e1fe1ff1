//! Circuit breakers: backend servers that fail repeatedly are avoided for a while.

use crate::types::{EngineName, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// When a breaker opens and closes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BreakerConfig {
    /// Consecutive failures that open the breaker.
    pub failures: u32,
    /// Time that it stays open at first; doubles each time it opens again.
    pub open_for: Duration,
    /// Upper bound of the time that it stays open.
    pub open_cap: Duration,
    /// Minimum share of servers that stay in use even if their breakers are open, in percent.
    pub floor_percent: usize,
}

impl Default for BreakerConfig {
    fn default() -> Self {
        Self {
            failures: 3,
            open_for: Duration::from_secs(1),
            open_cap: Duration::from_secs(30),
            floor_percent: 50,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct Breaker {
    failures: u32,
    times_open: u32,
    open_until: Option<Time>,
}

/// The circuit breakers of all backend servers.
#[derive(Debug, Clone, Default)]
pub struct Breakers {
    config: BreakerConfig,
    all: BTreeMap<EngineName, Breaker>,
}

impl Breakers {
    /// Creates a set in which every breaker is closed.
    pub fn new(config: BreakerConfig) -> Self {
        Self { config, all: BTreeMap::new() }
    }

    /// Records a success, which closes the breaker.
    pub fn success(&mut self, server: &EngineName) {
        self.all.remove(server);
    }

    /// Records a failure.
    pub fn failure(&mut self, now: Time, server: &EngineName) {
        let config = &self.config;
        let breaker = self.all.entry(server.clone()).or_default();
        breaker.failures += 1;
        if breaker.failures < config.failures {
            return;
        }
        let factor = 2_u32.saturating_pow(breaker.times_open);
        let span = config.open_for.saturating_mul(factor).min(config.open_cap);
        breaker.open_until = Some(now + span);
        breaker.times_open += 1;
        breaker.failures = 0;
    }

    /// Whether the breaker of this server is open.
    pub fn is_open(&self, now: Time, server: &EngineName) -> bool {
        let until = self.all.get(server).and_then(|breaker| breaker.open_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the servers with closed breakers. If these are fewer than the minimum share, adds those
    /// whose breakers close first.
    pub fn usable(&self, now: Time, servers: &[EngineName]) -> Vec<EngineName> {
        let mut closed: Vec<EngineName> =
            servers.iter().filter(|s| !self.is_open(now, s)).cloned().collect();
        let floor = (servers.len() * self.config.floor_percent).div_ceil(100);
        if closed.len() >= floor {
            return closed;
        }
        let mut open: Vec<&EngineName> = servers.iter().filter(|s| self.is_open(now, s)).collect();
        open.sort_by_key(|s| self.all.get(*s).and_then(|breaker| breaker.open_until));
        let missing = floor - closed.len();
        closed.extend(open.into_iter().take(missing).cloned());
        closed
    }
}
