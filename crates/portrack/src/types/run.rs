//! What is known about whether a failed request ran.

use serde::{Deserialize, Serialize};

/// Written into every refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Run {
    /// The request certainly did not run.
    No,
    /// The request may have run, in part or whole.
    Unknown,
}

impl Run {
    /// The value as header and log text.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}
