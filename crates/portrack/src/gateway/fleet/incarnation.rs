//! The incarnation number of this daemon, which increases with every start.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The incarnation number of this daemon; clones share it.
///
/// It is the time of the start in milliseconds, so nothing has to be stored on a node. If the clock
/// has gone back since an earlier incarnation, other daemons report the number that they know, and
/// this one is raised above it.
#[derive(Debug, Clone)]
pub struct Incarnation(Rc<Cell<u64>>);

impl Incarnation {
    /// An incarnation that starts now.
    pub fn now() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self::new(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }

    /// An incarnation with the given number.
    pub fn new(number: u64) -> Self {
        Self(Rc::new(Cell::new(number)))
    }

    /// Returns the number.
    pub fn number(&self) -> u64 {
        self.0.get()
    }

    /// Raises the number above that of an earlier incarnation. Returns false if it is higher
    /// already.
    pub fn raise_above(&self, known: u64) -> bool {
        let is_lower = known > self.0.get();
        if is_lower {
            self.0.set(known.saturating_add(1));
        }
        is_lower
    }
}
