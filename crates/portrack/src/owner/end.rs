//! How a reservation ended.

use serde::{Deserialize, Serialize};

/// What the entry node knows of a request when it gives its place back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The engine certainly runs nothing of it.
    Ended,
    /// The engine refused it because it does not hold the adapter.
    Missing,
    /// The engine may still run it; its reports will tell.
    Unsure,
}

impl End {
    /// The end of a request that the engine was told of.
    pub fn of(ended: bool) -> Self {
        match ended {
            true => Self::Ended,
            false => Self::Unsure,
        }
    }
}
