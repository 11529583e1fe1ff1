//! Connections for the HTTP client library that pass on only what is a response.
//!
//! The library's own parser is more lenient than [`super::head`]. Responses are read here, and written to it once more
//! in their plainest form.

use super::body::{BodyDecoder, DecodeStep};
use super::bounds::MAX_INFORMATIONAL_HEADS;
use super::framing::Framing;
use super::head::{Head, HttpVersion, parse_head};
use super::{MalformedResponses, ResponseError};
use actix_http::Uri;
use actix_http::error::ParseError;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector};
use awc::error::SendRequestError;
use bytes::BytesMut;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Size of a read in bytes.
const READ_SIZE: usize = 8 * 1024;
const HEAD_METHOD: &[u8] = b"HEAD ";

/// Returns a connector of the HTTP client library whose connections pass on only what is a response.
pub fn checked_connector(
    malformed: MalformedResponses,
) -> awc::Connector<
    impl Service<ConnectInfo<Uri>, Response = Connection<Uri, CheckedStream>, Error = ConnectError>
    + Clone,
> {
    let connecting = Connector::default().service().map(move |connected| {
        let connected: Connection<Uri, TcpStream> = connected;
        let (stream, connection) = connected.replace_io(());
        let (_, checked) = connection.replace_io(CheckedStream::new(stream, malformed.clone()));
        checked
    });
    awc::Connector::new().connector(connecting)
}

/// Whether a call failed because of bytes that are no response.
pub fn is_malformed(error: &SendRequestError) -> bool {
    let (SendRequestError::Response(ParseError::Io(error)) | SendRequestError::Send(error)) = error
    else {
        return matches!(error, SendRequestError::Response(_));
    };
    error.kind() == io::ErrorKind::InvalidData
}

/// A connection that passes on only what is a response.
#[derive(Debug)]
pub struct CheckedStream {
    stream: TcpStream,
    received: BytesMut,
    checked: BytesMut,
    expected: Expected,
    malformed: MalformedResponses,
}

/// What the next bytes belong to.
#[derive(Debug)]
enum Expected {
    /// Nothing: no request is outstanding.
    Nothing,
    /// The head of a response, after a number of informational ones.
    Head { to_head_request: bool, informational: usize },
    /// A body whose parts are passed on as they are, or each as a chunk.
    Body { decoder: BodyDecoder, chunked: bool },
    /// Nothing any more: something that is no response has arrived.
    Malformed(ResponseError),
}

/// Whether the bytes received so far led any further.
#[derive(Debug, PartialEq, Eq)]
enum Progress {
    Advanced,
    NeedsMore,
}

impl CheckedStream {
    fn new(stream: TcpStream, malformed: MalformedResponses) -> Self {
        Self {
            stream,
            received: BytesMut::new(),
            checked: BytesMut::new(),
            expected: Expected::Nothing,
            malformed,
        }
    }

    /// Passes the next bytes on as far as they have arrived.
    fn advance(&mut self) -> Result<Progress, ResponseError> {
        match &mut self.expected {
            Expected::Nothing if self.received.is_empty() => Ok(Progress::NeedsMore),
            Expected::Nothing => Err(ResponseError::Unasked),
            Expected::Malformed(error) => Err(*error),
            Expected::Head { .. } => self.advance_head(),
            Expected::Body { .. } => self.advance_body(),
        }
    }

    fn advance_head(&mut self) -> Result<Progress, ResponseError> {
        let Expected::Head { to_head_request, informational } = &mut self.expected else {
            return Ok(Progress::NeedsMore);
        };
        let Some(head) = parse_head(&mut self.received)? else { return Ok(Progress::NeedsMore) };
        if head.status.is_informational() {
            *informational += 1;
            return match *informational > MAX_INFORMATIONAL_HEADS {
                true => Err(ResponseError::TooManyInformationalHeads),
                false => Ok(Progress::Advanced),
            };
        }
        let has_body = !*to_head_request && !head.has_no_body();
        if has_body && head.framing == Framing::UntilClose {
            return Err(ResponseError::Unframed);
        }
        write_head(&mut self.checked, &head, has_body || *to_head_request);
        self.expected = match has_body {
            true => Expected::Body {
                decoder: BodyDecoder::new(head.framing),
                chunked: head.framing == Framing::Chunked,
            },
            false => Expected::Nothing,
        };
        Ok(Progress::Advanced)
    }

