//! Copies bytes between the two connections of a tunnel.

use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

/// Size of each direction's buffer in bytes.
const BUFFER: usize = 8 * 1024;
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

/// Copies bytes both ways until one side closes or breaks. `may_forward` is asked before bytes are sent to
/// the server.
pub async fn copy_tunnel(
    peer: &mut TcpStream,
    server: &mut TcpStream,
    may_forward: impl Fn() -> bool,
) -> TunnelEnd {
    let end = {
        let (peer_read, peer_write) = peer.split();
        let (server_read, server_write) = server.split();
        tokio::select! {
            end = copy(peer_read, server_write, Duration::MAX, may_forward) => end,
            end = copy(server_read, peer_write, QUIET_TIMEOUT, || true) => end,
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
    may_forward: impl Fn() -> bool,
) -> TunnelEnd {
    let mut buffer = vec![0; BUFFER];
    loop {
        let reading = actix_rt::time::timeout(quiet_timeout, from.read(&mut buffer));
        let length = match reading.await {
            Ok(Ok(0)) => return TunnelEnd::Closed,
            Ok(Ok(length)) => length,
            Ok(Err(_)) | Err(_) => return TunnelEnd::Broken,
        };
        if !may_forward() {
            return TunnelEnd::Broken;
        }
        let writing = actix_rt::time::timeout(WRITE_TIMEOUT, to.write_all(&buffer[..length]));
        if !matches!(writing.await, Ok(Ok(()))) {
            return TunnelEnd::Broken;
        }
    }
}

/// Makes closing a connection reset it, so that nothing still on its way is delivered.
fn reset(connection: &TcpStream) {
    if let Err(error) = connection.set_zero_linger() {
        log::warn!(error:% = error; "connection_not_reset");
    }
}
