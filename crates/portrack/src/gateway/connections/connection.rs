//! One connection to a backend server.

use super::body::{BodyDecoder, DecodeStep};
use super::response::{ResponseError, ResponseHead, parse_head};
use crate::gateway::dialect::Dialect;
use crate::types::{BootClock, Clock, Time};
use bytes::{Bytes, BytesMut};
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest wait for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes read at once.
const READ_SIZE: usize = 4 * 1024;
/// Idle connections are not used again after this, if the server names no time.
const IDLE_DEFAULT: Duration = Duration::from_millis(4_000);
/// Taken off the time that a server names, for the way of the next request.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Why an exchange failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ExchangeError {
    /// No connection came about: nothing was sent.
    #[snafu(display("no connection: {why}"))]
    NotConnected {
        /// What the system said.
        why: String,
        /// The machine is there, and nothing listens.
        refused: bool,
    },
    /// The connection broke: the request may have run.
    #[snafu(display("connection lost: {why}"))]
    Lost {
        /// What the system said.
        why: String,
    },
    /// The server sent bytes that are no answer.
    #[snafu(display("{source}"))]
    Malformed {
        /// What is wrong with them.
        source: ResponseError,
    },
}

fn lost(error: &io::Error) -> ExchangeError {
    ExchangeError::Lost { why: error.kind().to_string() }
}

/// A connection, with what was read of it and not used yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    idle_for: Duration,
    /// On a clock that counts suspended time: a server closes what rested while this node was suspended.
    idle_since: Time,
    /// A request was sent, and its answer is not known to be whole.
    unanswered: bool,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Result<Self, ExchangeError> {
        let connecting = TcpStream::connect(address);
        let connected = actix_rt::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let refused = error.kind() == io::ErrorKind::ConnectionRefused;
                return Err(ExchangeError::NotConnected { why: error.kind().to_string(), refused });
            }
            Err(_) => {
                return Err(ExchangeError::NotConnected { why: "timeout".into(), refused: false });
            }
        };
        let _ = stream.set_nodelay(true);
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            idle_for: IDLE_DEFAULT,
            idle_since: BootClock.now(),
            unanswered: false,
        })
    }

    /// True if it can carry another request: open, silent, and not idle for too long.
    pub fn is_reusable(&self) -> bool {
        if !self.buffer.is_empty() || BootClock.now().since(self.idle_since) >= self.idle_for {
            return false;
        }
        let mut byte = [0_u8; 1];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Notes that an answer is over and the connection is idle from now on.
    pub fn mark_idle(&mut self, keep_alive: Option<Duration>) {
        self.idle_since = BootClock.now();
        self.buffer = BytesMut::new();
        if let Some(named) = keep_alive {
            self.idle_for = named.saturating_sub(IDLE_MARGIN);
        }
    }

    /// Notes that the answer to what was sent is whole.
    pub fn response_complete(&mut self) {
        self.unanswered = false;
    }

    /// True if bytes are left over that belong to no answer.
    pub fn has_leftover(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Sends a request. Returns early, with `false`, if the server answers before it has read all.
    pub async fn send(&mut self, request: &[u8]) -> Result<bool, ExchangeError> {
        self.unanswered = true;
        let (mut reader, mut writer) = self.stream.split();
        let writing = writer.write_all(request);
        let early = async {
            self.buffer.reserve(READ_SIZE);
            reader.read_buf(&mut self.buffer).await
        };
        tokio::select! {
            biased;
            written = writing => written.map(|()| true).map_err(|error| lost(&error)),
            read = early => match read {
                Ok(0) => Err(ExchangeError::Lost { why: "closed while sending".into() }),
                Ok(_) => Ok(false),
                Err(error) => Err(lost(&error)),
            },
        }
    }

    /// Reads more bytes. Zero at the end of the connection.
    async fn fill(&mut self) -> Result<usize, ExchangeError> {
        self.buffer.reserve(READ_SIZE);
        self.stream.read_buf(&mut self.buffer).await.map_err(|error| lost(&error))
    }

    /// Reads the next head that is not merely informational.
    pub async fn read_head(
        &mut self,
        dialect: &dyn Dialect,
    ) -> Result<ResponseHead, ExchangeError> {
        loop {
            let taken = parse_head(dialect, &mut self.buffer);
            let head = taken.map_err(|source| ExchangeError::Malformed { source })?;
            match head {
                Some(head) if head.status.is_informational() => continue,
                Some(head) => return Ok(head),
                None if self.fill().await? == 0 => {
                    return Err(ExchangeError::Lost { why: "closed without an answer".into() });
                }
                None => {}
            }
        }
    }

    /// Reads the next part of a body; `None` at its end.
    pub async fn read_chunk(
        &mut self,
        body: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            let step = body.step(&mut self.buffer);
            match step.map_err(|source| ExchangeError::Malformed { source })? {
                DecodeStep::Part(part) => return Ok(Some(part)),
                DecodeStep::End => return Ok(None),
                DecodeStep::More if self.fill().await? == 0 => {
                    return match body.ends_with_connection() {
                        true => Ok(None),
                        false => Err(ExchangeError::Lost { why: "body broken off".into() }),
                    };
                }
                DecodeStep::More => {}
            }
        }
    }
}

impl Drop for Connection {
    /// A request that is given up is taken back as far as it is still on its way. After a mere close the system goes on
    /// delivering it, also seconds later behind a cut that heals.
    fn drop(&mut self) {
        if self.unanswered
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!(error:% = error; "connection_not_reset");
        }
    }
}
