//! Metrics of the daemon.

use crate::http1::MalformedResponses;
use crate::metrics::{self, MetricMaker};
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge, Registry};

/// Prefix of all metric names.
const PREFIX: &str = "portrack_";
/// Buckets of waiting times, in seconds.
const WAIT_BUCKETS: [f64; 12] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0];

/// The metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Refusals by reason and `run`.
    pub refusals: IntCounterVec,
    /// Requests sent again, by kind.
    pub retries: IntCounterVec,
    /// Chunks dropped because they were repeated or of another request.
    pub chunks_dropped: IntCounter,
    /// From the arrival of a request to its start on an engine, in seconds.
    pub start_wait: Histogram,
    /// Control bytes sent, by kind of message.
    pub bytes_sent: IntCounterVec,
    /// Control bytes received, by kind of message.
    pub bytes_received: IntCounterVec,
    /// Control messages sent, by kind.
    pub messages_sent: IntCounterVec,
    /// Bytes from other systems that are no response, by reason.
    pub malformed_responses: IntCounterVec,
    /// Datagrams and frames dropped, by reason.
    pub dropped: IntCounterVec,
    /// Calls to the key-value service, watches included.
    pub kv_calls: IntGauge,
    /// Revision of the settings in force.
    pub settings_revision: IntGauge,
    /// From acceptance of a change to its being in force here, in seconds, by the two wall clocks.
    pub settings_delay: Histogram,
    /// Entries of the settings that this build could not use.
    pub settings_refused: IntCounter,
    /// Engines owned.
    pub engines_owned: IntGauge,
    /// Orders given to engines, by kind and result.
    pub orders: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Processor time spent in decisions and control messages, in microseconds.
    pub control_cpu: IntCounter,
    /// Processor time of the whole process, in microseconds.
    pub process_cpu: IntGauge,
    /// Resident memory, in bytes.
    pub resident: IntGauge,
}

impl Metrics {
    /// Creates metrics that are all zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let made = MetricMaker { registry: &registry, prefix: PREFIX, buckets: &WAIT_BUCKETS };
        Self {
            requests: made.counters("requests_total", "Requests by end", &["end"]),
            refusals: made.counters("refusals_total", "Refusals", &["reason", "run"]),
            retries: made.counters("retries_total", "Requests sent again", &["kind"]),
            chunks_dropped: made.counter("chunks_dropped_total", "Repeated or foreign chunks"),
            start_wait: made.histogram("start_wait_seconds", "Arrival to start on an engine"),
            bytes_sent: made.counters("control_bytes_sent_total", "Control bytes", &["kind"]),
            bytes_received: made.counters(
                "control_bytes_received_total",
                "Control bytes",
                &["kind"],
            ),
            messages_sent: made.counters("control_messages_sent_total", "Messages", &["kind"]),
            malformed_responses: made.counters(
                MalformedResponses::NAME,
                MalformedResponses::HELP,
                &MalformedResponses::LABELS,
            ),
            dropped: made.counters("datagrams_dropped_total", "Datagrams dropped", &["reason"]),
            kv_calls: made.gauge("kv_calls", "Calls to the key-value service so far"),
            settings_revision: made.gauge("settings_revision", "Revision in force"),
            settings_delay: made.histogram("settings_delay_seconds", "Acceptance to force"),
            settings_refused: made.counter("settings_refused_total", "Entries not usable here"),
            engines_owned: made.gauge("engines_owned", "Engines owned"),
            orders: made.counters("orders_total", "Orders to engines", &["kind", "result"]),
            in_flight: made.gauge("requests_in_flight", "Requests being worked on"),
            control_cpu: made.counter("control_cpu_microseconds_total", "Time in control"),
            process_cpu: made.gauge("process_cpu_microseconds", "Time of the process"),
            resident: made.gauge("resident_bytes", "Resident memory"),
            registry,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        metrics::text(&self.registry)
    }
}
