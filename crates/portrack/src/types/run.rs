//! Whether a failed request may have run.

use serde::{Deserialize, Serialize};

/// Whether a failed request may have run; part of every refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Run {
    /// The request certainly did not run.
    No,
    /// The request may have run, partly or completely.
    Unknown,
}

impl Run {
    /// The value as written in headers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}
