//! What the lines of a day's daemons tell together.

use super::delays::Delays;
use super::loads::Loads;
use super::places::Places;
use super::refusals::Refusals;
use portrack::gateway::log_field;
use std::path::Path;

/// A day as its daemons logged it.
#[derive(Debug, Clone, Default)]
pub struct DayLog {
    refusals: Refusals,
    delays: Delays,
    places: Places,
    loads: Loads,
}

/// When a line was written, by the daemon's time of day; lines come in batches, daemon by daemon.
fn time_ms(line: &str) -> u64 {
    log_field(line, "time_ms").and_then(|time| time.parse().ok()).unwrap_or_default()
}

impl DayLog {
    /// Reads the lines that daemons wrote, in the order of their times.
    pub fn read(path: &Path) -> std::io::Result<Self> {
        let bytes = std::fs::read(path)?;
        let text = String::from_utf8_lossy(&bytes);
        let mut lines: Vec<&str> = text.lines().collect();
        lines.sort_by_key(|line| time_ms(line));
        let mut log = Self::default();
        lines.into_iter().for_each(|line| log.take(line));
        Ok(log)
    }

    fn take(&mut self, line: &str) {
        match log_field(line, "event") {
            Some("request") => {
                self.refusals.take(line);
                self.delays.take(line);
                self.places.take(line);
                self.loads.take_request(line);
            }
            Some("order") => self.loads.take_order(line),
            Some("server_gone") => self.loads.take_server_gone(line),
            _ => {}
        }
    }

    /// Ends other than answers, times of streams, places in use, loads.
    pub fn lines(&self) -> Vec<String> {
        let causes = self.refusals.sorted().into_iter();
        let mut lines: Vec<String> =
            causes.map(|(cause, count)| format!("{count:>8}  {cause}")).collect();
        lines.extend(self.delays.lines());
        lines.extend(self.places.lines());
        lines.extend(self.loads.lines());
        lines
    }
}
