//! Breakers: backend servers that keep failing are left alone for a while.

use crate::types::{EngineName, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// When a breaker opens and closes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Patience {
    /// Failures in a row that open it.
    pub failures: u32,
    /// How long it stays open the first time; doubles with each further time.
    pub open_for: Duration,
    /// The longest it stays open.
    pub open_cap: Duration,
    /// Of the servers there are, this share stays in use whatever happens, in percent.
    pub floor_percent: usize,
}

impl Default for Patience {
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

/// One breaker for each backend server.
#[derive(Debug, Clone, Default)]
pub struct Breakers {
    patience: Patience,
    all: BTreeMap<EngineName, Breaker>,
}

impl Breakers {
    /// Breakers that are all closed.
    pub fn new(patience: Patience) -> Self {
        Self { patience, all: BTreeMap::new() }
    }

    /// The server answered.
    pub fn success(&mut self, server: &EngineName) {
        self.all.remove(server);
    }

    /// The server failed.
    pub fn failure(&mut self, now: Time, server: &EngineName) {
        let patience = &self.patience;
        let breaker = self.all.entry(server.clone()).or_default();
        breaker.failures += 1;
        if breaker.failures < patience.failures {
            return;
        }
        let factor = 2_u32.saturating_pow(breaker.times_open);
        let span = patience.open_for.saturating_mul(factor).min(patience.open_cap);
        breaker.open_until = Some(now + span);
        breaker.times_open += 1;
        breaker.failures = 0;
    }

    /// True if the server is to be left alone now.
    pub fn is_open(&self, now: Time, server: &EngineName) -> bool {
        let until = self.all.get(server).and_then(|breaker| breaker.open_until);
        until.is_some_and(|until| now < until)
    }

    /// The servers to use: those that are not left alone, but never fewer than the floor.
    pub fn usable(&self, now: Time, servers: &[EngineName]) -> Vec<EngineName> {
        let mut closed: Vec<EngineName> =
            servers.iter().filter(|s| !self.is_open(now, s)).cloned().collect();
        let floor = (servers.len() * self.patience.floor_percent).div_ceil(100);
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
