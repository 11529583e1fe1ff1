//! Streams of chunks from an engine.

use super::{Chunk, ChunkCheck, ChunkVerdict};
use crate::http1::bounds::MAX_EVENT_BYTES;
use crate::types::ReservationId;
use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures_util::stream::LocalBoxStream;
use futures_util::{Stream, StreamExt};
use snafu::Snafu;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A stream that receives nothing for this long counts as broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a stream stopped before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum StreamError {
    /// The connection broke or was idle for too long.
    #[snafu(display("the connection to the engine broke"))]
    Broken,
    /// Chunks are missing.
    #[snafu(display("chunks of the stream are missing"))]
    Gap,
}

/// Yields each chunk of one request exactly once and in order.
pub struct ChunkStream {
    events: LocalBoxStream<'static, Result<Event, StreamError>>,
    check: ChunkCheck,
    dropped: u64,
}

impl ChunkStream {
    /// Reads server-sent events from `bytes`, continuing at the position that `check` expects.
    pub fn new<E>(
        bytes: impl Stream<Item = Result<Bytes, E>> + 'static,
        check: ChunkCheck,
    ) -> Self {
        let pending = Rc::new(Cell::new(0));
        let received = pending.clone();
        let bytes = bytes.map(move |part| {
            let part = part.map_err(|_| StreamError::Broken)?;
            received.set(received.get() + part.len());
            match received.get() > MAX_EVENT_BYTES {
                true => Err(StreamError::Broken),
                false => Ok(part),
            }
        });
        let events = bytes.eventsource().map(move |event| {
            pending.set(0);
            event.map_err(|_| StreamError::Broken)
        });
        Self { events: events.boxed_local(), check, dropped: 0 }
    }

    /// Returns the next chunk. A stream that ends without `[DONE]` is broken.
    pub async fn next(&mut self) -> Result<Chunk, StreamError> {
        loop {
            let next = actix_rt::time::timeout(IDLE_TIMEOUT, self.events.next()).await;
            let event = next.ok().flatten().ok_or(StreamError::Broken)??;
            let position = self.check.next();
            match self.check.check_event(&event.id) {
                ChunkVerdict::Take => return Ok(Chunk { position, data: event.data }),
                ChunkVerdict::Repeated | ChunkVerdict::Foreign => self.dropped += 1,
                ChunkVerdict::Gap => return Err(StreamError::Gap),
            }
        }
    }

    /// Number of chunks dropped because they were repeated or of another request.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// The id of the request.
    pub fn id(&self) -> ReservationId {
        self.check.id()
    }

    /// Returns the state of the check, for resuming the stream.
    pub fn into_check(self) -> ChunkCheck {
        self.check
    }
}
