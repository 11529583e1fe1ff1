//! A day's report as the users' bench writes it.

use serde_json::Value;
use std::io::{Error, ErrorKind};
use std::path::Path;

/// Requests of one kind, hall or window.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Group {
    /// The kind, hall or second.
    pub name: String,
    /// Requests owed.
    pub asked: u64,
    /// Answered beyond the objective.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Neither answered nor refused.
    pub failed: u64,
    /// Credit earned of the credit owed.
    pub worth: f64,
}

/// What is read of a report.
#[derive(Debug, Clone, Default)]
pub struct DayReport {
    /// Credit less prices.
    pub worth: f64,
    parts: Vec<(String, f64, f64)>,
    prices: Vec<(String, f64)>,
    windows: Vec<Group>,
    broken: Vec<String>,
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or_default()
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn rows(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn group(value: &Value) -> Group {
    let count = |name: &str| value[name].as_u64().unwrap_or_default();
    Group {
        name: text(&value["name"]),
        asked: count("n"),
        late: count("late"),
        refused: count("refused"),
        failed: count("failed"),
        worth: number(&value["worth"]),
    }
}

impl DayReport {
    /// Reads a report's file.
    pub fn read(path: &Path) -> std::io::Result<Self> {
        let bytes = std::fs::read(path)?;
        let value: Value = serde_json::from_slice(&bytes).map_err(|error| {
            Error::new(ErrorKind::InvalidData, format!("{}: {error}", path.display()))
        })?;
        let part = |row: &Value| (text(&row[0]), number(&row[1]), number(&row[2]));
        let price = |row: &Value| (text(&row[0]), number(&row[2]));
        Ok(Self {
            worth: number(&value["G"]),
            parts: rows(&value["parts"]).map(part).collect(),
            prices: rows(&value["prices"]).map(price).collect(),
            windows: rows(&value["windows"]).map(group).collect(),
            broken: value["breaks"]
                .as_object()
                .into_iter()
                .flatten()
                .map(|(k, _)| k.clone())
                .collect(),
        })
    }

    /// The rules that were broken, or `none`.
    pub fn broken(&self) -> String {
        if self.broken.is_empty() { "none".into() } else { self.broken.join(", ") }
    }

    /// What each part and each price took of the credit, the largest first.
    pub fn losses(&self) -> Vec<(String, f64)> {
        let parts = self.parts.iter().map(|(name, weight, kept)| {
            (format!("not earned: {name} ({kept:.3})"), weight * (1.0 - kept))
        });
        let prices = self.prices.iter().map(|(name, price)| (format!("price: {name}"), *price));
        let mut losses: Vec<(String, f64)> = parts.chain(prices).collect();
        losses.sort_by(|a, b| b.1.total_cmp(&a.1));
        losses
    }

    /// The windows that earned least.
    pub fn worst_windows(&self, count: usize) -> Vec<Group> {
        let mut windows = self.windows.clone();
        windows.sort_by(|a, b| a.worth.total_cmp(&b.worth));
        windows.truncate(count);
        windows
    }
}
