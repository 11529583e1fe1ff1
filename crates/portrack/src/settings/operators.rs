//! Operators and their tokens.

use super::SettingsError;
use super::error::ReadSnafu;
use snafu::ResultExt;
use std::path::Path;
use subtle::ConstantTimeEq;

/// Minimum length of a token, in bytes.
const MIN_TOKEN_LEN: usize = 16;
/// Operator name in the audit trail if no tokens are configured.
const ANONYMOUS: &str = "loopback";

/// An operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// Name in the audit trail.
    pub name: String,
}

/// The operators, read from a file with one `name token` pair per line.
#[derive(Clone, Default)]
pub struct Operators(Option<Vec<(String, String)>>);

impl Operators {
    /// Accepts every client that can reach the listener, under one name.
    pub fn anybody() -> Self {
        Self(None)
    }

    /// Reads a token file.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        let mut all = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let pair = line.split_once(char::is_whitespace);
            let pair = pair.map(|(name, token)| (name.to_owned(), token.trim().to_owned()));
            match pair.filter(|(_, token)| token.len() >= MIN_TOKEN_LEN) {
                Some(pair) => all.push(pair),
                None => {
                    return Err(SettingsError::Parse {
                        file: file.to_owned(),
                        line: at + 1,
                        message: format!(
                            "expected a name and a token of at least {MIN_TOKEN_LEN} bytes"
                        ),
                    });
                }
            }
        }
        Ok(Self(Some(all)))
    }

    /// The operator that sent this `Authorization` header. Compares every token in constant time.
    pub fn identify(&self, header: Option<&str>) -> Option<Operator> {
        let Some(all) = &self.0 else {
            return Some(Operator { name: ANONYMOUS.to_owned() });
        };
        let token = header?.strip_prefix("Bearer ")?.trim();
        let mut found = None;
        for (name, secret) in all {
            if bool::from(secret.as_bytes().ct_eq(token.as_bytes())) {
                found = Some(Operator { name: name.clone() });
            }
        }
        found
    }
}
