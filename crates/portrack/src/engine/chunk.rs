//! Chunks of a stream, and the check that each one is the next chunk of the expected request.

use crate::types::ReservationId;
use std::str::FromStr;

/// A chunk of a response stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Position in the stream, from 0.
    pub position: u64,
    /// The JSON text, or `[DONE]`.
    pub data: String,
}

impl Chunk {
    /// Whether this is the `[DONE]` marker that ends every complete stream.
    pub fn is_end(&self) -> bool {
        self.data == "[DONE]"
    }
}

/// The result of checking a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// The expected chunk: accept it.
    Take,
    /// It was accepted before: drop it.
    Repeated,
    /// It belongs to another request, or to none: drop it.
    Foreign,
    /// Chunks before it are missing: resume the stream.
    Gap,
}

/// Checks the id of each event, which has the form `REQUEST/POSITION`.
#[derive(Debug, Clone)]
pub struct ChunkCheck {
    id: ReservationId,
    next: u64,
}

impl ChunkCheck {
    /// Creates a check that expects the stream of this request from its beginning.
    pub fn new(id: ReservationId) -> Self {
        Self { id, next: 0 }
    }

    /// Checks an event by its id. An accepted event advances the expected position.
    pub fn check_event(&mut self, event_id: &str) -> ChunkVerdict {
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

    /// The position of the next expected chunk.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The id of the request.
    pub fn id(&self) -> ReservationId {
        self.id
    }
}
