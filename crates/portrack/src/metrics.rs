//! Creates metrics with a common name prefix and encodes them as text.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Creates and registers metrics with a common name prefix.
pub(crate) struct MetricMaker<'a> {
    /// Registry of the metrics.
    pub registry: &'a Registry,
    /// Prefix of the metric names.
    pub prefix: &'a str,
    /// Upper bounds of histogram buckets, in seconds.
    pub buckets: &'a [f64],
}

impl MetricMaker<'_> {
    fn register(&self, collector: Box<dyn Collector>) {
        self.registry.register(collector).expect("metric names are unique");
    }

    fn full_name(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }

    fn histogram_opts(&self, name: &str, help: &str) -> HistogramOpts {
        HistogramOpts::new(self.full_name(name), help).buckets(self.buckets.to_vec())
    }

    /// Creates a counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(self.full_name(name), help).expect("metric name is valid");
        self.register(Box::new(counter.clone()));
        counter
    }

    /// Creates a counter with labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let opts = Opts::new(self.full_name(name), help);
        let counters = IntCounterVec::new(opts, labels).expect("metric name is valid");
        self.register(Box::new(counters.clone()));
        counters
    }

    /// Creates a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(self.full_name(name), help).expect("metric name is valid");
        self.register(Box::new(gauge.clone()));
        gauge
    }

    /// Creates a histogram.
    pub fn histogram(&self, name: &str, help: &str) -> Histogram {
        let histogram =
            Histogram::with_opts(self.histogram_opts(name, help)).expect("metric name is valid");
        self.register(Box::new(histogram.clone()));
        histogram
    }

    /// Creates a histogram with labels.
    pub fn histograms(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let opts = self.histogram_opts(name, help);
        let histograms = HistogramVec::new(opts, labels).expect("metric name is valid");
        self.register(Box::new(histograms.clone()));
        histograms
    }
}

/// Encodes all metrics of a registry in the text format.
pub(crate) fn text(registry: &Registry) -> String {
    let mut buffer = Vec::new();
    let encoded = TextEncoder::new().encode(&registry.gather(), &mut buffer);
    encoded.expect("writing to a buffer cannot fail");
    String::from_utf8(buffer).expect("the text format is UTF-8")
}
