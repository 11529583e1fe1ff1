//! A caller's connection, byte by byte: an answer that breaks off must be told from a whole one.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest wait for a connection to come up.
const CONNECT: Duration = Duration::from_secs(1);

/// An answer that was read to its end.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The head, in lower case.
    head: String,
    /// The body, without the framing.
    pub body: String,
}

impl Answer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// True if the daemon closes the connection after this answer.
    pub fn closes(&self) -> bool {
        self.header("connection") == Some("close")
    }
}

/// A connection that carries one request after the other.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Connects.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let connecting = actix_rt::time::timeout(CONNECT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| Error::from(ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    /// Sends a request and reads its whole answer.
    pub async fn ask(&mut self, request: &str) -> Result<Answer> {
        self.stream.write_all(request.as_bytes()).await?;
        let head = self.until(b"\r\n\r\n").await?.to_ascii_lowercase();
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let mut answer = Answer { status, head, body: String::new() };
        answer.body = match answer.header("transfer-encoding") {
            Some(_) => self.chunks().await?,
            None => {
                let length = answer.header("content-length").and_then(|text| text.parse().ok());
                self.bytes(length.unwrap_or(0)).await?
            }
        };
        Ok(answer)
    }

    async fn chunks(&mut self) -> Result<String> {
        let mut body = String::new();
        loop {
            let size = self.until(b"\r\n").await?;
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_| Error::from(ErrorKind::InvalidData))?;
            body.push_str(&self.bytes(size).await?);
            self.until(b"\r\n").await?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    async fn until(&mut self, mark: &[u8]) -> Result<String> {
        loop {
            let found = self.buffer.windows(mark.len()).position(|bytes| bytes == mark);
            if let Some(at) = found {
                let text = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + mark.len());
                return Ok(text);
            }
            self.fill().await?;
        }
    }

    async fn bytes(&mut self, length: usize) -> Result<String> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        let bytes: Vec<u8> = self.buffer.drain(..length).collect();
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    async fn fill(&mut self) -> Result<()> {
        let mut part = [0; 4_096];
        match self.stream.read(&mut part).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            read => {
                self.buffer.extend_from_slice(&part[..read]);
                Ok(())
            }
        }
    }
}
