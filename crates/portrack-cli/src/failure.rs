//! Errors of commands and their exit codes.

use std::fmt;
use std::process::ExitCode;

/// Error of a command. Exit codes: 1 for an unreachable or refusing daemon or an I/O error, 2 for invalid
/// input, 3 for a conflict with another operator, 4 for an unknown outcome, 5 for a guarantee violated in
/// the demonstration.
#[derive(Debug)]
pub enum Failure {
    /// The daemon cannot be reached or refused the request.
    Daemon(String),
    /// The input is invalid.
    Input(String),
    /// Another operator changed the same value.
    Conflict(String),
    /// The change may or may not have been accepted.
    Unknown(String),
    /// The demonstration found violated guarantees; holds their number.
    Broken(usize),
}

impl Failure {
    /// The exit code of the process.
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
            Self::Unknown(what) => write!(f, "outcome unknown: {what}"),
            Self::Broken(count) => write!(f, "{count} violations of guarantees"),
        }
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Self::Daemon(error.to_string())
    }
}
