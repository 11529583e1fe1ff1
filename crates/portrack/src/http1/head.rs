//! The grammar of response heads.

use super::bounds::{MAX_FIELDS, MAX_HEAD_BYTES};
use super::field::has_sound_line_ends;
use super::framing::{Framing, FramingFields};
use super::{ResponseError, framing};
use actix_http::StatusCode;
use actix_http::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use bytes::{Buf, BytesMut};

/// What each response begins with, as far as it is known when the first bytes arrive.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";
/// Largest status of a response.
const MAX_STATUS: u16 = 599;

/// The version that a head names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpVersion {
    /// HTTP/1.0.
    Http10,
    /// HTTP/1.1.
    Http11,
}

/// The head of a response.
#[derive(Debug, Clone)]
pub struct Head {
    /// The version.
    pub version: HttpVersion,
    /// The status.
    pub status: StatusCode,
    /// All fields, in order, but those that determine the end of the body.
    pub fields: Vec<(HeaderName, HeaderValue)>,
    /// The framing of the body.
    pub framing: Framing,
}

impl Head {
    /// Whether the response has no body, whatever its fields say.
    pub fn has_no_body(&self) -> bool {
        framing::has_no_body(self.status)
    }
}

/// Removes a complete head from the front of `buffer`; `None` while it is incomplete.
pub fn parse_head(buffer: &mut BytesMut) -> Result<Option<Head>, ResponseError> {
    check_start(buffer)?;
    let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut slots);
    let parsed = response.parse(buffer);
    let httparse::Status::Complete(length) = parsed.map_err(parse_error)? else {
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(ResponseError::HeadTooLong);
        }
        return match has_sound_line_ends(buffer) {
            true => Ok(None),
            false => Err(ResponseError::LineEnd),
        };
    };
    if !has_sound_line_ends(&buffer[..length]) {
        return Err(ResponseError::LineEnd);
    }
    let head = head(&response)?;
    buffer.advance(length);
    Ok(Some(head))
}

/// Checks the first bytes: the parser would skip empty lines before the head.
fn check_start(buffer: &[u8]) -> Result<(), ResponseError> {
    let known = buffer.len().min(VERSION_PREFIX.len());
    match buffer[..known] == VERSION_PREFIX[..known] {
        true => Ok(()),
        false => Err(ResponseError::StatusLine),
    }
}

fn parse_error(error: httparse::Error) -> ResponseError {
    match error {
        httparse::Error::HeaderName | httparse::Error::HeaderValue => ResponseError::Field,
        httparse::Error::NewLine => ResponseError::LineEnd,
        httparse::Error::Status | httparse::Error::Token => ResponseError::StatusLine,
        httparse::Error::Version => ResponseError::StatusLine,
        httparse::Error::TooManyHeaders => ResponseError::TooManyFields,
    }
}

fn head(response: &httparse::Response<'_, '_>) -> Result<Head, ResponseError> {
    let version = match response.version {
        Some(0) => HttpVersion::Http10,
        Some(1) => HttpVersion::Http11,
        _ => return Err(ResponseError::StatusLine),
    };
    let status = status(response.code.unwrap_or_default())?;
    let mut framing_fields = FramingFields::default();
    let mut fields = Vec::with_capacity(response.headers.len());
    for field in response.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let name = name.map_err(|_| ResponseError::Field)?;
        match name {
            CONTENT_LENGTH => framing_fields.add_length(field.value)?,
            TRANSFER_ENCODING => framing_fields.add_coding(field.value)?,
            _ => {
                let value = HeaderValue::from_bytes(field.value);
                fields.push((name, value.map_err(|_| ResponseError::Field)?));
            }
        }
    }
    let framing = framing_fields.framing(version, status)?;
    Ok(Head { version, status, fields, framing })
}

/// The status of a response. Nothing here asks for a change of protocol, so no server may announce one.
fn status(code: u16) -> Result<StatusCode, ResponseError> {
    let status = StatusCode::from_u16(code).map_err(|_| ResponseError::Status)?;
    match code > MAX_STATUS || status == StatusCode::SWITCHING_PROTOCOLS {
        true => Err(ResponseError::Status),
        false => Ok(status),
    }
}
