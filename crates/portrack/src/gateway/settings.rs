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

/// Settings that a gateway daemon needs before it can reach the store or other daemons. Unknown keys
/// are ignored.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// Name of this node.
    pub node: String,
    /// Data hall of this node.
    pub hall: String,
    /// Region of each data hall, including this node's own; if left out, all halls are in one region.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the balancer's readiness check.
    pub readiness: SocketAddr,
    /// Listen address for other daemons, over UDP and TCP.
    pub members: SocketAddr,
    /// Address at which this daemon listens for the others, and from which it fetches copies of the
    /// store, if they reach it at another address (`members`), as behind address translation.
    pub members_listen: Option<SocketAddr>,
    /// Listen address for metrics; not served if left out.
    pub metrics: Option<SocketAddr>,
    /// Addresses of daemons to contact first; their ports are ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the key-value store, as `ip:port`.
    pub store: String,
    /// The whole fleet starts for the first time: nothing was served before.
    #[serde(default)]
    pub first_start: bool,
    /// Time bounds and rates set by the deployment.
    #[serde(default)]
    pub bounds: Bounds,
    /// Resources that the node gives the daemon.
    #[serde(default)]
    pub limits: NodeLimits,
}

/// Resources that a node gives its daemon.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct NodeLimits {
    /// Share of a CPU core.
    pub cpu_share: f64,
    /// Bandwidth of the node's network link, in Mbit/s.
    pub link_mbps: f64,
}

impl Default for NodeLimits {
    fn default() -> Self {
        Self { cpu_share: 1.0, link_mbps: 1_000.0 }
    }
}

impl NodeLimits {
    /// Relative weight for the assignment of shared tasks to the nodes of a fleet.
    pub fn capacity(&self) -> u32 {
        (self.cpu_share * self.link_mbps).round() as u32
    }
}

/// Time bounds and rates set by the deployment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Allowed retries as a fraction of requests.
    pub retry_ratio: f64,
    /// Additional allowed retries, over all daemons.
    pub retry_slack: f64,
    /// Window over which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Maximum run time of the process after a stop request, in seconds.
    pub stop_within_s: f64,
    /// Minimum time between the last order of one claim holder and the first of the next, in
    /// milliseconds.
    pub order_quiet_ms: u64,
    /// Time to live of the lease that claims on servers depend on, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Time after which a server that announced that it is leaving gets no new requests, in milliseconds.
    pub drain_ms: u64,
    /// Time after which an accepted configuration is in force everywhere, in milliseconds.
    pub config_within_ms: u64,
    /// Time after which a revoked key works nowhere, not even at daemons that are cut off, in
    /// milliseconds; no such bound if left out.
    pub revoke_within_ms: Option<u64>,
    /// Amount that an organisation may send beyond its quota in any window, whatever its size, in the
    /// quota's unit.
    pub quota_slack: f64,
    /// Time after which the servers of an evacuated data hall get no new requests, in milliseconds.
    pub evacuate_within_ms: u64,
    /// Allowed requests to a cold server in any second, as a multiple of its configured cold rate.
    pub cold_ratio: f64,
    /// Additional allowed requests to a cold server in any second.
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
    /// Time within which a change in the store must be known here: the shortest of the bounds that
    /// depend on it.
    pub fn news_within(&self) -> Duration {
        let shortest = self.drain_ms.min(self.config_within_ms).min(self.evacuate_within_ms);
        Duration::from_millis(shortest)
    }
}

impl GatewaySettings {
    /// Regions of the data halls, relative to this node's hall.
    pub fn regions(&self) -> Regions {
        Regions::new(&self.hall, &self.regions)
    }

    /// Describes this daemon as a member of the fleet.
    pub fn as_daemon(&self) -> DaemonInfo {
        DaemonInfo {
            address: self.members,
            hall: self.hall.as_str().into(),
            capacity: self.limits.capacity(),
            capabilities: Capabilities::OWN,
        }
    }

    /// Reads and validates a settings file.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| SettingsError::Read { file: file.into(), source })?;
        Self::parse(file, &text)
    }

    /// Parses and validates the text of a settings file; `file` is only used in errors.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = crate::settings::parse_toml(file, text)?;
        match settings.find_problem() {
            None => Ok(settings),
            Some((key, message)) => Err(SettingsError::Invalid {
                file: file.into(),
                line: line_of(text, key),
                key: key.into(),
                message: message.into(),
            }),
        }
    }

    /// Returns the key of the first invalid setting and what is wrong with it.
    fn find_problem(&self) -> Option<(&'static str, &'static str)> {
        let bounds = &self.bounds;
        if self.node.is_empty() {
            return Some(("node", "is empty"));
        }
        if self.store.parse::<SocketAddr>().is_err() {
            return Some(("store", "is not an IP address and port"));
        }
        if !(0.0..=10.0).contains(&bounds.retry_ratio) {
            return Some(("retry_ratio", "is not between 0 and 10"));
        }
        if !(bounds.retry_slack >= 0.0 && bounds.retry_slack.is_finite()) {
            return Some(("retry_slack", "is negative or not a number"));
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
        let allowed_ms = 500..=60_000;
        if !allowed_ms.contains(&bounds.drain_ms) {
            return Some(("drain_ms", "is not between 500 and 60000"));
        }
        if !allowed_ms.contains(&bounds.config_within_ms) {
            return Some(("config_within_ms", "is not between 500 and 60000"));
        }
        if !allowed_ms.contains(&bounds.evacuate_within_ms) {
            return Some(("evacuate_within_ms", "is not between 500 and 60000"));
        }
        if !(bounds.cold_ratio >= 0.0 && bounds.cold_ratio.is_finite()) {
            return Some(("cold_ratio", "is negative or not a number"));
        }
        if !(bounds.cold_slack >= 0.0 && bounds.cold_slack.is_finite()) {
            return Some(("cold_slack", "is negative or not a number"));
        }
        if !(bounds.quota_slack >= 0.0 && bounds.quota_slack.is_finite()) {
            return Some(("quota_slack", "is negative or not a number"));
        }
        let allowed_ms = 2_000..=60_000;
        if bounds.revoke_within_ms.is_some_and(|within| !allowed_ms.contains(&within)) {
            return Some(("revoke_within_ms", "is not between 2000 and 60000"));
        }
        None
    }
}

fn line_of(text: &str, key: &str) -> usize {
    let sets_key = |line: &str| line.trim_start().starts_with(key);
    text.lines().position(sets_key).map_or(1, |at| at + 1)
}
