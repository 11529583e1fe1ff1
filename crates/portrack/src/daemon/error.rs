//! Startup errors.

use crate::settings::SettingsError;
use crate::wire::KeyRingError;
use snafu::Snafu;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a daemon cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// A listener cannot be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system error.
        source: std::io::Error,
    },
    /// A settings or token file is invalid.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// The cause.
        source: SettingsError,
    },
    /// The key file is invalid.
    #[snafu(display("{}: {source}", file.display()))]
    Keys {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: KeyRingError,
    },
}
