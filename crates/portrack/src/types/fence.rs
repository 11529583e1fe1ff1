//! The number that tells a newer owner from an older one.

use serde::{Deserialize, Serialize};
use std::fmt;

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

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
