//! How the end of a body is determined, from the fields of its head.

use super::ResponseError;
use super::head::HttpVersion;
use actix_http::StatusCode;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By the last chunk.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

impl Framing {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// The fields of a head that determine the end of its body.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FramingFields {
    length: Option<u64>,
    chunked: bool,
}

impl FramingFields {
    /// Adds a value of the field `Content-Length`, which may be repeated with the same number.
    pub fn add_length(&mut self, value: &[u8]) -> Result<(), ResponseError> {
        let length = content_length(value).ok_or(ResponseError::Length)?;
        if self.length.is_some_and(|before| before != length) {
            return Err(ResponseError::ConflictingLengths);
        }
        self.length = Some(length);
        Ok(())
    }

    /// Adds a value of the field `Transfer-Encoding`.
    pub fn add_coding(&mut self, value: &[u8]) -> Result<(), ResponseError> {
        if self.chunked || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(ResponseError::Coding);
        }
        self.chunked = true;
        Ok(())
    }

    /// The framing of the body.
    pub fn framing(
        self,
        version: HttpVersion,
        status: StatusCode,
    ) -> Result<Framing, ResponseError> {
        if self.chunked && self.length.is_some() {
            return Err(ResponseError::LengthAndCoding);
        }
        if self.chunked && version == HttpVersion::Http10 {
            return Err(ResponseError::Coding);
        }
        if has_no_body(status) {
            return Ok(Framing::Length(0));
        }
        Ok(match self.length {
            _ if self.chunked => Framing::Chunked,
            Some(length) => Framing::Length(length),
            None => Framing::UntilClose,
        })
    }
}

/// Whether responses with this status have no body, whatever their fields say.
pub(super) fn has_no_body(status: StatusCode) -> bool {
    let without = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    status.is_informational() || without.contains(&status)
}

/// Parses a content length. The integer parser alone would accept a sign.
fn content_length(value: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(value).ok()?;
    let is_number = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| is_number)
}
