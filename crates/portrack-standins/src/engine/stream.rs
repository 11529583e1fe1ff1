//! The stream of one request, retained so that it can be resumed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// A request and the chunks generated for it so far.
#[derive(Default)]
pub struct StreamState {
    pub id: String,
    pub model: String,
    pub prompt: String,
    pub chat: bool,
    pub tokens: usize,
    pub tokens_made: Cell<usize>,
    pub chunks: RefCell<Vec<String>>,
    /// No more chunks follow.
    pub closed: Cell<bool>,
    /// Readers' connections are cut, as by a restart.
    pub aborted: Cell<bool>,
    pub updated: Notify,
}

/// A stream shared between the engine and its readers.
pub type SharedStream = Rc<StreamState>;

impl StreamState {
    /// Appends a chunk and wakes the readers.
    pub fn push(&self, chunk: String) {
        self.chunks.borrow_mut().push(chunk);
        self.updated.notify_waiters();
    }

    /// Marks the stream as complete and wakes the readers.
    pub fn close(&self) {
        self.closed.set(true);
        self.updated.notify_waiters();
    }

    /// Closes the stream and cuts the readers' connections.
    pub fn abort(&self) {
        self.aborted.set(true);
        self.close();
    }
}
