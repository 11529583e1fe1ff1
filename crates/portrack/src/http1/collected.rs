//! Response bodies that are collected before they are forwarded, within bounds for each and for all of them.

use super::body::BodyEnd;
use super::bounds::{MAX_COLLECTED_BYTES, MAX_COLLECTED_TOTAL_BYTES};
use actix_http::body::{BodySize, MessageBody};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Size in bytes from which a body is collected in several blocks. One that grew as a whole would hold up to twice its
/// size: the memory that it has left is not given back at once.
const BLOCK: usize = 64 * 1024;

/// Counts the bytes of all bodies that are held; clones share the count.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    held: Rc<Cell<usize>>,
    max_each: usize,
    max_total: usize,
}

impl Default for BodyMemory {
    fn default() -> Self {
        Self::new(MAX_COLLECTED_BYTES, MAX_COLLECTED_TOTAL_BYTES)
    }
}

/// A body that is being collected. Its bytes count until it is dropped.
#[derive(Debug)]
pub struct BodyCollector {
    memory: BodyMemory,
    /// The body so far, in order.
    blocks: Vec<BytesMut>,
    /// Its length.
    counted: usize,
}

/// A whole body. Its bytes count until it is dropped.
#[derive(Debug)]
pub struct CollectedBody {
    /// The body.
    pub bytes: Bytes,
    /// What told its end.
    pub end: BodyEnd,
    _counted: BodyCollector,
}

impl BodyMemory {
    /// Holds bodies of at most `max_each` bytes, and `max_total` bytes together.
    pub fn new(max_each: usize, max_total: usize) -> Self {
        Self { held: Rc::default(), max_each, max_total }
    }

    /// Starts an empty body.
    pub fn collector(&self) -> BodyCollector {
        BodyCollector { memory: self.clone(), blocks: Vec::new(), counted: 0 }
    }

    /// Number of bytes held.
    pub fn held(&self) -> usize {
        self.held.get()
    }
}

impl BodyCollector {
    /// Adds bytes. Returns false if the body, or all bodies together, would become too large.
    #[must_use]
    pub fn push(&mut self, part: &[u8]) -> bool {
        let held = self.memory.held.get() + part.len();
        let is_too_large = self.counted + part.len() > self.memory.max_each;
        if is_too_large || held > self.memory.max_total {
            return false;
        }
        self.memory.held.set(held);
        self.counted += part.len();
        match self.blocks.last_mut().filter(|block| block.len() + part.len() <= BLOCK) {
            Some(block) => block.extend_from_slice(part),
            None => self.blocks.push(part.into()),
        }
        true
    }

    /// The whole body.
    pub fn finish(mut self, end: BodyEnd) -> CollectedBody {
        CollectedBody { bytes: self.join(), end, _counted: self }
    }

    fn join(&mut self) -> Bytes {
        if self.blocks.len() <= 1 {
            return self.blocks.pop().unwrap_or_default().freeze();
        }
        let mut whole = BytesMut::with_capacity(self.counted);
        self.blocks.drain(..).for_each(|block| whole.extend_from_slice(&block));
        whole.freeze()
    }
}

impl Drop for BodyCollector {
    fn drop(&mut self) {
        self.memory.held.set(self.memory.held.get() - self.counted);
    }
}

impl MessageBody for CollectedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let bytes = std::mem::take(&mut self.bytes);
        Poll::Ready((!bytes.is_empty()).then_some(Ok(bytes)))
    }
}
