//! Bytes as text in logs, keys of the store and stored values: two digits each.

use std::fmt;

/// Writes bytes.
pub fn write(bytes: &[u8], out: &mut fmt::Formatter<'_>) -> fmt::Result {
    bytes.iter().try_for_each(|byte| write!(out, "{byte:02x}"))
}

/// Reads so many bytes; `None` for a text that is not just these.
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
