//! Why a settings file cannot be used.

use snafu::Snafu;
use std::path::PathBuf;

/// Errors of the bootstrap file and the files it names.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// It cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// It is no TOML, or a key is unknown, missing or of a wrong type.
    #[snafu(display("{}:{line}: {message}", file.display()))]
    Parse {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong, with the key.
        message: String,
    },
    /// The keys do not fit together.
    #[snafu(display("{}:{line}: {key}: {message}", file.display()))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key.
        key: String,
        /// What is wrong.
        message: String,
    },
}
