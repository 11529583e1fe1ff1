//! The table at the end.

use super::judge::{Judge, Promise};
use super::seen::{End, Seen};
use crate::output::table;
use hdrhistogram::Histogram;
use portrack_standins::world::World;

/// The whole report.
pub fn text(world: &World, seen: &Seen, judge: &Judge, promises: &[Promise]) -> String {
    let mut rows = vec![];
    let mut row = |name: &str, value: String| rows.push(vec![name.to_owned(), value]);
    let right = seen.completions.iter().filter(|c| c.end == End::Right).count();
    row("completions", format!("{} of {} answered", right, seen.completions.len()));
    let unlocked = seen.unlocks.iter().filter(|u| u.end == End::Right).count();
    row("unlocks", format!("{} of {} answered", unlocked, seen.unlocks.len()));
    row("lookups", seen.lookups.len().to_string());
    row("wait for a start", quantiles(seen.completions.iter().filter_map(|c| c.wait_ms)));
    row("first token", quantiles(seen.completions.iter().filter_map(|c| c.first_ms)));
    let refused = seen.completions.iter().filter(|c| matches!(c.end, End::NotRun(_)));
    row("refused after", quantiles(refused.filter_map(|c| c.first_ms)));
    let stalled = seen.completions.iter().filter(|c| c.wait_ms.is_some_and(|ms| ms >= 50)).count();
    row("stalled 50 ms or more", format!("{stalled} of {}", seen.completions.len()));
    let (steps, stepped) = world.engines.iter().fold((0, 0), |(steps, stepped), (_, engine)| {
        let record = engine.record();
        (steps + record.steps, stepped + record.stepped)
    });
    let depth = stepped as f64 / f64::max(steps as f64, 1.0);
    row("batch fullness", format!("{depth:.2} requests a step"));
    row("adapter loads", world.weights.loads().to_string());
    let at_once = world.weights.most_at_once();
    row("loads at once, at most", at_once.to_string());
    if let Some(after) = judge.in_force_after() {
        row("change in force everywhere", format!("after {} ms", after.as_millis()));
    }
    for (reason, count) in seen.refusals() {
        row(&format!("refused: {reason}"), count.to_string());
    }
    let mut text = format!("\n{}\n", table(&rows));
    let mut rows = vec![["promise", "checked", "broken"].map(String::from).to_vec()];
    for promise in promises {
        rows.push(vec![
            promise.name.to_owned(),
            promise.checked.to_string(),
            promise.broken.to_string(),
        ]);
    }
    let broken: usize = promises.iter().map(|promise| promise.broken).sum();
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
