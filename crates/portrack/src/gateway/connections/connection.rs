//! One connection to a backend server.

use super::connector::Connector;
use super::inbound::Inbound;
use super::response::{ResponseHead, parse_head};
use crate::gateway::dialect::Dialect;
use crate::http1::ResponseError;
use crate::http1::body::{BodyDecoder, BodyEnd, DecodeStep};
use crate::http1::bounds::MAX_INFORMATIONAL_HEADS;
use crate::types::{BootClock, Clock, Time};
use bytes::Bytes;
use snafu::Snafu;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which a connection is not reused, if the server states no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Subtracted from the server's keep-alive timeout, so that the next request arrives before it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Reason why a request or its response failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ExchangeError {
    /// The connection could not be opened: nothing was sent.
    #[snafu(display("no connection: {why}"))]
    NotConnected {
        /// The error of the operating system.
        why: String,
        /// The connection was refused: the host is up, but nothing listens.
        refused: bool,
    },
    /// The connection broke: the request may have run.
    #[snafu(display("connection lost: {why}"))]
    Lost {
        /// The error of the operating system, or what happened.
        why: String,
    },
    /// The server sent bytes that are not a valid response.
    #[snafu(display("invalid response: {source}"))]
    Malformed {
        /// The parse error.
        source: ResponseError,
    },
}

/// Connects to a server.
pub async fn connect(
    connector: &dyn Connector,
    address: SocketAddr,
) -> Result<TcpStream, ExchangeError> {
    let connecting = connector.connect(address);
    match actix_rt::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            let refused = error.kind() == io::ErrorKind::ConnectionRefused;
            Err(ExchangeError::NotConnected { why: error.kind().to_string(), refused })
        }
        Err(_) => Err(ExchangeError::NotConnected { why: "timeout".into(), refused: false }),
    }
}

pub(super) fn lost(error: &io::Error) -> ExchangeError {
    ExchangeError::Lost { why: error.kind().to_string() }
}

/// What has been read of a response body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyChunk {
    /// Its next bytes.
    Part(Bytes),
    /// Its end.
    End(BodyEnd),
}

/// A connection to a server, with its read buffer.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    inbound: Inbound,
    idle_timeout: Duration,
    /// On a clock that includes suspend time: a server closes connections that were idle while this node
    /// was suspended.
    idle_since: Time,
    /// A request was sent, and its response is not complete yet.
    response_pending: bool,
    route: ConnectionRoute,
}

/// How a connection gets to its server.
#[derive(Debug, Clone)]
pub enum ConnectionRoute {
    /// Directly; the time of the last receipt is recorded.
    Direct(Rc<Cell<Option<Time>>>),
    /// Through another daemon.
    Tunnel {
        /// Its address.
        carrier: SocketAddr,
        /// It sends what comes from the server in frames. Without them, its own end looks like the server's.
        framed: bool,
    },
}

impl Connection {
    /// Uses an open connection to the server.
    pub fn over(stream: TcpStream, route: ConnectionRoute) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            inbound: Inbound::of(&route),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            idle_since: BootClock.now(),
            response_pending: false,
            route,
        }
    }

    /// The daemon that it leads through, if it is not direct.
    pub fn carrier(&self) -> Option<SocketAddr> {
        match self.route {
            ConnectionRoute::Direct(_) => None,
            ConnectionRoute::Tunnel { carrier, .. } => Some(carrier),
        }
    }

    /// Whether it can carry another request: it is open, has no unread bytes, and was not idle for too long.
    pub fn is_reusable(&self) -> bool {
        if self.inbound.has_leftover()
            || BootClock.now().since(self.idle_since) >= self.idle_timeout
        {
            return false;
        }
        let mut byte = [0_u8; 1];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Marks the connection as idle from now on, with the keep-alive timeout that the server stated.
    pub fn mark_idle(&mut self, keep_alive: Option<Duration>) {
        self.idle_since = BootClock.now();
        self.inbound = Inbound::of(&self.route);
        if let Some(timeout) = keep_alive {
            self.idle_timeout = timeout.saturating_sub(IDLE_MARGIN);
        }
    }

    /// Records that the response to the last request is complete.
    pub fn response_complete(&mut self) {
        self.response_pending = false;
    }

    /// Whether there are unread bytes that belong to no response.
    pub fn has_leftover(&self) -> bool {
        self.inbound.has_leftover()
    }

    /// Sends a request. Returns `false` early if the server responds before it has read all of it.
    pub async fn send(&mut self, request: &[u8]) -> Result<bool, ExchangeError> {
        self.response_pending = true;
        let (mut reader, mut writer) = self.stream.split();
        let writing = writer.write_all(request);
        let early_response = self.inbound.read(&mut reader);
        tokio::select! {
            biased;
            written = writing => written.map(|()| true).map_err(|error| lost(&error)),
            read = early_response => match read {
                Ok(0) => Err(ExchangeError::Lost { why: "closed while sending".into() }),
                Ok(_) => Ok(false),
                Err(error) => Err(error),
            },
        }
    }

    /// Reads more bytes into the buffer. Returns zero at the end of the connection.
    async fn fill(&mut self) -> Result<usize, ExchangeError> {
        let read = self.inbound.read(&mut self.stream).await?;
        if let ConnectionRoute::Direct(contact) = &self.route {
            contact.set(Some(BootClock.now()));
        }
        Ok(read)
    }

    /// Reads the next response head, skipping informational (1xx) ones.
    pub async fn read_head(
        &mut self,
        dialect: &dyn Dialect,
    ) -> Result<ResponseHead, ExchangeError> {
        let mut informational = 0;
        loop {
            let parsed = parse_head(dialect, &mut self.inbound.buffer);
            let head = parsed.map_err(|source| ExchangeError::Malformed { source })?;
            match head {
                Some(head) if head.status.is_informational() => {
                    informational += 1;
                    if informational > MAX_INFORMATIONAL_HEADS {
                        let source = ResponseError::TooManyInformationalHeads;
                        return Err(ExchangeError::Malformed { source });
                    }
                }
                Some(head) => return Ok(head),
                None if self.fill().await? == 0 => {
                    return Err(ExchangeError::Lost { why: "closed before the response".into() });
                }
                None => {}
            }
        }
    }

    /// Reads the next chunk of a body, or its end.
    pub async fn read_chunk(&mut self, body: &mut BodyDecoder) -> Result<BodyChunk, ExchangeError> {
        loop {
            let step = body.step(&mut self.inbound.buffer);
            match step.map_err(|source| ExchangeError::Malformed { source })? {
                DecodeStep::Part(part) => return Ok(BodyChunk::Part(part)),
                DecodeStep::End(end) => return Ok(BodyChunk::End(end)),
                DecodeStep::More if self.fill().await? == 0 => {
                    let within =
                        || ExchangeError::Lost { why: "closed within the response body".into() };
                    return body.on_close().map(BodyChunk::End).ok_or_else(within);
                }
                DecodeStep::More => {}
            }
        }
    }
}

impl Drop for Connection {
    /// Resets the connection of an abandoned request, to discard what has not been delivered yet. After a
    /// plain close, the operating system would still deliver it, even seconds later when a network
    /// partition ends.
    fn drop(&mut self) {
        if self.response_pending
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!(error:% = error; "connection_not_reset");
        }
    }
}
