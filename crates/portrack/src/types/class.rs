//! The urgency of a request.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Interactive goes before background; background keeps a small guaranteed share.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Somebody is waiting.
    #[default]
    Interactive,
    /// May wait, but must arrive.
    Background,
}

impl Class {
    /// The class as header and log text.
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
