//! Messages of a connection between two daemons: a length, then the body.

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The largest body, in bytes: a fleet's whole state with a configuration of thousands of routes.
const MAX_BODY: u32 = 8 * 1024 * 1024;

/// A message as bytes with its length; `None` if it is too long.
pub(super) fn frame(body: &impl Serialize) -> Option<Vec<u8>> {
    let body = postcard::to_allocvec(body).ok()?;
    let length = u32::try_from(body.len()).ok().filter(|length| *length <= MAX_BODY)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(body);
    Some(bytes)
}

/// Writes a message; `None` if it is too long or the connection broke.
pub(super) async fn write_frame(stream: &mut TcpStream, body: &impl Serialize) -> Option<()> {
    stream.write_all(&frame(body)?).await.ok()
}

/// Reads a message; `None` if it is too long, malformed, or the connection broke.
pub(super) async fn read_frame<T: DeserializeOwned>(stream: &mut TcpStream) -> Option<T> {
    let length = stream.read_u32().await.ok().filter(|length| *length <= MAX_BODY)?;
    let mut body = Vec::new();
    let read = stream.take(u64::from(length)).read_to_end(&mut body).await.ok()?;
    (read == length as usize).then(|| postcard::from_bytes(&body).ok()).flatten()
}
