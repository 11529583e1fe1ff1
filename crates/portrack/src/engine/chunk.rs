//! Chunks of a stream, and the check that each is the next one of its own request.

use crate::types::ReservationId;
use std::str::FromStr;

/// One chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Its place in the stream, from 0.
    pub position: u64,
    /// The JSON text, or `[DONE]`.
    pub data: String,
}

impl Chunk {
    /// True for the mark at the end of every whole stream.
    pub fn is_end(&self) -> bool {
        self.data == "[DONE]"
    }
}

/// What becomes of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// It is the next one.
    Take,
    /// It has been taken before: drop it.
    Repeated,
    /// It belongs to another request, or to none: drop it.
    Foreign,
    /// Chunks before it are missing: resume the stream.
    Gap,
}

/// Checks the id line of each event, `REQUEST/POSITION`.
#[derive(Debug, Clone)]
pub struct ChunkCheck {
    id: ReservationId,
    next: u64,
}

impl ChunkCheck {
    /// Expects the stream of this request from its beginning.
    pub fn new(id: ReservationId) -> Self {
        Self { id, next: 0 }
    }

    /// Judges an event by its id line; a taken one moves the expectation on.
    pub fn judge(&mut self, event_id: &str) -> ChunkVerdict {
        let Some((request, position)) = event_id.split_once('/') else {
            return ChunkVerdict::Foreign;
        };
        let (Ok(request), Ok(position)) =
            (ReservationId::from_str(request), position.parse::<u64>())
        else {
            return ChunkVerdict::Foreign;
        };
        if request != self.id {
            return ChunkVerdict::Foreign;
        }
        match position.cmp(&self.next) {
            std::cmp::Ordering::Less => ChunkVerdict::Repeated,
            std::cmp::Ordering::Greater => ChunkVerdict::Gap,
            std::cmp::Ordering::Equal => {
                self.next += 1;
                ChunkVerdict::Take
            }
        }
    }

    /// The position of the next chunk.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The request.
    pub fn id(&self) -> ReservationId {
        self.id
    }
}
