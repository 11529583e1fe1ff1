//! Incremental decoder of response bodies, for all framings.

use super::ResponseError;
use super::bounds::{MAX_CHUNK_LINE_BYTES, MAX_TRAILER_BYTES};
use super::field::{is_field, is_text};
use super::framing::Framing;
use bytes::{Buf, Bytes, BytesMut};

/// Result of a decoding step.
#[derive(Debug, PartialEq, Eq)]
pub enum DecodeStep {
    /// The next bytes of the body.
    Part(Bytes),
    /// The body has ended.
    End(BodyEnd),
    /// More bytes are needed.
    More,
}

/// What tells that a body has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// Its length or its last chunk: it is complete.
    Stated,
    /// An orderly close of the connection. A server that crashes may close it in the same way.
    Closed,
}

/// Decodes the body of one response from the bytes of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyDecoder {
    state: DecodeState,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum DecodeState {
    Length(u64),
    ChunkLine,
    Chunk(u64),
    ChunkEnd,
    /// What follows the last chunk, with the number of bytes read of it.
    Trailer(usize),
    UntilClose,
    Done,
    Closed,
}

impl BodyDecoder {
    /// Creates a decoder for a body with the given framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => DecodeState::Done,
            Framing::Length(length) => DecodeState::Length(length),
            Framing::Chunked => DecodeState::ChunkLine,
            Framing::UntilClose => DecodeState::UntilClose,
        };
        Self { state }
    }

    /// Handles the close of the connection. Returns `None` if the body is incomplete.
    pub fn on_close(&mut self) -> Option<BodyEnd> {
        match self.state {
            DecodeState::UntilClose | DecodeState::Closed => {
                self.state = DecodeState::Closed;
                Some(BodyEnd::Closed)
            }
            DecodeState::Done => Some(BodyEnd::Stated),
            _ => None,
        }
    }

    /// Decodes the next bytes of the buffer.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<DecodeStep, ResponseError> {
        loop {
            match self.state {
                DecodeState::Done => return Ok(DecodeStep::End(BodyEnd::Stated)),
                DecodeState::Closed => return Ok(DecodeStep::End(BodyEnd::Closed)),
                DecodeState::Length(left) => {
                    let Some(part) = take_bytes(buffer, left) else { return Ok(DecodeStep::More) };
                    let left = left - part.len() as u64;
                    self.state =
                        if left == 0 { DecodeState::Done } else { DecodeState::Length(left) };
                    return Ok(DecodeStep::Part(part));
                }
                DecodeState::UntilClose => {
                    let part = take_bytes(buffer, u64::MAX);
                    return Ok(part.map_or(DecodeStep::More, DecodeStep::Part));
                }
                DecodeState::ChunkLine => {
                    let Some(size) = chunk_size(buffer)? else { return Ok(DecodeStep::More) };
                    self.state =
                        if size == 0 { DecodeState::Trailer(0) } else { DecodeState::Chunk(size) };
                }
                DecodeState::Chunk(left) => {
                    let Some(part) = take_bytes(buffer, left) else { return Ok(DecodeStep::More) };
                    let left = left - part.len() as u64;
                    self.state =
                        if left == 0 { DecodeState::ChunkEnd } else { DecodeState::Chunk(left) };
                    return Ok(DecodeStep::Part(part));
                }
                DecodeState::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(DecodeStep::More);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(ResponseError::ChunkEnd);
                    }
                    buffer.advance(2);
                    self.state = DecodeState::ChunkLine;
                }
                DecodeState::Trailer(read) => {
                    let line = find_line_end(buffer);
                    let read = read + line.map_or(buffer.len(), |end| end + 2);
                    if read > MAX_TRAILER_BYTES {
                        return Err(ResponseError::TrailerTooLong);
                    }
                    let Some(end) = line else { return Ok(DecodeStep::More) };
                    if end > 0 && !is_field(&buffer[..end]) {
                        return Err(ResponseError::Trailer);
                    }
                    buffer.advance(end + 2);
                    self.state = match end {
                        0 => DecodeState::Done,
                        _ => DecodeState::Trailer(read),
                    };
                }
            }
        }
    }
}

fn take_bytes(buffer: &mut BytesMut, max_length: u64) -> Option<Bytes> {
    if buffer.is_empty() {
        return None;
    }
    let length = usize::try_from(max_length).unwrap_or(usize::MAX).min(buffer.len());
    Some(buffer.split_to(length).freeze())
}

/// Position of the first CRLF.
fn find_line_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\r\n")
}

/// Removes the line before a chunk from the front of `buffer` and returns the size that it states; `None` while it is
/// incomplete.
fn chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, ResponseError> {
    let Some(end) = find_line_end(&buffer[..buffer.len().min(MAX_CHUNK_LINE_BYTES)]) else {
        return match buffer.len() >= MAX_CHUNK_LINE_BYTES {
            true => Err(ResponseError::ChunkSize),
            false => Ok(None),
        };
    };
    let size = parse_chunk_line(&buffer[..end]).ok_or(ResponseError::ChunkSize)?;
    buffer.advance(end + 2);
    Ok(Some(size))
}

/// The size in a line `size [; extension]`. An empty size is none: taken for zero, it would end the body.
fn parse_chunk_line(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (size, extension) = line.split_at(digits);
    let size = std::str::from_utf8(size).ok()?;
    let size = u64::from_str_radix(size, 16).ok()?;
    is_chunk_extension(extension).then_some(size)
}

fn is_chunk_extension(bytes: &[u8]) -> bool {
    let is_begun = bytes.is_empty() || bytes.trim_ascii_start().starts_with(b";");
    is_begun && bytes.iter().all(|byte| is_text(*byte))
}
