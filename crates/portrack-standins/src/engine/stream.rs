//! One request's stream, kept so that it can be resumed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Chunks so far.
#[derive(Default)]
pub struct StreamState {
    pub id: String,
    pub model: String,
    pub prompt: String,
    pub chat: bool,
    pub tokens: usize,
    pub made: Cell<usize>,
    pub chunks: RefCell<Vec<String>>,
    /// The engine will add nothing more.
    pub closed: Cell<bool>,
    /// Readers are cut off, as by a restart.
    pub broken: Cell<bool>,
    pub grown: Notify,
}

/// A shared stream.
pub type Shared = Rc<StreamState>;

impl StreamState {
    /// Adds a chunk and wakes readers.
    pub fn push(&self, chunk: String) {
        self.chunks.borrow_mut().push(chunk);
        self.grown.notify_waiters();
    }

    /// Nothing more comes.
    pub fn close(&self) {
        self.closed.set(true);
        self.grown.notify_waiters();
    }

    /// Cuts readers off.
    pub fn break_off(&self) {
        self.broken.set(true);
        self.close();
    }
}
