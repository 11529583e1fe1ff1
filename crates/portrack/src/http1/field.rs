//! Lines of heads and trailers.

/// Whether every line ends with CRLF, as far as the bytes go.
pub fn has_sound_line_ends(bytes: &[u8]) -> bool {
    let mut previous = 0;
    bytes.iter().all(|&byte| {
        let is_sound = (previous == b'\r') == (byte == b'\n');
        previous = byte;
        is_sound
    })
}
