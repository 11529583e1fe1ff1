//! The Prometheus metrics of a gateway daemon.

use crate::http1::MalformedResponses;
use crate::metrics::{self, MetricMaker};
use prometheus::{Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, Registry};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Prefix of every metric name.
const PREFIX: &str = "portrack_gateway_";
/// Maximum number of organisations with a label value of their own.
const MAX_NAMED_ORGANISATIONS: usize = 20;
/// Label value shared by all other organisations.
const OTHER_ORGANISATIONS: &str = "others";
/// Histogram buckets for durations, in seconds.
const TIME_BUCKETS: [f64; 11] = [0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 0.8, 1.0, 3.0, 15.0];

/// The metrics of one daemon.
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests by route kind and outcome.
    pub requests: IntCounterVec,
    /// Time from the arrival of a request to the end of its response, by route kind.
    pub duration: HistogramVec,
    /// Requests being served.
    pub in_flight: IntGauge,
    /// Sends of requests beyond the first of each.
    pub resends: IntCounter,
    /// Requests sent to a server whose last known adapter version was older than the newest announced.
    pub older_versions: IntCounter,
    /// Calls to the store, by kind.
    pub store_calls: IntCounterVec,
    /// Changes received from the store that were not newer than the local copy.
    pub older_changes: IntCounter,
    /// Number of times that the store was restored from an older copy.
    pub store_returns: IntCounter,
    /// Items that are retained although the restored store lacks or contradicts them.
    pub kept_items: IntGauge,
    /// Failed calls to the store, by failure.
    pub store_failures: IntCounterVec,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Age of the proof that the configuration is the newest, in milliseconds; -1 without one.
    pub proof_age_ms: IntGauge,
    /// Staleness of the copy of the store by its source, observed once a second; an unknown staleness is
    /// not observed.
    pub news_age: HistogramVec,
    /// Requests by organisation and outcome.
    organisations: IntCounterVec,
    /// Organisations with a label value of their own.
    named: RefCell<BTreeSet<Rc<str>>>,
    /// Number of other daemons that are up.
    pub peers_up: IntGauge,
    /// Bytes sent to other daemons in datagrams.
    pub peer_bytes: IntCounter,
    /// Bytes sent to daemons and servers in other regions and of responses from there, by kind.
    pub region_bytes: IntCounterVec,
    /// Received datagrams that could not be decoded.
    pub datagrams_dropped: IntCounter,
    /// Servers on which this daemon holds the claim.
    pub servers_ordered: IntGauge,
    /// Grant requests by outcome.
    pub grants: IntCounterVec,
    /// Time from the first grant request of an attempt to its grant.
    pub grant_waits: Histogram,
    /// Restarts of servers under the same id.
    pub servers_restarted: IntCounter,
    /// Server entries that cannot be used.
    pub entries_refused: IntGauge,
    /// Number of evacuated data halls.
    pub evacuated_halls: IntGauge,
    /// Requests of this daemon that run in evacuated data halls.
    pub evacuated_running: IntGauge,
    /// Load requests for copies, in other halls, of adapters that only evacuated data halls hold.
    pub evacuation_copies: IntCounter,
    /// Server processes found to have ended after a request was lost there.
    pub server_ends: IntCounter,
    /// Requests in quarantine because servers ended while running them.
    pub held_requests: IntGauge,
    /// Quarantined requests that were given a single trial.
    pub trials: IntCounter,
    /// Bytes from servers that are no response, by reason.
    pub malformed_responses: IntCounterVec,
    /// Servers that announce a request rate limit.
    pub limited_servers: IntGauge,
    /// Servers that this node could not reach when it last tried.
    pub unreachable_servers: IntGauge,
    /// 1 while this node reaches no server.
    pub cut_off_from_servers: IntGauge,
    /// Attempts to connect to a server through another daemon, by outcome.
    pub tunnels: IntCounterVec,
    /// Connections to servers that this daemon carries for others.
    pub carried_tunnels: IntGauge,
    /// Responses with an invalid limit or backoff hint.
    pub invalid_hints: IntCounter,
    /// Servers to which this daemon sends nothing during a backoff.
    pub backed_off_servers: IntGauge,
    /// Responses that asked for a backoff.
    pub backoffs: IntCounter,
    /// Servers skipped during selection because they had no room within their limits.
    pub full_servers: IntCounter,
    /// Retries by service, reason, and what they were taken from.
    pub retries: IntCounterVec,
    /// Streams that callers took up again, by where their origin was known from or why they did not go
    /// on.
    pub streams_taken_up: IntCounterVec,
    /// Requests stopped right before they were sent because their server no longer accepted requests.
    pub held_back: IntCounter,
}

