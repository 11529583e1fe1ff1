//! Why a daemon does not start.

use crate::settings::SettingsError;
use crate::wire::KeyRingError;
use snafu::Snafu;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Errors of the start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// A listener cannot be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file that the settings name is bad.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// What is wrong.
        source: SettingsError,
    },
    /// The key file is bad.
    #[snafu(display("{}: {source}", file.display()))]
    Keys {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        source: KeyRingError,
    },
}
