//! Urgency class of a request.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Urgency class. Interactive requests have priority; background requests keep a small share.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person waits for the response.
    #[default]
    Interactive,
    /// May be delayed, but must complete.
    Background,
}

impl Class {
    /// The class as written in headers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Background => "background",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = ();
    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "interactive" => Ok(Self::Interactive),
            "background" => Ok(Self::Background),
            _ => Err(()),
        }
    }
}