    /// Passes on all that has arrived of a body, and its end with it: the library may send the next request at once.
    fn advance_body(&mut self) -> Result<Progress, ResponseError> {
        let Expected::Body { decoder, chunked } = &mut self.expected else {
            return Ok(Progress::NeedsMore);
        };
        let mut progress = Progress::NeedsMore;
        loop {
            match decoder.step(&mut self.received)? {
                DecodeStep::More => return Ok(progress),
                DecodeStep::Part(part) if *chunked => write_chunk(&mut self.checked, &part),
                DecodeStep::Part(part) => self.checked.extend_from_slice(&part),
                DecodeStep::End(_) => {
                    if *chunked {
                        write_chunk(&mut self.checked, b"");
                    }
                    self.expected = Expected::Nothing;
                    return Ok(Progress::Advanced);
                }
            }
            progress = Progress::Advanced;
        }
    }

    /// Handles the close of the connection. The library takes the end of a body that is cut for its own.
    fn on_close(&self) -> io::Result<()> {
        match self.expected {
            Expected::Body { .. } => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Gives the connection up because of bytes that are no response.
    fn give_up(&mut self, error: ResponseError) -> io::Error {
        if !matches!(self.expected, Expected::Malformed(_)) {
            let peer = self.stream.peer_addr().map(|peer| peer.to_string());
            self.malformed.record(peer.unwrap_or_default(), error);
            self.expected = Expected::Malformed(error);
        }
        io::Error::new(io::ErrorKind::InvalidData, error)
    }

    /// Notes that a request begins, if none is outstanding.
    fn on_write(&mut self, bytes: &[u8]) {
        if matches!(self.expected, Expected::Nothing) && !bytes.is_empty() {
            let to_head_request = bytes.starts_with(HEAD_METHOD);
            self.expected = Expected::Head { to_head_request, informational: 0 };
        }
    }
}

/// Writes a head in its plainest form. The library waits for a body wherever a length is told.
fn write_head(out: &mut BytesMut, head: &Head, tells_framing: bool) {
    let version = match head.version {
        HttpVersion::Http10 => "HTTP/1.0",
        HttpVersion::Http11 => "HTTP/1.1",
    };
    let mut bytes = format!("{version} {} \r\n", head.status.as_u16()).into_bytes();
    for (name, value) in &head.fields {
        let line: [&[u8]; 4] = [name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"];
        bytes.extend(line.concat());
    }
    match head.framing {
        Framing::Length(length) if tells_framing => {
            bytes.extend(format!("content-length: {length}\r\n").into_bytes());
        }
        Framing::Chunked if tells_framing => bytes.extend(b"transfer-encoding: chunked\r\n"),
        _ => {}
    }
    bytes.extend(b"\r\n");
    out.extend_from_slice(&bytes);
}

/// Writes a chunk; an empty one ends the body.
fn write_chunk(out: &mut BytesMut, part: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
    out.extend_from_slice(part);
    out.extend_from_slice(b"\r\n");
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            if !this.checked.is_empty() {
                let length = this.checked.len().min(out.remaining());
                out.put_slice(&this.checked.split_to(length));
                return Poll::Ready(Ok(()));
            }
            match this.advance() {
                Ok(Progress::Advanced) => continue,
                Ok(Progress::NeedsMore) => {}
                Err(error) => return Poll::Ready(Err(this.give_up(error))),
            }
            let mut bytes = [0; READ_SIZE];
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut this.stream).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(this.on_close());
            }
            this.received.extend_from_slice(buffer.filled());
        }
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.on_write(bytes);
        Pin::new(&mut this.stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

impl ActixStream for CheckedStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}
