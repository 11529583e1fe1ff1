//! The prompt tokens that a server was let begin lately.
//!
//! Each step of an engine may read a piece of a prompt, and an event of a stream waits for several steps:
//! what is read within the time between events makes one pause for every stream of the server.

use super::pace::reading_time;
use crate::types::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// How many tokens may begin within which time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillLimit {
    /// The longest pause of an answer in time.
    pub span: Duration,
    /// Tokens that are read within it beside the steps of one event.
    pub tokens: f64,
    /// Tokens read in a millisecond.
    pub pace: f64,
}

impl PrefillLimit {
    /// The limit where an event usually takes `event` of a pause of at most `span`.
    pub fn new(span: Duration, event: Duration, pace: f64) -> Self {
        let reading = span.saturating_sub(event).as_millis() as f64;
        Self { span, tokens: reading * pace, pace }
    }
}

/// What one server was let begin.
#[derive(Debug, Clone, Default)]
pub struct PrefillWindow {
    begun: VecDeque<(Time, f64)>,
    busy_until: Time,
}

impl PrefillWindow {
    /// Tokens begun within the last `span`.
    fn within(&self, now: Time, span: Duration) -> f64 {
        let recent = self.begun.iter().rev().take_while(|(at, _)| now.since(*at) < span);
        recent.map(|(_, tokens)| tokens).sum()
    }

    /// True if a prompt may begin. One that is longer than the limit begins where nothing else does.
    ///
    /// `unread` tokens began earlier and are not read yet: the server is slower than reckoned.
    pub fn fits(&self, now: Time, tokens: u32, unread: f64, limit: &PrefillLimit) -> bool {
        let within = self.within(now, limit.span) + unread;
        within <= 0.0 || within + f64::from(tokens) <= limit.tokens
    }

    /// How long a prompt waits behind `ahead` other tokens that wait.
    pub fn wait(&self, now: Time, ahead: f64, tokens: u32, limit: &PrefillLimit) -> Duration {
        let all = self.within(now, limit.span) + ahead + f64::from(tokens);
        let over = (all - limit.tokens).max(0.0);
        limit.span.mul_f64((over / limit.tokens.max(1.0)).min(1_000.0))
    }

    /// A prompt begins.
    pub fn take(&mut self, now: Time, tokens: u32, limit: &PrefillLimit) {
        while self.begun.front().is_some_and(|(at, _)| now.since(*at) >= limit.span) {
            self.begun.pop_front();
        }
        self.begun.push_back((now, f64::from(tokens)));
        let reading = reading_time(f64::from(tokens), limit.pace);
        self.busy_until = self.busy_until.max(now) + reading;
    }

    /// A prompt that was let begin was not sent.
    pub fn give_back(&mut self, at: Time, tokens: u32) {
        let tokens = f64::from(tokens);
        if let Some(place) = self.begun.iter().position(|begun| *begun == (at, tokens)) {
            self.begun.remove(place);
        }
    }

    /// How long the server reads what it was let begin, reckoned on.
    pub fn backlog(&self, now: Time) -> Duration {
        self.busy_until.since(now)
    }
}
