//! Output of results as text or JSON.

use serde::Serialize;
use std::str::FromStr;

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Human-readable text.
    Text,
    /// JSON.
    Json,
}

impl FromStr for Output {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("unknown output format {other:?}, expected text or json")),
        }
    }
}

impl Output {
    /// Prints a value as JSON, or as text formatted by `text`.
    pub fn print<T: Serialize>(self, value: &T, text: impl FnOnce(&T) -> String) {
        match self {
            Self::Text => print!("{}", text(value)),
            Self::Json => {
                let json = serde_json::to_string_pretty(value);
                println!("{}", json.expect("results have string keys only"));
            }
        }
    }
}

/// Formats rows as a table; each column is as wide as its widest cell.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width =
        |at: usize| rows.iter().filter_map(|row| row.get(at)).map(String::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
