//! Why a datagram or frame is dropped.

use snafu::Snafu;

/// Errors of the codec. Each is counted by `WireError::label`.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// Longer than allowed.
    #[snafu(display("{size} bytes exceed the limit of {limit}"))]
    TooLarge {
        /// Its size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// Shorter than its own header.
    #[snafu(display("truncated"))]
    Truncated,
    /// Another protocol version.
    #[snafu(display("protocol version {version} is not known"))]
    Version {
        /// The version found.
        version: u8,
    },
    /// No accepted key made this tag.
    #[snafu(display("the tag matches no accepted key"))]
    Tag,
    /// Meant for another cluster.
    #[snafu(display("from another cluster"))]
    Cluster,
    /// Meant for another node.
    #[snafu(display("meant for another node"))]
    Receiver,
    /// Not decodable.
    #[snafu(display("malformed: {source}"))]
    Malformed {
        /// What the decoder said.
        source: postcard::Error,
    },
    /// Seen before, or older than the window.
    #[snafu(display("replayed or too old"))]
    Replayed,
}

impl WireError {
    /// A short name for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::TooLarge { .. } => "too-large",
            Self::Truncated => "truncated",
            Self::Version { .. } => "version",
            Self::Tag => "tag",
            Self::Cluster => "cluster",
            Self::Receiver => "receiver",
            Self::Malformed { .. } => "malformed",
            Self::Replayed => "replayed",
        }
    }
}
