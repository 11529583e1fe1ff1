//! Messages of a connection between two daemons: a length, then the body.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The largest body, in bytes: a fleet's whole state with a configuration of thousands of routes.
const MAX_BODY: u32 = 8 * 1024 * 1024;
/// Bytes read at once of a message over a slow link.
const PART: usize = 4_096;

/// A message as bytes with its length; `None` if it is too long.
fn frame(body: &impl Serialize) -> Option<Vec<u8>> {
    let body = postcard::to_allocvec(body).ok()?;
    let length = u32::try_from(body.len()).ok().filter(|length| *length <= MAX_BODY)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(body);
    Some(bytes)
}

/// Writes a message; `None` if it is too long or the connection broke.
pub(in crate::gateway) async fn write_frame(
    stream: &mut (impl AsyncWrite + Unpin),
    body: &impl Serialize,
) -> Option<()> {
    stream.write_all(&frame(body)?).await.ok()
}

/// Why a message did not come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) enum FrameError {
    /// Nothing came for a while.
    Silent,
    /// The connection ended, or what came is no message.
    Broken,
}

/// Reads a message of which parts keep coming: between two of them pass `silent` at most, however
/// long the whole takes over a slow link.
pub(in crate::gateway) async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    silent: Duration,
) -> Result<T, FrameError> {
    let mut head = [0; 4];
    read_part(stream, &mut head, silent).await?;
    let length = u32::from_be_bytes(head);
    if length > MAX_BODY {
        return Err(FrameError::Broken);
    }
    let mut body = Vec::new();
    let mut part = [0; PART];
    while body.len() < length as usize {
        let wanted = PART.min(length as usize - body.len());
        read_part(stream, &mut part[..wanted], silent).await?;
        body.extend_from_slice(&part[..wanted]);
    }
    postcard::from_bytes(&body).map_err(|_| FrameError::Broken)
}

async fn read_part(
    stream: &mut (impl AsyncRead + Unpin),
    part: &mut [u8],
    silent: Duration,
) -> Result<(), FrameError> {
    let read = actix_rt::time::timeout(silent, stream.read_exact(part)).await;
    let read = read.map_err(|_| FrameError::Silent)?;
    read.map(|_| ()).map_err(|_| FrameError::Broken)
}
