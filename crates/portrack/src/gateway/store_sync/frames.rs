//! Framing of messages between two daemons: a length, then the body.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The largest body in bytes. A fleet's whole state with a configuration of thousands of routes
/// fits.
const MAX_BODY: u32 = 8 * 1024 * 1024;
/// Bytes read at a time. The read timeout applies to each chunk, so that a slow link is not
/// mistaken for a silent one.
const CHUNK: usize = 4_096;

/// Encodes a message with its length prefix; `None` if it is too long.
fn encode_frame(body: &impl Serialize) -> Option<Vec<u8>> {
    let body = postcard::to_allocvec(body).ok()?;
    let length = u32::try_from(body.len()).ok().filter(|length| *length <= MAX_BODY)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(body);
    Some(bytes)
}

/// Writes a message. Returns `None` if it is too long or the connection failed.
pub(in crate::gateway) async fn write_frame(
    stream: &mut (impl AsyncWrite + Unpin),
    body: &impl Serialize,
) -> Option<()> {
    stream.write_all(&encode_frame(body)?).await.ok()
}

/// Writes a message of any length: each chunk must be accepted within `timeout`.
pub(in crate::gateway) async fn write_large_frame(
    stream: &mut (impl AsyncWrite + Unpin),
    body: &impl Serialize,
    timeout: Duration,
) -> Option<()> {
    for chunk in encode_frame(body)?.chunks(CHUNK) {
        actix_rt::time::timeout(timeout, stream.write_all(chunk)).await.ok()?.ok()?;
    }
    Some(())
}

/// Why no message was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) enum FrameError {
    /// Nothing arrived for a while.
    TimedOut,
    /// The connection was closed, or the data is not a valid message.
    Failed,
}

/// Reads a message. Each chunk must arrive within `timeout`; the whole message may take any time
/// over a slow link.
pub(in crate::gateway) async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    timeout: Duration,
) -> Result<T, FrameError> {
    let mut length = [0; 4];
    read_chunk(stream, &mut length, timeout).await?;
    read_frame_body(stream, u32::from_be_bytes(length), timeout).await
}

/// Reads the rest of a message after its length, as [`read_frame`] does.
pub(in crate::gateway) async fn read_frame_body<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    length: u32,
    timeout: Duration,
) -> Result<T, FrameError> {
    if length > MAX_BODY {
        return Err(FrameError::Failed);
    }
    let mut body = Vec::new();
    let mut chunk = [0; CHUNK];
    while body.len() < length as usize {
        let wanted = CHUNK.min(length as usize - body.len());
        read_chunk(stream, &mut chunk[..wanted], timeout).await?;
        body.extend_from_slice(&chunk[..wanted]);
    }
    postcard::from_bytes(&body).map_err(|_| FrameError::Failed)
}

async fn read_chunk(
    stream: &mut (impl AsyncRead + Unpin),
    chunk: &mut [u8],
    timeout: Duration,
) -> Result<(), FrameError> {
    let read = actix_rt::time::timeout(timeout, stream.read_exact(chunk)).await;
    let read = read.map_err(|_| FrameError::TimedOut)?;
    read.map(|_| ()).map_err(|_| FrameError::Failed)
}
