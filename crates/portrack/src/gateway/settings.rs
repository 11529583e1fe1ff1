//! The settings file of a gateway daemon.

use crate::gateway::fleet::daemons::DaemonInfo;
use crate::gateway::fleet::message::Capabilities;
use crate::gateway::fleet::regions::Regions;
use crate::settings::SettingsError;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// What a gateway daemon must know before it can reach anybody. Unknown keys are ignored.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// This daemon's name.
    pub node: String,
    /// Its data hall.
    pub hall: String,
    /// The region of each data hall, this daemon's own among them; all are of one region if left out.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where other daemons reach it, over UDP and TCP.
    pub members: SocketAddr,
    /// Where metrics are read; none if left out.
    pub metrics: Option<SocketAddr>,
    /// Addresses of daemons to ask first; their ports are not used.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The key-value service, `host:port`.
    pub store: String,
    /// The bounds it is run under.
    #[serde(default)]
    pub bounds: Bounds,
    /// What its node gives it.
    #[serde(default)]
    pub limits: NodeLimits,
}

/// What a node gives its daemon.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct NodeLimits {
    /// The share of a core.
    pub cpu_share: f64,
    /// The bandwidth of the node's link, in Mbit/s.
    pub link_mbps: f64,
}

impl Default for NodeLimits {
    fn default() -> Self {
        Self { cpu_share: 1.0, link_mbps: 1_000.0 }
    }
}

impl NodeLimits {
    /// How much work for others a node is suited to, compared with others of its fleet.
    pub fn capacity(&self) -> u32 {
        (self.cpu_share * self.link_mbps).round() as u32
    }
}

/// Times and shares that the deployment sets.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Retries as a share of requests.
    pub retry_ratio: f64,
    /// Retries allowed besides, over all daemons.
    pub retry_slack: f64,
    /// The window in which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// After a request to stop, the process may run this long, in seconds.
    pub stop_within_s: f64,
    /// Between the last order of one holder and the first of the next, in milliseconds.
    pub order_quiet_ms: u64,
    /// The lease that the right to order servers hangs on, in milliseconds.
    pub lease_ttl_ms: u64,
    /// A server that says it is leaving gets no new work after this, in milliseconds.
    pub drain_ms: u64,
    /// An accepted configuration is in force everywhere after this, in milliseconds.
    pub config_within_ms: u64,
    /// A key that was taken away works nowhere after this, in milliseconds, also at daemons that are
    /// cut off; no such bound if left out.
    pub revoke_within_ms: Option<u64>,
    /// What an organisation may send beyond its quota in a window, whatever its size, in the quota's
    /// unit.
    pub quota_slack: f64,
    /// A data hall's servers get nothing new so long after it was evacuated, in milliseconds.
    pub evacuate_within_ms: u64,
    /// In any second a cold server gets no more requests than so many times what it bears.
    pub cold_ratio: f64,
    /// Requests that it may get besides in that second.
    pub cold_slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_s: 10.0,
            stop_within_s: 8.0,
            order_quiet_ms: 3_000,
            lease_ttl_ms: 6_000,
            drain_ms: 2_000,
            config_within_ms: 2_000,
            revoke_within_ms: None,
            quota_slack: 0.0,
            evacuate_within_ms: 5_000,
            cold_ratio: 1.0,
            cold_slack: 0.0,
        }
    }
}

impl Bounds {
    /// How soon news from the store must be known.
    pub fn news_within(&self) -> Duration {
        let soonest = self.drain_ms.min(self.config_within_ms).min(self.evacuate_within_ms);
        Duration::from_millis(soonest)
    }
}

impl GatewaySettings {
    /// The regions of the data halls, seen from this daemon.
    pub fn regions(&self) -> Regions {
        Regions::new(&self.hall, &self.regions)
    }

    /// This daemon as others know it.
    pub fn as_daemon(&self) -> DaemonInfo {
        DaemonInfo {
            address: self.members,
            hall: self.hall.as_str().into(),
            capacity: self.limits.capacity(),
            capabilities: Capabilities::OWN,
        }
    }

    /// Reads and checks a file.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| SettingsError::Read { file: file.into(), source })?;
        Self::parse(file, &text)
    }

    /// Checks a file's text; `file` only names it in errors.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = crate::settings::parse_toml(file, text)?;
        match settings.problem() {
            None => Ok(settings),
            Some((key, message)) => Err(SettingsError::Invalid {
                file: file.into(),
                line: line_of(text, key),
                key: key.into(),
                message: message.into(),
            }),
        }
    }

    fn problem(&self) -> Option<(&'static str, &'static str)> {
        let bounds = &self.bounds;
        if self.node.is_empty() {
            return Some(("node", "is empty"));
        }
        if self.store.parse::<SocketAddr>().is_err() {
            return Some(("store", "is no address and port"));
        }
        if !(0.0..=10.0).contains(&bounds.retry_ratio) {
            return Some(("retry_ratio", "is not between 0 and 10"));
        }
        if !(bounds.retry_slack >= 0.0 && bounds.retry_slack.is_finite()) {
            return Some(("retry_slack", "is negative or no number"));
        }
        if !(0.1..=3_600.0).contains(&bounds.retry_window_s) {
            return Some(("retry_window_s", "is not between 0.1 and 3600"));
        }
        if !(1.0..=3_600.0).contains(&bounds.stop_within_s) {
            return Some(("stop_within_s", "is not between 1 and 3600"));
        }
        if !(500..=600_000).contains(&bounds.lease_ttl_ms) {
            return Some(("lease_ttl_ms", "is not between 500 and 600000"));
        }
        if !(self.limits.cpu_share > 0.0 && self.limits.cpu_share.is_finite()) {
            return Some(("cpu_share", "is not above 0"));
        }
        if !(self.limits.link_mbps > 0.0 && self.limits.link_mbps.is_finite()) {
            return Some(("link_mbps", "is not above 0"));
        }
        let sensible = 500..=60_000;
        if !sensible.contains(&bounds.drain_ms) {
            return Some(("drain_ms", "is not between 500 and 60000"));
        }
        if !sensible.contains(&bounds.config_within_ms) {
            return Some(("config_within_ms", "is not between 500 and 60000"));
        }
        if !sensible.contains(&bounds.evacuate_within_ms) {
            return Some(("evacuate_within_ms", "is not between 500 and 60000"));
        }
        if !(bounds.cold_ratio >= 0.0 && bounds.cold_ratio.is_finite()) {
            return Some(("cold_ratio", "is negative or no number"));
        }
        if !(bounds.cold_slack >= 0.0 && bounds.cold_slack.is_finite()) {
            return Some(("cold_slack", "is negative or no number"));
        }
        if !(bounds.quota_slack >= 0.0 && bounds.quota_slack.is_finite()) {
            return Some(("quota_slack", "is negative or no number"));
        }
        let keys = 2_000..=60_000;
        if bounds.revoke_within_ms.is_some_and(|within| !keys.contains(&within)) {
            return Some(("revoke_within_ms", "is not between 2000 and 60000"));
        }
        None
    }
}

fn line_of(text: &str, key: &str) -> usize {
    let sets = |line: &str| line.trim_start().starts_with(key);
    text.lines().position(sets).map_or(1, |at| at + 1)
}
