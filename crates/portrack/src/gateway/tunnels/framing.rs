//! Framing of what a carrier sends back from a server: each frame is a length of two bytes and as many bytes. An
//! empty one says that the server has closed its connection. A carrier that is killed does not send it.

use bytes::{Buf, BytesMut};

/// Size of a frame's length in bytes.
pub const HEADER: usize = 2;
/// The frame that says that the server has closed its connection.
pub const SERVER_CLOSED: [u8; HEADER] = [0; HEADER];
/// Maximum number of bytes in a frame.
pub const MAX_FRAME: usize = 8 * 1024;

/// Writes the length of a frame.
pub fn header(length: usize) -> [u8; HEADER] {
    u16::try_from(length).expect("at most MAX_FRAME bytes").to_be_bytes()
}

/// Removes the frames from what a carrier sends.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    /// Bytes received and not decoded yet.
    pub received: BytesMut,
    /// Bytes that the current frame still lacks.
    left: usize,
    server_closed: bool,
}

impl FrameDecoder {
    /// Moves the bytes of frames to `out`; returns their number.
    pub fn decode(&mut self, out: &mut BytesMut) -> usize {
        let before = out.len();
        while !self.server_closed && self.begin_frame() && !self.received.is_empty() {
            let length = self.left.min(self.received.len());
            out.extend_from_slice(&self.received.split_to(length));
            self.left -= length;
        }
        out.len() - before
    }

    /// Reads the next length if a frame is complete. Returns false if it is not there yet, or the server has
    /// closed its connection.
    fn begin_frame(&mut self) -> bool {
        if self.left > 0 {
            return true;
        }
        if self.received.len() < HEADER {
            return false;
        }
        self.left = usize::from(self.received.get_u16());
        self.server_closed = self.left == 0;
        !self.server_closed
    }

    /// Whether the carrier said that the server has closed its connection.
    pub fn server_closed(&self) -> bool {
        self.server_closed
    }

    /// Whether there are bytes that were not decoded.
    pub fn has_leftover(&self) -> bool {
        self.left > 0 || self.server_closed || !self.received.is_empty()
    }
}
