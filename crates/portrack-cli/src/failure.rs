//! Why a command failed, and its exit code.

use std::fmt;
use std::process::ExitCode;

/// Exit codes: 1 for a failure on the way, 2 for bad input, 3 for a conflict with another
/// operator, 4 for an outcome that is not known, 5 for a broken promise in the demonstration.
#[derive(Debug)]
pub enum Failure {
    /// The daemon cannot be reached, or refuses.
    Daemon(String),
    /// The input is bad.
    Input(String),
    /// Another operator changed the same value.
    Conflict(String),
    /// The change may or may not have been accepted.
    Unknown(String),
    /// The demonstration found broken promises.
    Broken(usize),
}

impl Failure {
    /// The code that the process ends with.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Daemon(_) => 1,
            Self::Input(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unknown(_) => 4,
            Self::Broken(_) => 5,
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Daemon(what) | Self::Input(what) => f.write_str(what),
            Self::Conflict(what) => write!(f, "conflict: {what}"),
            Self::Unknown(what) => write!(f, "not known: {what}"),
            Self::Broken(count) => write!(f, "{count} promises were broken"),
        }
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Self::Daemon(error.to_string())
    }
}
