//! Response bodies that are collected before they are forwarded, within bounds for each and for all of them.

use super::body::BodyEnd;
use super::bounds::{MAX_COLLECTED_BYTES, MAX_COLLECTED_TOTAL_BYTES};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::rc::Rc;

/// Counts the bytes of all bodies that are held.
#[derive(Debug, Clone, Default)]
pub struct BodyMemory {
    held: Rc<Cell<usize>>,
}

/// A body that is being collected. Its bytes count until it is dropped.
#[derive(Debug)]
pub struct BodyCollector {
    memory: BodyMemory,
    body: BytesMut,
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
    /// Starts an empty body.
    pub fn collector(&self) -> BodyCollector {
        BodyCollector { memory: self.clone(), body: BytesMut::new(), counted: 0 }
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
        if self.body.len() + part.len() > MAX_COLLECTED_BYTES || held > MAX_COLLECTED_TOTAL_BYTES {
            return false;
        }
        self.memory.held.set(held);
        self.counted += part.len();
        self.body.extend_from_slice(part);
        true
    }

    /// The whole body.
    pub fn finish(mut self, end: BodyEnd) -> CollectedBody {
        let bytes = self.body.split().freeze();
        CollectedBody { bytes, end, _counted: self }
    }
}

impl Drop for BodyCollector {
    fn drop(&mut self) {
        self.memory.held.set(self.memory.held.get() - self.counted);
    }
}
