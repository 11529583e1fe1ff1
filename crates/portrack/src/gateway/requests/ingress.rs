//! Serves one connection of a caller: reads requests, writes replies, and detects disconnects.

use super::caller::{CallerGone, CallerRequest, RefusalReason, Refused, ReplyHead, ReplySink};
use crate::gateway::dialect::Dialect;
use crate::gateway::fleet::config::CallerLimits;
use crate::types::{Clock, InFlightGuard};
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message};
use actix_http::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{
    ConnectionType, HttpMessage as _, KeepAlive, Request, Response, ServiceConfig, StatusCode,
};
use bytes::{Bytes, BytesMut};
use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio_util::codec::{Decoder, Encoder};

/// Size of a read in bytes.
const READ_SIZE: usize = 4 * 1024;
/// Maximum number of bytes of further requests that are read while one is being served.
const MAX_READ_AHEAD: usize = 16 * 1024;
/// Timeout for a write to the caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time to receive a body; a shorter timeout of the caller takes precedence.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);
/// Headers that concern a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// The daemon as seen by a connection.
pub trait ConnectionHost {
    /// The limits in force.
    fn limits(&self) -> CallerLimits;
    /// The clock.
    fn clock(&self) -> &dyn Clock;
    /// The platform's dialect.
    fn dialect(&self) -> &dyn Dialect;
    /// Whether connections are to be closed after the current reply.
    fn is_stopping(&self) -> bool;
    /// Counts a request that is being received.
    fn begin_receiving(&self) -> InFlightGuard;
    /// Resolves when idle connections are to be closed.
    fn idle_connections_closing(&self) -> impl Future<Output = ()>;
    /// Serves a request.
    fn serve(&self, request: CallerRequest, sink: &mut ReplyWriter<'_>)
    -> impl Future<Output = ()>;
}

/// Writes replies to a caller's connection.
pub struct ReplyWriter<'a> {
    write: WriteHalf<'a>,
    codec: Codec,
    buffer: BytesMut,
    close: bool,
    finished: bool,
}

impl ReplyWriter<'_> {
    /// Replies with a refusal of the gateway itself.
    pub async fn refuse(&mut self, refused: &Refused) -> Result<(), CallerGone> {
        let mut headers = Vec::new();
        if let Some(after) = refused.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            let value = HeaderValue::from_str(&seconds).expect("a number is a valid header value");
            headers.push((RETRY_AFTER, value));
        }
        let body = Bytes::from_static(refused.reason.name().as_bytes());
        let length = Some(body.len() as u64);
        self.head(ReplyHead { status: refused.status, headers, length }).await?;
        self.chunk(body).await?;
        self.finish().await
    }

    async fn flush(&mut self) -> Result<(), CallerGone> {
        let writing = self.write.write_all(&self.buffer);
        let written = actix_rt::time::timeout(WRITE_TIMEOUT, writing).await;
        self.buffer.clear();
        match written {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerGone),
        }
    }

    fn encode(&mut self, message: Message<(Response<()>, BodySize)>) -> Result<(), CallerGone> {
        self.codec.encode(message, &mut self.buffer).map_err(|_| CallerGone)
    }
}

impl ReplySink for ReplyWriter<'_> {
    async fn head(&mut self, head: ReplyHead) -> Result<(), CallerGone> {
        let mut response = Response::with_body(head.status, ());
        for (name, value) in head.headers {
            response.headers_mut().append(name, value);
        }
        if self.close {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        let size = head.length.map_or(BodySize::Stream, BodySize::Sized);
        self.encode(Message::Item((response, size)))?;
        match size {
            BodySize::Stream => self.flush().await,
            _ => Ok(()),
        }
    }

    async fn chunk(&mut self, chunk: Bytes) -> Result<(), CallerGone> {
        if chunk.is_empty() {
            return Ok(());
        }
        self.encode(Message::Chunk(Some(chunk)))?;
        self.flush().await
    }

    async fn finish(&mut self) -> Result<(), CallerGone> {
        self.encode(Message::Chunk(None))?;
        self.finished = true;
        match self.buffer.is_empty() {
            true => Ok(()),
            false => self.flush().await,
        }
    }
}

/// Reason why no request could be read.
enum NoRequest {
    /// The connection is closed.
    Closed,
    /// The request is refused.
    Refuse(StatusCode, RefusalReason),
}

struct RequestReader<'a> {
    read: ReadHalf<'a>,
    buffer: BytesMut,
}

