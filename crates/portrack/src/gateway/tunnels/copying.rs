//! Copies bytes between the two connections of a tunnel.

use super::framing::{HEADER, MAX_FRAME, SERVER_CLOSED, header};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

/// A direction whose reader takes nothing for this long is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// A tunnel in which the server sends nothing for this long is given up.
const QUIET_TIMEOUT: Duration = Duration::from_secs(120);

/// How a tunnel ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelEnd {
    /// One side closed its connection.
    Closed,
    /// A connection broke, or bytes may be outdated; both are reset.
    Broken,
}

/// Copies bytes both ways until one side closes or breaks. Bytes from the server are sent in frames if the other
/// daemon reads them. `may_forward` is asked before bytes are sent to the server.
pub async fn copy_tunnel(
    peer: &mut TcpStream,
    server: &mut TcpStream,
    framed: bool,
    may_forward: impl Fn() -> bool,
) -> TunnelEnd {
    let end = {
        let (peer_read, peer_write) = peer.split();
        let (server_read, server_write) = server.split();
        tokio::select! {
            end = copy(peer_read, server_write, Duration::MAX, false, may_forward) => end,
            end = copy(server_read, peer_write, QUIET_TIMEOUT, framed, || true) => end,
        }
    };
    if end == TunnelEnd::Broken {
        reset(peer);
        reset(server);
    }
    end
}

async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    quiet_timeout: Duration,
    framed: bool,
    may_forward: impl Fn() -> bool,
) -> TunnelEnd {
    let mut buffer = vec![0; HEADER + MAX_FRAME];
    loop {
        let reading = actix_rt::time::timeout(quiet_timeout, from.read(&mut buffer[HEADER..]));
        let length = match reading.await {
            Ok(Ok(0)) => break,
            Ok(Ok(length)) => length,
            Ok(Err(_)) | Err(_) => return TunnelEnd::Broken,
        };
        if !may_forward() {
            return TunnelEnd::Broken;
        }
        buffer[..HEADER].copy_from_slice(&header(length));
        let start = if framed { 0 } else { HEADER };
        if !write(&mut to, &buffer[start..HEADER + length]).await {
            return TunnelEnd::Broken;
        }
    }
    match framed && !write(&mut to, &SERVER_CLOSED).await {
        true => TunnelEnd::Broken,
        false => TunnelEnd::Closed,
    }
}

async fn write(to: &mut WriteHalf<'_>, bytes: &[u8]) -> bool {
    let writing = actix_rt::time::timeout(WRITE_TIMEOUT, to.write_all(bytes));
    matches!(writing.await, Ok(Ok(())))
}

/// Makes closing a connection reset it, so that nothing still on its way is delivered.
fn reset(connection: &TcpStream) {
    if let Err(error) = connection.set_zero_linger() {
        log::warn!(error:% = error; "connection_not_reset");
    }
}
