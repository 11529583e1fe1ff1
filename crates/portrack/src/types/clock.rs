//! Time sources.

use super::Time;
use std::cell::Cell;
use std::rc::Rc;

/// A monotonic clock that counts suspended time.
pub trait Clock {
    /// The time now.
    fn now(&self) -> Time;
}

/// The operating system's boot-time clock (`CLOCK_BOOTTIME`).
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Time {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
        let millis = u64::try_from(now.tv_nsec / 1_000_000).unwrap_or(0);
        Time(seconds * 1_000 + millis)
    }
}

/// A clock that is advanced explicitly; clones share the same time.
#[derive(Debug, Clone, Default)]
pub struct ManualClock(Rc<Cell<u64>>);

impl ManualClock {
    /// Moves the clock forward by `millis`.
    pub fn advance(&self, millis: u64) {
        self.0.set(self.0.get() + millis);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Time {
        Time(self.0.get())
    }
}
