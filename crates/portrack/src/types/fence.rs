//! The number that tells a newer owner from an older one.

use super::{Instance, Time};
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// A fencing token. An engine refuses orders below the highest it has accepted.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence(pub u64);

impl Fence {
    /// The next higher fence.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Makes fences that no other daemon makes, also after an engine has restarted and forgotten how
/// high they were: wall-clock milliseconds, then the daemon's mark.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FenceMaker {
    /// Wall-clock milliseconds at [`Time`] zero.
    wall_at_zero: u64,
    mark: u16,
}

impl FenceMaker {
    /// A maker for a daemon that started at `now` with this incarnation, which is the wall clock's.
    pub fn new(me: &Instance, now: Time) -> Self {
        let wall_at_zero = me.incarnation.saturating_sub(now.0);
        Self { wall_at_zero, mark: xxh3_64(me.to_string().as_bytes()) as u16 }
    }

    /// A fence above `highest`.
    pub fn above(&self, highest: Fence, now: Time) -> Fence {
        let wall = self.wall_at_zero.saturating_add(now.0);
        let stamp = (wall << u16::BITS) | u64::from(self.mark);
        highest.next().max(Fence(stamp))
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
