//! The head of a server's answer.

use crate::gateway::dialect::{Dialect, ResponseMeta};
use actix_http::StatusCode;
use actix_http::header::{HeaderName, HeaderValue};
use bytes::{Buf, BytesMut};
use snafu::Snafu;
use std::time::Duration;

/// Headers of an answer that are read.
const MAX_HEADERS: usize = 64;
/// Bytes of an answer's head that are read.
const MAX_HEAD: usize = 32 * 1024;

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(u64),
    /// By a last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The headers to hand on: all but those of one connection.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// How its body ends.
    pub framing: Framing,
    /// The connection ends after it.
    pub close: bool,
    /// The server closes the connection when it has been idle for this long.
    pub keep_alive: Option<Duration>,
    /// What it says of the request.
    pub meta: ResponseMeta,
}

/// Bytes that are no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("not an answer: {why}"))]
pub struct ResponseError {
    /// What is wrong.
    pub why: String,
}

fn wrong(why: impl Into<String>) -> ResponseError {
    ResponseError { why: why.into() }
}

/// Takes a whole head off the front of `buffer`; `None` while it is not whole yet.
pub fn parse_head(
    dialect: &dyn Dialect,
    buffer: &mut BytesMut,
) -> Result<Option<ResponseHead>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(buffer).map_err(|error| wrong(error.to_string()))?;
    let httparse::Status::Complete(length) = parsed else {
        return match buffer.len() > MAX_HEAD {
            true => Err(wrong("the head is too long")),
            false => Ok(None),
        };
    };
    let code = response.code.ok_or_else(|| wrong("no status"))?;
    let status = StatusCode::from_u16(code).map_err(|_| wrong("bad status"))?;
    let http_10 = response.version == Some(0);
    let mut reading = Reading { close: http_10, ..Reading::default() };
    let mut head_headers = Vec::with_capacity(response.headers.len());
    let mut meta = ResponseMeta::default();
    for header in response.headers.iter() {
        let text = std::str::from_utf8(header.value).unwrap_or_default();
        if reading.connection_header(header.name, text)? {
            continue;
        }
        dialect.response_header(header.name, text, &mut meta);
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            head_headers.push((name, value));
        }
    }
    let framing = reading.framing(status);
    buffer.advance(length);
    let close = reading.close || framing == Framing::UntilClose;
    let keep_alive = reading.keep_alive;
    Ok(Some(ResponseHead { status, headers: head_headers, framing, close, keep_alive, meta }))
}

#[derive(Default)]
struct Reading {
    length: Option<u64>,
    chunked: bool,
    close: bool,
    keep_alive: Option<Duration>,
}

impl Reading {
    /// Takes a header of the connection in; true if it is one.
    fn connection_header(&mut self, name: &str, value: &str) -> Result<bool, ResponseError> {
        if name.eq_ignore_ascii_case("content-length") {
            let length = value.trim().parse().map_err(|_| wrong("bad length"))?;
            if self.length.is_some_and(|before| before != length) {
                return Err(wrong("two lengths"));
            }
            self.length = Some(length);
            return Ok(true);
        }
        if name.eq_ignore_ascii_case("transfer-encoding") {
            self.chunked = value.trim().eq_ignore_ascii_case("chunked");
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
