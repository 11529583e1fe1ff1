//! What a run showed.

use hdrhistogram::Histogram;

/// Figures of one policy over all seeds.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The policy.
    pub policy: &'static str,
    stalls: Histogram<u64>,
    waits: Histogram<u64>,
    /// Requests.
    pub requests: u64,
    /// Requests whose adapter was not on their engine when they came.
    pub stalled: u64,
    /// Milliseconds of stall, added up.
    pub stall_total: u64,
    /// Requests refused.
    pub refused: u64,
    /// Loads ordered.
    pub loads: u64,
    /// Steps with at least one request.
    pub steps: u64,
    /// Requests in those steps, added up.
    pub stepped: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are valid")
}

impl Outcome {
    /// Nothing seen yet.
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
            stepped: 0,
        }
    }

    /// A request started, or was given up after this wait. `cold` says that its adapter was not
    /// there when it came.
    pub fn waited(&mut self, millis: u64, cold: bool) {
        self.requests += 1;
        self.waits.record(millis).expect("the histogram grows");
        let stall = if cold { millis } else { 0 };
        self.stalls.record(stall).expect("the histogram grows");
        self.stalled += u64::from(cold);
        self.stall_total += stall;
    }

    /// Requests that a step carried on average.
    pub fn depth(&self) -> f64 {
        self.stepped as f64 / self.steps.max(1) as f64
    }

    /// The head of the table.
    pub fn head() -> String {
        "| policy | requests | refused | stalled | stall p50 ms | p95 | p99 | total s | \
         wait p95 ms | requests a step | loads |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
            .to_owned()
    }

    /// A row of the table.
    pub fn row(&self) -> String {
        let [p50, p95, p99] = [0.5, 0.95, 0.99].map(|q| self.stalls.value_at_quantile(q));
        format!(
            "| {} | {} | {} | {:.1}% | {p50} | {p95} | {p99} | {:.0} | {} | {:.2} | {} |\n",
            self.policy,
            self.requests,
            self.refused,
            100.0 * self.stalled as f64 / self.requests.max(1) as f64,
            self.stall_total as f64 / 1_000.0,
            self.waits.value_at_quantile(0.95),
            self.depth(),
            self.loads,
        )
    }
}
