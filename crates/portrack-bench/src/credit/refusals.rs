//! Why requests ended badly, by the daemons' own lines.

use portrack::gateway::log_field;
use std::collections::BTreeMap;

/// Requests that were not answered, by cause.
#[derive(Debug, Clone, Default)]
pub struct Refusals {
    causes: BTreeMap<String, u64>,
}

/// What was known of the adapter, without the times.
fn adapter_state(line: &str) -> &str {
    let state = log_field(line, "adapter_state").unwrap_or_default().trim_matches('"');
    let end = state.find(|c: char| c.is_ascii_digit()).unwrap_or(state.len());
    state[..end].trim_end_matches('_')
}

impl Refusals {
    /// Takes a request's line in.
    pub fn take(&mut self, line: &str) {
        let Some(end) = log_field(line, "end").filter(|end| *end != "answered") else { return };
        let state = adapter_state(line);
        let cause = if state.is_empty() { end.to_owned() } else { format!("{end}, {state}") };
        *self.causes.entry(cause).or_default() += 1;
    }

    /// The causes with their numbers, the most frequent first.
    pub fn sorted(&self) -> Vec<(&str, u64)> {
        let mut causes: Vec<(&str, u64)> =
            self.causes.iter().map(|(cause, count)| (cause.as_str(), *count)).collect();
        causes.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        causes
    }
}
