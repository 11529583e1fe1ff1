//! Where the credit of a day on the users' bench went, by cause.
//!
//! Reads the report that `fleetbench run --report` writes and, if given, what the daemons logged.

mod day_log;
mod delays;
mod loads;
mod places;
mod refusals;
mod report;

use day_log::DayLog;
use report::DayReport;
use std::fmt::Write as _;
use std::path::Path;

/// Losses below this share of the credit are left out.
const LEAST: f64 = 0.0005;
/// The worst windows that are shown.
const WINDOWS: usize = 4;

/// The causes of a day's losses, the largest first.
pub fn text(report: &Path, log: Option<&Path>) -> std::io::Result<String> {
    let report = DayReport::read(report)?;
    let mut text = String::new();
    let _ = writeln!(text, "worth {:.4}; broken rules: {}", report.worth, report.broken());
    for (name, loss) in report.losses().into_iter().filter(|(_, loss)| *loss >= LEAST) {
        let _ = writeln!(text, "{loss:>8.4}  {name}");
    }
    for window in report.worst_windows(WINDOWS) {
        let _ = writeln!(
            text,
            "window of second {}: worth {:.3}, {} late, {} refused, {} failed of {}",
            window.name, window.worth, window.late, window.refused, window.failed, window.asked
        );
    }
    if let Some(log) = log {
        for line in DayLog::read(log)?.lines() {
            let _ = writeln!(text, "{line}");
        }
    }
    Ok(text)
}
