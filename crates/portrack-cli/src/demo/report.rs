//! The report at the end of the demonstration.

use super::guarantees::{Guarantee, GuaranteeChecker};
use super::observations::{End, Observations};
use crate::output::table;
use hdrhistogram::Histogram;
use portrack_standins::world::World;

/// Formats the report.
pub fn text(
    world: &World,
    observed: &Observations,
    checker: &GuaranteeChecker,
    guarantees: &[Guarantee],
) -> String {
    let mut rows = vec![];
    let mut row = |name: &str, value: String| rows.push(vec![name.to_owned(), value]);
    let right = observed.completions.iter().filter(|c| c.end == End::Right).count();
    row("completions", format!("{} of {} answered", right, observed.completions.len()));
    let unlocked = observed.unlocks.iter().filter(|u| u.end == End::Right).count();
    row("unlocks", format!("{} of {} answered", unlocked, observed.unlocks.len()));
    row("lookups", observed.lookups.len().to_string());
    row("wait for a start", quantiles(observed.completions.iter().filter_map(|c| c.wait_ms)));
    row("first token", quantiles(observed.completions.iter().filter_map(|c| c.first_ms)));
    let refused = observed.completions.iter().filter(|c| matches!(c.end, End::NotRun(_)));
    row("refused after", quantiles(refused.filter_map(|c| c.first_ms)));
    let stalled =
        observed.completions.iter().filter(|c| c.wait_ms.is_some_and(|ms| ms >= 50)).count();
    row("stalled 50 ms or more", format!("{stalled} of {}", observed.completions.len()));
    let (steps, stepped) = world.engines.iter().fold((0, 0), |(steps, stepped), (_, engine)| {
        let record = engine.record();
        (steps + record.steps, stepped + record.stepped)
    });
    let depth = stepped as f64 / f64::max(steps as f64, 1.0);
    row("batch fullness", format!("{depth:.2} requests a step"));
    row("adapter loads", world.weights.loads().to_string());
    let at_once = world.weights.most_at_once();
    row("loads at once, at most", at_once.to_string());
    if let Some(after) = checker.in_force_after() {
        row("change in force everywhere", format!("after {} ms", after.as_millis()));
    }
    for (reason, count) in observed.refusals() {
        row(&format!("refused: {reason}"), count.to_string());
    }
    let mut text = format!("\n{}\n", table(&rows));
    let mut rows = vec![["promise", "checked", "broken"].map(String::from).to_vec()];
    for guarantee in guarantees {
        rows.push(vec![
            guarantee.name.to_owned(),
            guarantee.checked.to_string(),
            guarantee.broken.to_string(),
        ]);
    }
    let broken: usize = guarantees.iter().map(|guarantee| guarantee.broken).sum();
    rows.push(vec!["all".into(), String::new(), broken.to_string()]);
    text.push_str(&table(&rows));
    text
}

fn quantiles(values: impl Iterator<Item = u64>) -> String {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are valid");
    for value in values {
        histogram.record(value).expect("the histogram grows");
    }
    let [p50, p95, p99] = [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q));
    format!("p50 {p50} ms, p95 {p95} ms, p99 {p99} ms")
}
