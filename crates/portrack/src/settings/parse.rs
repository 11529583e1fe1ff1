//! TOML parsing with errors that name file, line and key.

use super::SettingsError;
use super::error::ParseSnafu;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Parses a text; `file` is only used in errors.
pub fn parse_toml<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, SettingsError> {
    let error: toml::de::Error = match toml::from_str(text) {
        Ok(parsed) => return Ok(parsed),
        Err(error) => error,
    };
    let line = error.span().map_or(1, |span| line_at(text, span.start));
    let message = with_key(text, line, error.message().replace('\n', " "));
    ParseSnafu { file, line, message }.fail()
}

fn line_at(text: &str, offset: usize) -> usize {
    text.as_bytes().iter().take(offset).filter(|byte| **byte == b'\n').count() + 1
}

/// Prefixes a message with the key of its line, unless the message names it already.
fn with_key(text: &str, line: usize, message: String) -> String {
    let source = text.lines().nth(line - 1).unwrap_or_default();
    match source.split_once('=') {
        Some((key, _)) if !message.contains(key.trim()) => format!("{}: {message}", key.trim()),
        _ => message,
    }
}
