//! Parser of response heads.

use super::bounds::{MAX_HEAD_BYTES, MAX_HEADERS};
use crate::gateway::dialect::{Dialect, ResponseMeta};
use actix_http::StatusCode;
use actix_http::header::{HeaderName, HeaderValue};
use bytes::{Buf, BytesMut};
use snafu::Snafu;
use std::time::Duration;

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

/// Head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The end-to-end headers, which are forwarded.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The framing of the body.
    pub framing: Framing,
    /// Whether the connection is closed after the response.
    pub close: bool,
    /// The idle time after which the server closes the connection.
    pub keep_alive: Option<Duration>,
    /// The platform's headers.
    pub meta: ResponseMeta,
}

/// Bytes that are not a valid response.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("invalid response: {why}"))]
pub struct ResponseError {
    /// The reason.
    pub why: String,
}

fn invalid(why: impl Into<String>) -> ResponseError {
    ResponseError { why: why.into() }
}

/// Removes a complete head from the front of `buffer`; `None` while it is incomplete.
pub fn parse_head(
    dialect: &dyn Dialect,
    buffer: &mut BytesMut,
) -> Result<Option<ResponseHead>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(buffer).map_err(|error| invalid(error.to_string()))?;
    let httparse::Status::Complete(length) = parsed else {
        return match buffer.len() > MAX_HEAD_BYTES {
            true => Err(invalid("head too long")),
            false => Ok(None),
        };
    };
    let code = response.code.ok_or_else(|| invalid("missing status"))?;
    let status = StatusCode::from_u16(code).map_err(|_| invalid("invalid status"))?;
    let http_10 = response.version == Some(0);
    let mut connection_headers =
        ConnectionHeaders { close: http_10, ..ConnectionHeaders::default() };
    let mut head_headers = Vec::with_capacity(response.headers.len());
    let mut meta = ResponseMeta::default();
    for header in response.headers.iter() {
        let text = std::str::from_utf8(header.value).unwrap_or_default();
        if connection_headers.parse(header.name, text)? {
            continue;
        }
        dialect.response_header(header.name, text, &mut meta);
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            head_headers.push((name, value));
        }
    }
    let framing = connection_headers.framing(status);
    buffer.advance(length);
    let close = connection_headers.close || framing == Framing::UntilClose;
    let keep_alive = connection_headers.keep_alive;
    Ok(Some(ResponseHead { status, headers: head_headers, framing, close, keep_alive, meta }))
}

/// Headers that concern only this connection.
#[derive(Default)]
struct ConnectionHeaders {
    length: Option<u64>,
    chunked: bool,
    close: bool,
    keep_alive: Option<Duration>,
}

impl ConnectionHeaders {
    /// Parses a header that concerns only this connection; returns whether it is one.
    fn parse(&mut self, name: &str, value: &str) -> Result<bool, ResponseError> {
        if name.eq_ignore_ascii_case("content-length") {
            let length = value.trim().parse().map_err(|_| invalid("invalid content length"))?;
            if self.length.is_some_and(|before| before != length) {
                return Err(invalid("conflicting content lengths"));
            }
            self.length = Some(length);
            return Ok(true);
        }
        if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.trim().eq_ignore_ascii_case("chunked") {
                return Err(invalid("unknown transfer coding"));
            }
            self.chunked = true;
            return Ok(true);
        }
        if name.eq_ignore_ascii_case("connection") {
            self.close |= value.to_ascii_lowercase().contains("close");
            return Ok(true);
        }
        if name.eq_ignore_ascii_case("keep-alive") {
            self.keep_alive = keep_alive_timeout(value);
            return Ok(true);
        }
        Ok(name.eq_ignore_ascii_case("date"))
    }

    fn framing(&self, status: StatusCode) -> Framing {
        let code = status.as_u16();
        if status.is_informational() || code == 204 || code == 304 {
            return Framing::Length(0);
        }
        match (self.chunked, self.length) {
            (true, _) => Framing::Chunked,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::UntilClose,
        }
    }
}

fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
