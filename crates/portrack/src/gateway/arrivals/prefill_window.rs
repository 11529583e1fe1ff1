//! Tracks the prompt tokens recently granted on a server.
//!
//! Each engine step may prefill a piece of a prompt, and an event of a stream takes several steps.
//! Everything prefilled within the time between events therefore pauses every stream of the server.

use super::prefill_rate::prefill_time;
use crate::types::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Limits the tokens that may start within a time span.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillLimit {
    /// The longest gap between events that meets the objective.
    pub span: Duration,
    /// Tokens that can be prefilled within the span in addition to the steps of one event.
    pub tokens: f64,
    /// Prefill rate in tokens per millisecond.
    pub rate: f64,
}

impl PrefillLimit {
    /// The limit if an event usually takes `event` of a gap of at most `span`.
    pub fn new(span: Duration, event: Duration, rate: f64) -> Self {
        let prefill = span.saturating_sub(event).as_millis() as f64;
        Self { span, tokens: prefill * rate, rate }
    }
}

/// The prompts recently started on one server.
#[derive(Debug, Clone, Default)]
pub struct PrefillWindow {
    started: VecDeque<(Time, f64)>,
    busy_until: Time,
}

impl PrefillWindow {
    /// Tokens started within the last `span`.
    fn tokens_within(&self, now: Time, span: Duration) -> f64 {
        let recent = self.started.iter().rev().take_while(|(at, _)| now.since(*at) < span);
        recent.map(|(_, tokens)| tokens).sum()
    }

    /// Returns whether a prompt may start. A prompt larger than the limit starts when nothing else
    /// does.
    ///
    /// `unconfirmed` tokens started earlier without a report yet, because the server is slower than
    /// estimated.
    pub fn fits(&self, now: Time, tokens: u32, unconfirmed: f64, limit: &PrefillLimit) -> bool {
        let within = self.tokens_within(now, limit.span) + unconfirmed;
        within <= 0.0 || within + f64::from(tokens) <= limit.tokens
    }

    /// How long a prompt waits behind `ahead` other waiting tokens.
    pub fn wait(&self, now: Time, ahead: f64, tokens: u32, limit: &PrefillLimit) -> Duration {
        let all = self.tokens_within(now, limit.span) + ahead + f64::from(tokens);
        let excess = (all - limit.tokens).max(0.0);
        limit.span.mul_f64((excess / limit.tokens.max(1.0)).min(1_000.0))
    }

    /// Records the start of a prompt.
    pub fn take(&mut self, now: Time, tokens: u32, limit: &PrefillLimit) {
        while self.started.front().is_some_and(|(at, _)| now.since(*at) >= limit.span) {
            self.started.pop_front();
        }
        self.started.push_back((now, f64::from(tokens)));
        let prefill = prefill_time(f64::from(tokens), limit.rate);
        self.busy_until = self.busy_until.max(now) + prefill;
    }

    /// Removes a prompt that was granted but not sent.
    pub fn refund(&mut self, at: Time, tokens: u32) {
        let tokens = f64::from(tokens);
        if let Some(index) = self.started.iter().position(|started| *started == (at, tokens)) {
            self.started.remove(index);
        }
    }

    /// Estimated time until the server has prefilled everything started.
    pub fn backlog(&self, now: Time) -> Duration {
        self.busy_until.since(now)
    }
}
