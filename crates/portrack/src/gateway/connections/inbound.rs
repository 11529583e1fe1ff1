//! The receiving side of a connection to a server.

use super::connection::{ConnectionRoute, ExchangeError, lost};
use crate::gateway::tunnels::framing::FrameDecoder;
use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Size of a read in bytes.
const READ_SIZE: usize = 4 * 1024;

/// Bytes received from a server, directly or through another daemon.
#[derive(Debug)]
pub struct Inbound {
    /// Bytes of the server that were not used yet.
    pub buffer: BytesMut,
    source: Source,
}

/// Who ends the connection.
#[derive(Debug)]
enum Source {
    /// The server.
    Server,
    /// Another daemon, which says when the server does.
    Framed(FrameDecoder),
    /// Another daemon, which does not say why it does.
    Unframed,
}

impl Inbound {
    /// The receiving side of a new connection.
    pub fn of(route: &ConnectionRoute) -> Self {
        let source = match route {
            ConnectionRoute::Direct(_) => Source::Server,
            ConnectionRoute::Tunnel { framed: true, .. } => Source::Framed(FrameDecoder::default()),
            ConnectionRoute::Tunnel { framed: false, .. } => Source::Unframed,
        };
        Self { buffer: BytesMut::new(), source }
    }

    /// Whether there are bytes that were not used.
    pub fn has_leftover(&self) -> bool {
        let in_frames = matches!(&self.source, Source::Framed(frames) if frames.has_leftover());
        in_frames || !self.buffer.is_empty()
    }

    /// Reads more bytes into the buffer. Returns zero once the server has closed the connection.
    pub async fn read(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Result<usize, ExchangeError> {
        if let Source::Framed(frames) = &mut self.source {
            return read_frames(frames, stream, &mut self.buffer).await;
        }
        self.buffer.reserve(READ_SIZE);
        let read = stream.read_buf(&mut self.buffer).await.map_err(|error| lost(&error))?;
        match (read, &self.source) {
            (0, Source::Unframed) => Err(tunnel_closed()),
            _ => Ok(read),
        }
    }
}

async fn read_frames(
    frames: &mut FrameDecoder,
    stream: &mut (impl AsyncRead + Unpin),
    out: &mut BytesMut,
) -> Result<usize, ExchangeError> {
    loop {
        let decoded = frames.decode(out);
        if decoded > 0 || frames.server_closed() {
            return Ok(decoded);
        }
        frames.received.reserve(READ_SIZE);
        let read = stream.read_buf(&mut frames.received).await.map_err(|error| lost(&error))?;
        if read == 0 {
            return Err(tunnel_closed());
        }
    }
}

fn tunnel_closed() -> ExchangeError {
    ExchangeError::Lost { why: "tunnel closed".into() }
}
