//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Debug, Default)]
pub struct Head {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

fn early() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

/// Reads a head; `None` if the connection ends before it begins.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return if head.first.is_empty() { Ok(None) } else { Err(early()) };
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.split(' ').map(str::to_owned).collect();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

pub fn read_exactly(from: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a chunk; empty for the last one.
pub fn read_chunk(from: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(early());
    }
    let size = usize::from_str_radix(line.trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let chunk = read_exactly(from, size)?;
    read_exactly(from, 2)?;
    Ok(chunk)
}

/// Makes one call on a connection of its own, for the test's own use.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
    within: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&to, within)?;
    stream.set_read_timeout(Some(within))?;
    let length = body.len();
    write!(stream, "{method} {target} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n")?;
    write!(stream, "Content-Length: {length}\r\n\r\n")?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or_else(early)?;
    let status = head.first.get(1).and_then(|text| text.parse().ok()).ok_or_else(early)?;
    let body = read_exactly(&mut reader, head.length())?;
    Ok((status, body))
}

/// The query's parameters, decoded.
pub fn query(target: &str) -> Vec<(String, String)> {
    let pairs = target.split_once('?').map_or("", |(_, query)| query).split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (decoded(name), decoded(value))).collect()
}

pub fn parameter(target: &str, name: &str) -> String {
    let found = query(target).into_iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value).unwrap_or_default()
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 2;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn encoded(text: &str) -> String {
    let plain = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~".contains(byte);
    text.bytes()
        .map(|b| if plain(&b) { (b as char).to_string() } else { format!("%{b:02X}") })
        .collect()
}
