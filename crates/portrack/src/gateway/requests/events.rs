//! Splits a resumable event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Passes on complete events only, and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = last_event_end(&self.partial)?;
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards the incomplete event at the end of a broken stream.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes the remaining bytes at the end of a stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// The offset after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let is_blank_line = |pair: &[u8]| pair == b"\n\n";
    let unix = bytes.windows(2).rposition(is_blank_line).map(|at| at + 2);
    let dos = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
