//! Why a datagram or frame is dropped.

use snafu::Snafu;

/// Errors of the codec. Each is counted by `WireError::label`.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// Larger than the limit.
    #[snafu(display("{size} bytes exceed the limit of {limit}"))]
    TooLarge {
        /// Its size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// Shorter than the header.
    #[snafu(display("truncated"))]
    Truncated,
    /// Unsupported protocol version.
    #[snafu(display("unsupported protocol version {version}"))]
    Version {
        /// The version found.
        version: u8,
    },
    /// The tag matches no accepted key.
    #[snafu(display("the tag matches no accepted key"))]
    Tag,
    /// Belongs to another cluster.
    #[snafu(display("belongs to another cluster"))]
    Cluster,
    /// Addressed to another node.
    #[snafu(display("addressed to another node"))]
    Receiver,
    /// Cannot be decoded.
    #[snafu(display("malformed: {source}"))]
    Malformed {
        /// The error of the decoder.
        source: postcard::Error,
    },
    /// Received before, or older than the replay window.
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
