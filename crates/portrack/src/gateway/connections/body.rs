//! The body of an answer, part by part, whatever its framing.

use super::response::{Framing, ResponseError};
use bytes::{Buf, Bytes, BytesMut};

/// The longest line that begins a chunk.
const MAX_CHUNK_LINE: usize = 64;

/// What a step of reading gives.
#[derive(Debug, PartialEq, Eq)]
pub enum DecodeStep {
    /// Bytes of the body.
    Part(Bytes),
    /// The body is whole.
    End,
    /// More bytes are needed.
    More,
}

/// Splits a connection's bytes into the parts of one body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkLine,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

impl BodyDecoder {
    /// A decoder of one body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkLine,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// True if the end of the connection ends this body as a whole one.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Takes the next part off the buffer.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<DecodeStep, ResponseError> {
        loop {
            match self.state {
                State::Done => return Ok(DecodeStep::End),
                State::Length(left) => {
                    let Some(part) = take(buffer, left) else { return Ok(DecodeStep::More) };
                    let left = left - part.len() as u64;
                    self.state = if left == 0 { State::Done } else { State::Length(left) };
                    return Ok(DecodeStep::Part(part));
                }
                State::UntilClose => {
                    let part = take(buffer, u64::MAX);
                    return Ok(part.map_or(DecodeStep::More, DecodeStep::Part));
                }
                State::ChunkLine => {
                    let Some(size) = chunk_size(buffer)? else { return Ok(DecodeStep::More) };
                    self.state = if size == 0 { State::Trailer } else { State::Chunk(size) };
                }
                State::Chunk(left) => {
                    let Some(part) = take(buffer, left) else { return Ok(DecodeStep::More) };
                    let left = left - part.len() as u64;
                    self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                    return Ok(DecodeStep::Part(part));
                }
                State::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(DecodeStep::More);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(ResponseError { why: "a chunk without its end".into() });
                    }
                    buffer.advance(2);
                    self.state = State::ChunkLine;
                }
                State::Trailer => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        return Ok(DecodeStep::More);
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        self.state = State::Done;
                    }
                }
            }
        }
    }
}

fn take(buffer: &mut BytesMut, most: u64) -> Option<Bytes> {
    if buffer.is_empty() {
        return None;
    }
    let length = usize::try_from(most).unwrap_or(usize::MAX).min(buffer.len());
    Some(buffer.split_to(length).freeze())
}

fn chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, ResponseError> {
    let bad = || ResponseError { why: "a bad chunk".into() };
    match httparse::parse_chunk_size(buffer).map_err(|_| bad())? {
        httparse::Status::Complete((length, size)) => {
            buffer.advance(length);
            Ok(Some(size))
        }
        httparse::Status::Partial if buffer.len() > MAX_CHUNK_LINE => Err(bad()),
        httparse::Status::Partial => Ok(None),
    }
}
