//! Response heads of servers, with what the platform states in them.

use crate::gateway::dialect::{Dialect, ResponseMeta};
use crate::http1::ResponseError;
use crate::http1::framing::Framing;
use crate::http1::head::{self, Head, HttpVersion};
use actix_http::StatusCode;
use actix_http::header::{CONNECTION, HeaderName, HeaderValue};
use bytes::BytesMut;
use std::time::Duration;

/// Field in which a server states how long it keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";

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

/// Removes a complete head from the front of `buffer`; `None` while it is incomplete.
pub fn parse_head(
    dialect: &dyn Dialect,
    buffer: &mut BytesMut,
) -> Result<Option<ResponseHead>, ResponseError> {
    let head = head::parse_head(buffer)?;
    Ok(head.map(|head| response_head(dialect, head)))
}

fn response_head(dialect: &dyn Dialect, head: Head) -> ResponseHead {
    let Head { version, status, fields, framing } = head;
    let closes_by_default = version == HttpVersion::Http10 || framing == Framing::UntilClose;
    let mut connection = ConnectionFields { close: closes_by_default, keep_alive: None };
    let mut headers = Vec::with_capacity(fields.len());
    let mut meta = ResponseMeta::default();
    for (name, value) in fields {
        let text = std::str::from_utf8(value.as_bytes()).unwrap_or_default();
        if connection.parse(&name, text) {
            continue;
        }
        dialect.response_header(name.as_str(), text, &mut meta);
        headers.push((name, value));
    }
    let ConnectionFields { close, keep_alive } = connection;
    ResponseHead { status, headers, framing, close, keep_alive, meta }
}

/// Fields that concern only this connection.
struct ConnectionFields {
    close: bool,
    keep_alive: Option<Duration>,
}

impl ConnectionFields {
    /// Parses a field that concerns only this connection; returns whether it is one.
    fn parse(&mut self, name: &HeaderName, value: &str) -> bool {
        if *name == CONNECTION {
            self.close |= value.to_ascii_lowercase().contains("close");
            return true;
        }
        if name.as_str() == KEEP_ALIVE {
            self.keep_alive = keep_alive_timeout(value);
            return true;
        }
        false
    }
}

fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
