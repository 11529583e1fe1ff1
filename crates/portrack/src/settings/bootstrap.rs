//! The daemon's bootstrap file: settings that it needs before it can reach the platform.

use super::SettingsError;
use super::error::ReadSnafu;
use super::parse::parse_toml;
use crate::membership::Peer;
use crate::types::{HallName, NodeName, RegionName};
use serde::Deserialize;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Contents of the bootstrap file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bootstrap {
    /// The cluster's name; messages from daemons of other clusters are ignored.
    pub cluster: String,
    /// This node's name.
    pub node: NodeName,
    /// Its data hall.
    pub hall: HallName,
    /// Its region.
    pub region: RegionName,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Listen address for other daemons, for UDP and TCP.
    pub members: SocketAddr,
    /// File with the keys shared by all daemons.
    pub key_file: PathBuf,
    /// File with the operators' tokens. Without it, the address for operators must be loopback.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
    /// Platform settings.
    pub platform: PlatformSettings,
    /// Initial list of other daemons.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses and settings of the platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URL of the key-value service, `http://host:port`.
    pub key_value: String,
    /// URL of the node list.
    pub node_list: String,
    /// Prefix of all keys.
    #[serde(default = "default_prefix")]
    pub prefix: String,
    /// Polling interval of the node list, in milliseconds.
    #[serde(default = "default_node_list_ms")]
    pub node_list_ms: u64,
}

fn default_prefix() -> String {
    "portrack/".to_owned()
}

fn default_node_list_ms() -> u64 {
    1_000
}

impl PlatformSettings {
    /// Polling interval of the node list, at least 100 ms.
    pub fn node_list_every(&self) -> Duration {
        Duration::from_millis(self.node_list_ms.max(100))
    }
}

/// Another daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Its node.
    pub node: NodeName,
    /// Its data hall.
    pub hall: HallName,
    /// Its region.
    pub region: RegionName,
    /// Its address for other daemons.
    pub address: SocketAddr,
}

impl From<PeerSettings> for Peer {
    fn from(peer: PeerSettings) -> Self {
        let PeerSettings { node, hall, region, address } = peer;
        Self { node, hall, region, address }
    }
}

/// Log level and target.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_level")]
    pub level: log::LevelFilter,
    /// `stderr`, `stdout` or the path of a file.
    #[serde(default = "default_target")]
    pub target: String,
}

fn default_level() -> log::LevelFilter {
    log::LevelFilter::Info
}

fn default_target() -> String {
    "stderr".to_owned()
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: default_level(), target: default_target() }
    }
}

impl Bootstrap {
    /// Reads and validates a file.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        Self::parse(file, &text)
    }

    /// Parses and validates the text of a file; `file` is only used in errors.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let bootstrap: Self = parse_toml(file, text)?;
        match bootstrap.problem() {
            None => Ok(bootstrap),
            Some((key, message)) => Err(SettingsError::Invalid {
                file: file.to_owned(),
                line: line_of_key(text, key),
                key: key.to_owned(),
                message,
            }),
        }
    }

    /// The first key with an invalid value, and the problem.
    fn problem(&self) -> Option<(&'static str, String)> {
        if self.cluster.is_empty() {
            return Some(("cluster", "must not be empty".into()));
        }
        if self.token_file.is_none() && !self.operators.ip().is_loopback() {
            let why = "is not loopback: name a token_file, or bind it to 127.0.0.1";
            return Some(("operators", why.into()));
        }
        for (key, url) in
            [("key_value", &self.platform.key_value), ("node_list", &self.platform.node_list)]
        {
            if !url.starts_with("http://") && !url.starts_with("https://") {
                return Some((key, format!("{url:?} is no http URL")));
            }
        }
        let me = self.peers.iter().find(|peer| {
            peer.node == self.node && (peer.hall != self.hall || peer.region != self.region)
        });
        me.map(|_| ("peers", "lists this node with another hall or region".into()))
    }
}

fn line_of_key(text: &str, key: &str) -> usize {
    let names = |line: &str| {
        let line = line.trim_start_matches('[').trim();
        line.strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with(['=', ']']))
    };
    text.lines().position(names).map_or(1, |at| at + 1)
}