impl GatewayMetrics {
    /// Creates and registers all metrics, with value zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let maker = MetricMaker { registry: &registry, prefix: PREFIX, buckets: &TIME_BUCKETS };
        Self {
            requests: maker.counters("requests_total", "Requests by end", &["kind", "end"]),
            duration: maker.histograms(
                "request_seconds",
                "Arrival to the end of the answer",
                &["kind"],
            ),
            in_flight: maker.gauge("requests_in_flight", "Requests being served"),
            resends: maker.counter("resends_total", "Sends beyond the first"),
            older_versions: maker.counter(
                "older_version_requests_total",
                "Requests sent for an older version than the newest named",
            ),
            store_calls: maker.counters("store_calls_total", "Calls to the store", &["call"]),
            older_changes: maker
                .counter("older_changes_total", "Changes told by the store that were no news"),
            store_returns: maker.counter(
                "store_returns_total",
                "Times that the store came back from an older copy",
            ),
            kept_items: maker.gauge(
                "kept_items",
                "Items believed against the copy that the store came back from",
            ),
            store_failures: maker.counters("store_failures_total", "Failed calls", &["trouble"]),
            config_version: maker.gauge("config_version", "Configuration in force"),
            proof_age_ms: maker.gauge("proof_age_ms", "Age of proof of the configuration"),
            news_age: maker.histograms("news_age_seconds", "Age of news of the store", &["source"]),
            organisations: maker.counters(
                "organisation_requests_total",
                "Requests by organisation and end",
                &["organisation", "end"],
            ),
            peers_up: maker.gauge("peers_up", "Other daemons that are up"),
            peer_bytes: maker.counter("peer_bytes_sent_total", "Bytes sent to other daemons"),
            region_bytes: maker.counters(
                "region_bytes_total",
                "Bytes between this daemon and other regions",
                &["kind"],
            ),
            datagrams_dropped: maker.counter("datagrams_dropped_total", "Datagrams dropped"),
            servers_ordered: maker.gauge("servers_ordered", "Servers that this daemon orders"),
            grants: maker.counters("grants_total", "Asks for a server by outcome", &["outcome"]),
            grant_waits: maker.histogram("grant_wait_seconds", "First ask of a try to its grant"),
            servers_restarted: maker
                .counter("servers_born_again_total", "Servers that started again under their id"),
            entries_refused: maker
                .gauge("server_entries_refused", "Entries that name no server to use"),
            evacuated_halls: maker.gauge("evacuated_halls", "Data halls that are evacuated"),
            evacuated_running: maker.gauge(
                "evacuated_requests_running",
                "Requests of this daemon that run in evacuated data halls",
            ),
            evacuation_copies: maker.counter(
                "evacuation_copies_total",
                "Copies wished for of adapters that only evacuated data halls hold",
            ),
            server_ends: maker
                .counter("server_ends_total", "Servers found ended when a request was lost there"),
            held_requests: maker
                .gauge("quarantined_requests", "Requests held back as servers ended under them"),
            trials: maker.counter(
                "quarantine_trials_total",
                "Requests tried once after they were held back",
            ),
            unreachable_servers: maker
                .gauge("unreachable_servers", "Servers that this node could not reach last time"),
            cut_off_from_servers: maker
                .gauge("cut_off_from_servers", "1 while this node reaches no server"),
            tunnels: maker.counters(
                "tunnels_total",
                "Attempts to connect to a server through another daemon",
                &["outcome"],
            ),
            carried_tunnels: maker
                .gauge("carried_tunnels", "Connections to servers carried for other daemons"),
            malformed_responses: maker.counters(
                MalformedResponses::NAME,
                MalformedResponses::HELP,
                &MalformedResponses::LABELS,
            ),
            limited_servers: maker
                .gauge("limited_servers", "Servers that say how many requests a second they take"),
            invalid_hints: maker.counter(
                "unreadable_words_total",
                "Answers that name a limit or a rest which cannot be read",
            ),
            backed_off_servers: maker
                .gauge("resting_servers", "Servers that want nothing from this daemon for a while"),
            backoffs: maker.counter("rests_total", "Answers that asked for rest"),
            full_servers: maker.counter(
                "full_servers_total",
                "Servers passed over by requests for want of room within their limits",
            ),
            retries: maker.counters(
                "retries_total",
                "Sends beyond the first, by what they were taken from, and those that no budget was left for",
                &["service", "reason", "budget"],
            ),
            streams_taken_up: maker.counters(
                "streams_taken_up_total",
                "Streams that callers took up again",
                &["outcome"],
            ),
            held_back: maker.counter(
                "held_back_requests_total",
                "Requests held back right before they were sent to a server that has closed",
            ),
            named: RefCell::default(),
            registry,
        }
    }

    /// Counts a request of an organisation. The first organisations seen, which are by and large the
    /// busiest, have a label value of their own; the others share one.
    pub fn count_organisation(&self, organisation: &Rc<str>, end: &str) {
        let mut named = self.named.borrow_mut();
        if named.len() < MAX_NAMED_ORGANISATIONS && !named.contains(organisation) {
            named.insert(organisation.clone());
        }
        let label = if named.contains(organisation) { organisation } else { OTHER_ORGANISATIONS };
        self.organisations.with_label_values(&[label, end]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        metrics::text(&self.registry)
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}
