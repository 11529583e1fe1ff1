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

/// Whether a line, without its line end, is a field: a name, a colon and a value.
pub fn is_field(line: &[u8]) -> bool {
    if line.iter().any(|byte| matches!(byte, b'\r' | b'\n')) {
        return false;
    }
    let head = [line, b"\r\n\r\n"].concat();
    let mut fields = [httparse::EMPTY_HEADER; 1];
    let parsed = httparse::parse_headers(&head, &mut fields);
    matches!(parsed, Ok(httparse::Status::Complete((_, [_]))))
}

/// Whether a byte may stand in a value.
pub fn is_text(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}
