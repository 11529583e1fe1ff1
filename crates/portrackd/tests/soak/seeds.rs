//! Runs a scenario with several seeds.

/// Runs the seeds given by the environment, or `seeds` seeds from `first` on, up to `at_once` at the same
/// time; panics with the violations.
pub async fn run_seeds<F: Future<Output = Result<String, String>>>(
    first: u64,
    seeds: u64,
    at_once: usize,
    run: impl Fn(u64) -> F,
) {
    let first = number("PORTRACK_SOAK_FIRST", first);
    let seeds: Vec<u64> = (first..first + number("PORTRACK_SOAK_SEEDS", seeds)).collect();
    let mut violations = Vec::new();
    for chunk in seeds.chunks(at_once) {
        for result in futures_util::future::join_all(chunk.iter().map(|seed| run(*seed))).await {
            match result {
                Ok(summary) => println!("{summary}"),
                Err(why) => violations.push(why),
            }
        }
    }
    assert!(
        violations.is_empty(),
        "{} of {} seeds failed: {violations:#?}",
        violations.len(),
        seeds.len()
    );
}

/// Reads a number from an environment variable.
pub fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
