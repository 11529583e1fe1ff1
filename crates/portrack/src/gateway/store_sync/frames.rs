//! Framing of messages between two daemons: a length, then the body.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The largest body in bytes. A fleet's whole state with a configuration of thousands of routes
/// fits.
pub(super) const MAX_BODY: u32 = 8 * 1024 * 1024;
/// Bytes read or written at a time. Timeouts apply to each chunk, so that a slow link is not
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
    write_bytes(stream, &encode_frame(body)?, timeout).await
}

/// Writes bytes, of which each chunk must be accepted within `timeout`.
pub(in crate::gateway) async fn write_bytes(
    stream: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
    timeout: Duration,
) -> Option<()> {
    for chunk in bytes.chunks(CHUNK) {
        actix_rt::time::timeout(timeout, stream.write_all(chunk)).await.ok()?.ok()?;
    }
    Some(())
}

/// Why no message was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) enum FrameError {
    /// Nothing arrived for a while.
    TimedOut,
    /// The connection could not be opened, or was closed.
    Closed,
    /// The data is not a valid message.
    Malformed,
}

/// Reads a message. It may take any time over a slow link, but never pause for `timeout`.
pub(in crate::gateway) async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    timeout: Duration,
) -> Result<T, FrameError> {
    let mut length = [0; 4];
    let reading = actix_rt::time::timeout(timeout, stream.read_exact(&mut length)).await;
    let reading = reading.map_err(|_| FrameError::TimedOut)?;
    reading.map_err(|_| FrameError::Closed)?;
    read_frame_body(stream, u32::from_be_bytes(length), timeout, |_| {}).await
}

/// Reads the rest of a message after its length, as [`read_frame`] does. `received` is told the
/// number of bytes whenever some have arrived.
pub(in crate::gateway) async fn read_frame_body<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    length: u32,
    timeout: Duration,
    received: impl Fn(usize),
) -> Result<T, FrameError> {
    if length > MAX_BODY {
        return Err(FrameError::Malformed);
    }
    let mut body = Vec::new();
    let collect = |bytes: &[u8]| {
        body.extend_from_slice(bytes);
        received(bytes.len());
    };
    read_bytes(stream, length, timeout, collect).await?;
    postcard::from_bytes(&body).map_err(|_| FrameError::Malformed)
}

/// Reads `length` bytes, and hands them over as they arrive. There must never be a pause of `timeout`.
pub(in crate::gateway) async fn read_bytes(
    stream: &mut (impl AsyncRead + Unpin),
    length: u32,
    timeout: Duration,
    mut received: impl FnMut(&[u8]),
) -> Result<(), FrameError> {
    let mut buffer = [0; CHUNK];
    let mut left = length as usize;
    while left > 0 {
        let wanted = CHUNK.min(left);
        let bytes = read_some(stream, &mut buffer[..wanted], timeout).await?;
        left -= bytes.len();
        received(bytes);
    }
    Ok(())
}

/// Reads the next bytes, which must arrive within `timeout`.
async fn read_some<'a>(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &'a mut [u8],
    timeout: Duration,
) -> Result<&'a [u8], FrameError> {
    let reading = actix_rt::time::timeout(timeout, stream.read(buffer)).await;
    let length = reading.map_err(|_| FrameError::TimedOut)?.map_err(|_| FrameError::Closed)?;
    if length == 0 {
        return Err(FrameError::Closed);
    }
    Ok(&buffer[..length])
}
