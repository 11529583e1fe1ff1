//! Times of a request and of the chunks of its response, for the log.

use crate::types::Time;
use std::cell::Cell;
use std::time::Duration;

/// Minimum number of chunks to compute their mean gap.
const MIN_CHUNKS: u32 = 6;

/// The times of one request.
#[derive(Debug, Default)]
pub struct Timings {
    sent: Cell<Option<Time>>,
    first_chunk: Cell<Option<Time>>,
    last_chunk: Cell<Option<Time>>,
    longest_pause: Cell<Duration>,
    chunks: Cell<u32>,
}

impl Timings {
    /// Records that the request is sent to a server, for the first time or again.
    pub fn record_sent(&self, now: Time) {
        self.sent.set(Some(now));
    }

    /// When it was last sent; `None` if it was not.
    pub fn sent(&self) -> Option<Time> {
        self.sent.get()
    }

    /// Records that a chunk of the response has arrived.
    pub fn record_chunk(&self, now: Time) {
        self.chunks.set(self.chunks.get() + 1);
        if self.first_chunk.get().is_none() {
            self.first_chunk.set(Some(now));
        }
        if let Some(previous) = self.last_chunk.replace(Some(now)) {
            let pause = now.since(previous);
            self.longest_pause.set(self.longest_pause.get().max(pause));
        }
    }

    /// Time from the request's arrival to its last send, in milliseconds; -1 if it was never sent.
    pub fn sent_ms(&self, arrived: Time) -> i64 {
        millis(arrived, self.sent.get())
    }

    /// Time from the request's arrival to the first chunk of the response, in milliseconds; -1 without one.
    pub fn first_ms(&self, arrived: Time) -> i64 {
        millis(arrived, self.first_chunk.get())
    }

    /// Mean time between chunks; `None` if there were too few.
    pub fn mean_event_gap(&self) -> Option<Duration> {
        let span = self.last_chunk.get()?.since(self.first_chunk.get()?);
        let chunks = self.chunks.get();
        (chunks >= MIN_CHUNKS).then(|| span / (chunks - 1))
    }

    /// Longest time between two chunks.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause.get()
    }
}

fn millis(from: Time, to: Option<Time>) -> i64 {
    to.and_then(|to| i64::try_from(to.since(from).as_millis()).ok()).unwrap_or(-1)
}