impl RequestReader<'_> {
    async fn fill(&mut self) -> Result<(), NoRequest> {
        self.buffer.reserve(READ_SIZE);
        match self.read.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(NoRequest::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Reads ahead until the caller disconnects.
    async fn disconnected(&mut self) {
        loop {
            if self.buffer.len() >= MAX_READ_AHEAD {
                std::future::pending::<()>().await;
            }
            if self.fill().await.is_err() {
                return;
            }
        }
    }
}

/// Serves a connection until it ends.
pub async fn serve_connection(host: &impl ConnectionHost, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let config = ServiceConfig::new(
        KeepAlive::Timeout(host.limits().idle_timeout),
        Duration::ZERO,
        Duration::ZERO,
        false,
        None,
    );
    let (read, write) = stream.split();
    let mut reader = RequestReader { read, buffer: BytesMut::new() };
    let mut writer = ReplyWriter {
        write,
        codec: Codec::new(config),
        buffer: BytesMut::new(),
        close: false,
        finished: false,
    };
    let mut is_first = true;
    loop {
        let request = match next_request(host, &mut reader, &mut writer.codec, is_first).await {
            Ok(request) => request,
            Err(NoRequest::Closed) => return,
            Err(NoRequest::Refuse(status, reason)) => {
                writer.close = true;
                let refused = Refused { status, reason, retry_after: None };
                let _ = writer.refuse(&refused).await;
                let _ = writer.write.shutdown().await;
                return;
            }
        };
        is_first = false;
        writer.close = host.is_stopping() || !writer.codec.keep_alive();
        writer.finished = false;
        let disconnected = tokio::select! {
            biased;
            () = host.serve(request, &mut writer) => false,
            () = reader.disconnected() => true,
        };
        if disconnected || !writer.finished {
            return;
        }
        if writer.close {
            let _ = writer.write.shutdown().await;
            return;
        }
        if reader.buffer.is_empty() {
            reader.buffer = BytesMut::new();
            writer.buffer = BytesMut::new();
        }
    }
}

/// Reads the next request of a connection. The first one is awaited also while idle connections are closed: its caller
/// has opened the connection for it.
async fn next_request(
    host: &impl ConnectionHost,
    reader: &mut RequestReader<'_>,
    codec: &mut Codec,
    is_first: bool,
) -> Result<CallerRequest, NoRequest> {
    let limits = host.limits();
    if reader.buffer.is_empty() {
        tokio::select! {
            biased;
            filled = actix_rt::time::timeout(limits.idle_timeout, reader.fill()) => {
                filled.map_err(|_| NoRequest::Closed)??;
            }
            () = host.idle_connections_closing(), if !is_first => return Err(NoRequest::Closed),
        }
    }
    let _receiving = host.begin_receiving();
    let reading_head = read_head(reader, codec, limits.header_bytes);
    let timeout = actix_rt::time::timeout(limits.header_timeout, reading_head).await;
    let head = timeout
        .map_err(|_| NoRequest::Refuse(StatusCode::REQUEST_TIMEOUT, RefusalReason::BadRequest))??;
    let arrived = host.clock().now();
    let meta = host.dialect().request(head.headers()).map_err(|_| bad_request())?;
    let body_timeout = meta.patience.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
    let reading = read_body(reader, codec, &head, limits.body_bytes);
    let body = actix_rt::time::timeout(body_timeout, reading)
        .await
        .map_err(|_| NoRequest::Refuse(StatusCode::REQUEST_TIMEOUT, RefusalReason::BadRequest))??;
    let target = head.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let host_name = head.headers().get("host").and_then(|value| value.to_str().ok());
    Ok(CallerRequest {
        arrived,
        method: head.method().clone(),
        target,
        host: host_name.unwrap_or_default().to_owned(),
        headers: end_to_end_headers(host.dialect(), head.headers()),
        last_event: host.dialect().last_event(head.headers()),
        body,
        meta,
    })
}

fn bad_request() -> NoRequest {
    NoRequest::Refuse(StatusCode::BAD_REQUEST, RefusalReason::BadRequest)
}

fn too_large(status: StatusCode) -> NoRequest {
    NoRequest::Refuse(status, RefusalReason::BadRequest)
}

async fn read_head(
    reader: &mut RequestReader<'_>,
    codec: &mut Codec,
    limit: usize,
) -> Result<Request, NoRequest> {
    loop {
        match codec.decode(&mut reader.buffer) {
            Ok(Some(Message::Item(request))) => return Ok(request),
            Ok(Some(Message::Chunk(_))) | Err(ParseError::Io(_)) => return Err(NoRequest::Closed),
            Err(ParseError::TooLarge) => {
                return Err(too_large(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
            }
            Err(_) => return Err(bad_request()),
            Ok(None) if reader.buffer.len() > limit => {
                return Err(too_large(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
            }
            Ok(None) => reader.fill().await?,
        }
    }
}

async fn read_body(
    reader: &mut RequestReader<'_>,
    codec: &mut Codec,
    head: &Request,
    limit: usize,
) -> Result<Bytes, NoRequest> {
    if codec.message_type() == actix_http::h1::MessageType::None {
        return Ok(Bytes::new());
    }
    let content_length = head.headers().get("content-length").and_then(|value| value.to_str().ok());
    let content_length: Option<usize> = content_length.and_then(|text| text.parse().ok());
    if content_length.is_some_and(|length| length > limit) {
        return Err(too_large(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let mut body = BytesMut::with_capacity(content_length.unwrap_or(0).min(READ_SIZE));
    loop {
        match codec.decode(&mut reader.buffer) {
            Ok(Some(Message::Chunk(Some(chunk)))) if body.len() + chunk.len() > limit => {
                return Err(too_large(StatusCode::PAYLOAD_TOO_LARGE));
            }
            Ok(Some(Message::Chunk(Some(chunk)))) => body.extend_from_slice(&chunk),
            Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
            Ok(Some(Message::Item(_))) | Err(_) => return Err(bad_request()),
            Ok(None) => reader.fill().await?,
        }
    }
}

/// The headers to forward: all but the hop-by-hop ones. Credentials are marked as sensitive, so that they
/// do not appear in diagnostics.
fn end_to_end_headers(
    dialect: &dyn Dialect,
    headers: &HeaderMap,
) -> Vec<(HeaderName, HeaderValue)> {
    let connection_options =
        headers.get(CONNECTION).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let connection_options: Vec<String> =
        connection_options.split(',').map(|name| name.trim().to_ascii_lowercase()).collect();
    let is_hop_by_hop = |name: &str| {
        HOP_BY_HOP_HEADERS.contains(&name) || connection_options.iter().any(|option| option == name)
    };
    let kept = headers.iter().filter(|(name, _)| !is_hop_by_hop(name.as_str()));
    let forwarded = kept.map(|(name, value)| {
        let mut value = value.clone();
        value.set_sensitive(dialect.is_credential(name.as_str()));
        (name.clone(), value)
    });
    forwarded.collect()
}
