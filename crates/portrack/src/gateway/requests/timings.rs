//! When the parts of a request's answer came, for its log line.

use crate::types::Time;
use std::cell::Cell;
use std::time::Duration;

/// Parts of an answer that tell how far apart they come.
const LEAST_PARTS: u32 = 6;

/// The times of one request.
#[derive(Debug, Default)]
pub struct Timings {
    sent: Cell<Option<Time>>,
    first_part: Cell<Option<Time>>,
    last_part: Cell<Option<Time>>,
    longest_pause: Cell<Duration>,
    parts: Cell<u32>,
}

impl Timings {
    /// The request is sent to a server, again if it was before.
    pub fn record_sent(&self, now: Time) {
        self.sent.set(Some(now));
    }

    /// A part of the answer came.
    pub fn record_chunk(&self, now: Time) {
        self.parts.set(self.parts.get() + 1);
        if self.first_part.get().is_none() {
            self.first_part.set(Some(now));
        }
        if let Some(before) = self.last_part.replace(Some(now)) {
            let pause = now.since(before);
            self.longest_pause.set(self.longest_pause.get().max(pause));
        }
    }

    /// From the request's arrival to its last send, in milliseconds; -1 if it was never sent.
    pub fn sent_ms(&self, arrived: Time) -> i64 {
        millis(arrived, self.sent.get())
    }

    /// From the request's arrival to the first part of its answer, in milliseconds; -1 without one.
    pub fn first_ms(&self, arrived: Time) -> i64 {
        millis(arrived, self.first_part.get())
    }

    /// How far apart the parts came on average; `None` if there were too few to tell.
    pub fn mean_event_gap(&self) -> Option<Duration> {
        let apart = self.last_part.get()?.since(self.first_part.get()?);
        let parts = self.parts.get();
        (parts >= LEAST_PARTS).then(|| apart / (parts - 1))
    }

    /// The longest pause between two parts.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause.get()
    }
}

fn millis(from: Time, to: Option<Time>) -> i64 {
    to.and_then(|to| i64::try_from(to.since(from).as_millis()).ok()).unwrap_or(-1)
}
