//! Makes metrics under one prefix, and writes them out.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Metrics whose names begin alike.
pub(crate) struct MetricMaker<'a> {
    /// Where they are registered.
    pub registry: &'a Registry,
    /// What their names begin with.
    pub prefix: &'a str,
    /// Buckets of histograms, in seconds.
    pub buckets: &'a [f64],
}

impl MetricMaker<'_> {
    fn register(&self, collector: Box<dyn Collector>) {
        self.registry.register(collector).expect("every metric has its own name");
    }

    fn full(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }

    fn histogram_opts(&self, name: &str, help: &str) -> HistogramOpts {
        HistogramOpts::new(self.full(name), help).buckets(self.buckets.to_vec())
    }

    /// A counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(self.full(name), help).expect("a valid name");
        self.register(Box::new(counter.clone()));
        counter
    }

    /// Counters by labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let opts = Opts::new(self.full(name), help);
        let counters = IntCounterVec::new(opts, labels).expect("a valid name");
        self.register(Box::new(counters.clone()));
        counters
    }

    /// A gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(self.full(name), help).expect("a valid name");
        self.register(Box::new(gauge.clone()));
        gauge
    }

    /// A histogram.
    pub fn histogram(&self, name: &str, help: &str) -> Histogram {
        let histogram =
            Histogram::with_opts(self.histogram_opts(name, help)).expect("a valid name");
        self.register(Box::new(histogram.clone()));
        histogram
    }

    /// Histograms by labels.
    pub fn histograms(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let opts = self.histogram_opts(name, help);
        let histograms = HistogramVec::new(opts, labels).expect("a valid name");
        self.register(Box::new(histograms.clone()));
        histograms
    }
}

/// All metrics of a registry in the text format.
pub(crate) fn text(registry: &Registry) -> String {
    let mut buffer = Vec::new();
    let encoded = TextEncoder::new().encode(&registry.gather(), &mut buffer);
    encoded.expect("writing to memory does not fail");
    String::from_utf8(buffer).expect("the text format is UTF-8")
}
