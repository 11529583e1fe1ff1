//! The number of a daemon's life, which others order by: it rises with every start.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The number of this daemon's life; clones share it.
///
/// It is the time of day at the start, in milliseconds, so that nothing has to be kept on a node. A clock may have
/// gone back since a former life: others then say which number they know, and it rises above that.
#[derive(Debug, Clone)]
pub struct Incarnation(Rc<Cell<u64>>);

impl Incarnation {
    /// The life that begins now.
    pub fn now() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self::new(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }

    /// A life of this number.
    pub fn new(number: u64) -> Self {
        Self(Rc::new(Cell::new(number)))
    }

    /// The number.
    pub fn number(&self) -> u64 {
        self.0.get()
    }

    /// Rises above the number of a former life; false if it is above already.
    pub fn raise_above(&self, former: u64) -> bool {
        let rises = former > self.0.get();
        if rises {
            self.0.set(former.saturating_add(1));
        }
        rises
    }
}
