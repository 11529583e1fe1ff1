//! Whole events of a stream that may be resumed.

use bytes::{Bytes, BytesMut};

/// Hands on whole events only, and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes in and gives back all whole events so far.
    pub fn push(&mut self, part: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(part);
        let end = last_event_end(&self.partial)?;
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Forgets the part of an event at the end of a broken stream.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// What is left at the end of a stream.
    pub fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// The offset behind the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let blank = |pair: &[u8]| pair == b"\n\n";
    let unix = bytes.windows(2).rposition(blank).map(|at| at + 2);
    let dos = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
