//! Takes in what the answers to this daemon's requests say of their servers.

use super::belief::{LimitBelief, LimitEvidence};
use super::limit::{NamedLimit, RateLimit};
use crate::gateway::dialect::AnswerMeta;
use crate::gateway::fleet::backend::Backend;
use crate::types::Time;
use prometheus::{IntCounter, IntGauge};
use std::cell::RefCell;
use std::collections::HashMap;

/// What is counted.
pub struct BackpressureMetrics {
    /// Servers that name a limit now.
    pub limited: IntGauge,
    /// Answers that name a limit which cannot be read.
    pub unreadable: IntCounter,
}

/// What servers said of how much they take, by the marks of their lives.
pub struct Backpressure {
    limits: RefCell<HashMap<u32, LimitBelief>>,
    metrics: BackpressureMetrics,
}

impl Backpressure {
    /// Nothing heard yet.
    pub fn new(metrics: BackpressureMetrics) -> Self {
        Self { limits: RefCell::default(), metrics }
    }

    /// The limit that a life of a server names, if any.
    pub fn limit(&self, server: u32) -> Option<RateLimit> {
        self.limits.borrow().get(&server).and_then(LimitBelief::limit)
    }

    /// Takes in an answer to a request that was sent at `asked_at`.
    pub fn answered(&self, now: Time, backend: &Backend, asked_at: Time, meta: &AnswerMeta) {
        let limit = match meta.limit {
            NamedLimit::Named(limit) => Some(limit),
            NamedLimit::Unnamed => None,
            NamedLimit::Unreadable => {
                self.metrics.unreadable.inc();
                return;
            }
        };
        let before = self.limit(backend.mark());
        if self.take(backend.mark(), LimitEvidence { limit, asked_at, heard_at: now }) {
            log_change(&backend.id, before, limit, now.since(asked_at).as_millis() as u64);
        }
    }

    fn take(&self, server: u32, evidence: LimitEvidence) -> bool {
        let mut limits = self.limits.borrow_mut();
        let changed = match limits.get_mut(&server) {
            Some(belief) => belief.take(evidence),
            None => {
                limits.insert(server, LimitBelief::new(evidence));
                evidence.limit.is_some()
            }
        };
        if changed {
            let limited = limits.values().filter(|belief| belief.limit().is_some()).count();
            self.metrics.limited.set(limited as i64);
        }
        changed
    }

    /// Forgets servers that are gone.
    pub fn retain(&self, is_known: impl Fn(u32) -> bool) {
        self.limits.borrow_mut().retain(|server, _| is_known(*server));
    }
}

fn log_change(server: &str, before: Option<RateLimit>, now: Option<RateLimit>, age_ms: u64) {
    let rate = |limit: Option<RateLimit>| limit.map_or(-1.0, RateLimit::get);
    log::info!(
        server = server, per_second = rate(now), before = rate(before), age_ms = age_ms, source = "answer";
        "server_limit"
    );
}
