//! Fencing tokens, which distinguish a newer owner from an older one.

use super::{Instance, Time};
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// A fencing token. An engine refuses orders with a lower fence than the highest it has accepted.
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

/// Generates fences that are unique to this daemon even if an engine has restarted and lost its
/// highest fence: wall-clock milliseconds followed by a hash of the daemon instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FenceMaker {
    /// Wall-clock milliseconds at [`Time`] zero.
    wall_at_zero: u64,
    instance_hash: u16,
}

impl FenceMaker {
    /// Creates a generator for a daemon that started at `now`. The incarnation must be the wall-clock
    /// time of the start in milliseconds.
    pub fn new(me: &Instance, now: Time) -> Self {
        let wall_at_zero = me.incarnation.saturating_sub(now.0);
        Self { wall_at_zero, instance_hash: xxh3_64(me.to_string().as_bytes()) as u16 }
    }

    /// Returns a fence above `highest`.
    pub fn above(&self, highest: Fence, now: Time) -> Fence {
        let wall = self.wall_at_zero.saturating_add(now.0);
        let stamp = (wall << u16::BITS) | u64::from(self.instance_hash);
        highest.next().max(Fence(stamp))
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
