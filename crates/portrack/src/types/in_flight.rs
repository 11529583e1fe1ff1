//! Counts requests in flight, so that a stop can wait for them.

use std::cell::Cell;
use std::rc::Rc;

/// A shared count of requests in flight.
#[derive(Debug, Clone, Default)]
pub struct InFlight(Rc<Cell<usize>>);

/// Counts one request until dropped.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Cell<usize>>);

impl InFlight {
    /// Counts one more request.
    pub fn enter(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(self.0.clone())
    }

    /// Number of requests in flight.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
