//! Why bytes are no response, for logs and metrics.

use prometheus::{IntCounterVec, Opts};
use snafu::Snafu;
use std::fmt::Display;

/// Bytes that are no response. The messages hold none of the bytes, which may break a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ResponseError {
    /// The status line has no known version, or is malformed.
    #[snafu(display("invalid status line"))]
    StatusLine,
    /// No final response has this status.
    #[snafu(display("invalid status"))]
    Status,
    /// A line of the head does not end with CRLF.
    #[snafu(display("invalid line end"))]
    LineEnd,
    /// A line of the head is no field.
    #[snafu(display("invalid field"))]
    Field,
    /// The content length is no number.
    #[snafu(display("invalid content length"))]
    Length,
    /// There are several content lengths that differ.
    #[snafu(display("conflicting content lengths"))]
    ConflictingLengths,
    /// There is a content length beside a transfer coding.
    #[snafu(display("content length beside a transfer coding"))]
    LengthAndCoding,
    /// The transfer coding is not `chunked` alone, or the version knows none.
    #[snafu(display("unknown transfer coding"))]
    Coding,
    /// The head is too long.
    #[snafu(display("head too long"))]
    HeadTooLong,
    /// The head has too many fields.
    #[snafu(display("too many fields"))]
    TooManyFields,
    /// There are too many informational heads before the response.
    #[snafu(display("too many informational heads"))]
    TooManyInformationalHeads,
    /// Neither a length nor a coding tells where the body ends, on a connection where a break could not be told from it.
    #[snafu(display("body without a stated end"))]
    Unframed,
    /// Bytes arrived while no request was outstanding.
    #[snafu(display("bytes that belong to no request"))]
    Unasked,
    /// The line before a chunk has no valid size.
    #[snafu(display("invalid chunk size"))]
    ChunkSize,
    /// A chunk does not end with CRLF.
    #[snafu(display("chunk is not terminated by CRLF"))]
    ChunkEnd,
    /// A line of the trailer is no field.
    #[snafu(display("invalid trailer"))]
    Trailer,
    /// The trailer is too long.
    #[snafu(display("trailer too long"))]
    TrailerTooLong,
}

impl ResponseError {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::StatusLine => "status_line",
            Self::Status => "status",
            Self::LineEnd => "line_end",
            Self::Field => "field",
            Self::Length => "length",
            Self::ConflictingLengths => "conflicting_lengths",
            Self::LengthAndCoding => "length_and_coding",
            Self::Coding => "coding",
            Self::HeadTooLong => "head_too_long",
            Self::TooManyFields => "too_many_fields",
            Self::TooManyInformationalHeads => "too_many_informational_heads",
            Self::Unframed => "unframed",
            Self::Unasked => "unasked",
            Self::ChunkSize => "chunk_size",
            Self::ChunkEnd => "chunk_end",
            Self::Trailer => "trailer",
            Self::TrailerTooLong => "trailer_too_long",
        }
    }
}

/// Counts and logs bytes that are no response; clones share the counter.
#[derive(Debug, Clone)]
pub struct MalformedResponses {
    by_reason: IntCounterVec,
}

impl MalformedResponses {
    /// Name of the counter, without the prefix of all metrics of a daemon.
    pub const NAME: &'static str = "malformed_responses_total";
    /// Description of the counter.
    pub const HELP: &'static str = "Bytes received that are no response, by reason";
    /// Labels of the counter.
    pub const LABELS: [&'static str; 1] = ["reason"];

    /// Counts with a registered counter that has [`Self::LABELS`].
    pub fn new(by_reason: IntCounterVec) -> Self {
        Self { by_reason }
    }

    /// Records that `sender`, a server's id or an address, sent bytes that are no response.
    pub fn record(&self, sender: impl Display, error: ResponseError) {
        self.by_reason.with_label_values(&[error.name()]).inc();
        log::warn!(server:% = sender, reason = error.name(); "malformed_response");
    }
}

impl Default for MalformedResponses {
    /// Counts with a counter that is not registered.
    fn default() -> Self {
        let counter = IntCounterVec::new(Opts::new(Self::NAME, Self::HELP), &Self::LABELS);
        Self::new(counter.expect("the name of the counter is valid"))
    }
}
