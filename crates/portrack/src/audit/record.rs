//! A record of the audit trail.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Identifies a change, so that its result can be looked up if the answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId(pub u128);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ChangeId {
    type Err = std::num::ParseIntError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<String> for ChangeId {
    type Error = std::num::ParseIntError;
    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ChangeId> for String {
    fn from(id: ChangeId) -> Self {
        id.to_string()
    }
}

/// Who changed what, when and why. Written in the same transaction as the change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditRecord {
    /// The change.
    pub id: ChangeId,
    /// The operator.
    pub who: String,
    /// Unix time in milliseconds, by the clock of the daemon that accepted the change.
    pub at_unix_ms: u64,
    /// The operator's reason.
    pub why: String,
    /// The setting that was changed, for instance `fleet/hall:a stall_weight`.
    pub what: String,
    /// The value before, as JSON; `null` if there was none.
    pub before: String,
    /// The value after, as JSON; `null` if it was removed.
    pub after: String,
}
