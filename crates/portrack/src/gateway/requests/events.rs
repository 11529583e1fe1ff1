//! Forwards an event stream, event by event if it may be resumed.

use super::scanner::EventScanner;
use bytes::{Bytes, BytesMut};

/// The events of one reply, and the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    /// Only complete events are passed on. Otherwise all bytes are, as they arrive.
    complete_only: bool,
    partial: BytesMut,
    last_id: Option<String>,
    has_events: bool,
}

impl EventSplitter {
    /// Passes on complete events only, so that the stream may be resumed after the last one.
    pub fn complete_only() -> Self {
        Self { complete_only: true, ..Self::default() }
    }

    /// Adds bytes and returns those to pass on, if any.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        let end = self.scanner.scan(&bytes);
        self.has_events |= end.is_some();
        if !self.complete_only {
            return Some(bytes);
        }
        let before = self.partial.len();
        self.partial.extend_from_slice(&bytes);
        let complete = self.partial.split_to(before + end?).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        (!complete.is_empty()).then_some(complete)
    }

    /// Number of bytes held of an event that is not complete.
    pub fn held_bytes(&self) -> usize {
        self.partial.len()
    }

    /// The id of the last complete event, if complete events are passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether some event was complete.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Whether the stream so far ends outside of an event.
    pub fn is_between_events(&self) -> bool {
        self.scanner.is_between_events()
    }

    /// Begins with the response of another server: an incomplete event of the last one is discarded.
    pub fn begin_response(&mut self) {
        self.scanner = EventScanner::default();
        self.partial.clear();
    }

    /// Takes the bytes that follow the last complete event of a complete stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
