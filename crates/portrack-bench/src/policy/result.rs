//! Results of a run.

use hdrhistogram::Histogram;

/// Measurements of one policy over all seeds.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Name of the policy.
    pub policy: &'static str,
    stalls: Histogram<u64>,
    waits: Histogram<u64>,
    /// Number of requests.
    pub requests: u64,
    /// Requests whose adapter was not loaded at their engine on arrival.
    pub stalled: u64,
    /// Sum of load stalls, in milliseconds.
    pub stall_total: u64,
    /// Requests refused.
    pub refused: u64,
    /// Loads ordered.
    pub loads: u64,
    /// Steps with at least one request.
    pub steps: u64,
    /// Sum of the batch sizes of those steps.
    pub batch_size_sum: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are valid")
}

impl Outcome {
    /// Creates an empty result.
    pub fn new(policy: &'static str) -> Self {
        Self {
            policy,
            stalls: histogram(),
            waits: histogram(),
            requests: 0,
            stalled: 0,
            stall_total: 0,
            refused: 0,
            loads: 0,
            steps: 0,
            batch_size_sum: 0,
        }
    }

    /// Records the wait of a request until it started or was refused. `cold` means that its adapter
    /// was not loaded on arrival.
    pub fn record_wait(&mut self, millis: u64, cold: bool) {
        self.requests += 1;
        self.waits.record(millis).expect("the histogram resizes itself");
        let stall = if cold { millis } else { 0 };
        self.stalls.record(stall).expect("the histogram resizes itself");
        self.stalled += u64::from(cold);
        self.stall_total += stall;
    }

    /// Average number of requests in a step.
    pub fn mean_batch_size(&self) -> f64 {
        self.batch_size_sum as f64 / self.steps.max(1) as f64
    }

    /// The header of the table.
    pub fn table_header() -> String {
        "| policy | requests | refused | stalled | stall p50 ms | p95 | p99 | total s | \
         wait p95 ms | requests a step | loads |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
            .to_owned()
    }

    /// The table row of this policy.
    pub fn table_row(&self) -> String {
        let [p50, p95, p99] = [0.5, 0.95, 0.99].map(|q| self.stalls.value_at_quantile(q));
        format!(
            "| {} | {} | {} | {:.1}% | {p50} | {p95} | {p99} | {:.0} | {} | {:.2} | {} |\n",
            self.policy,
            self.requests,
            self.refused,
            100.0 * self.stalled as f64 / self.requests.max(1) as f64,
            self.stall_total as f64 / 1_000.0,
            self.waits.value_at_quantile(0.95),
            self.mean_batch_size(),
            self.loads,
        )
    }
}
