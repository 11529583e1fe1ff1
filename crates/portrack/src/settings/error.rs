//! Errors of settings files.

use snafu::Snafu;
use std::path::PathBuf;

/// Errors of the bootstrap file and the files it names.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a key is unknown, missing or of the wrong type.
    #[snafu(display("{}:{line}: {message}", file.display()))]
    Parse {
        /// The file.
        file: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The problem, with the key.
        message: String,
    },
    /// A value is invalid or inconsistent with others.
    #[snafu(display("{}:{line}: {key}: {message}", file.display()))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The key.
        key: String,
        /// The problem.
        message: String,
    },
}
