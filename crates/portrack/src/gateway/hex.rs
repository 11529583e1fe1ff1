//! Hexadecimal encoding of bytes in logs, store keys and stored values.

use std::fmt;

/// Writes bytes as lower-case hexadecimal digits.
pub fn write(bytes: &[u8], out: &mut fmt::Formatter<'_>) -> fmt::Result {
    bytes.iter().try_for_each(|byte| write!(out, "{byte:02x}"))
}

/// Parses exactly `N` bytes; `None` for any other text.
pub fn read<const N: usize>(text: &str) -> Option<[u8; N]> {
    if text.len() != 2 * N || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; N];
    for (byte, at) in bytes.iter_mut().zip((0..text.len()).step_by(2)) {
        *byte = u8::from_str_radix(&text[at..at + 2], 16).ok()?;
    }
    Some(bytes)
}
