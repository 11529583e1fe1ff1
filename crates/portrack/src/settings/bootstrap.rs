//! The daemon's own file: what it must know before it can ask anybody.

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

/// Everything in the file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bootstrap {
    /// The cluster's name; daemons of other clusters are not listened to.
    pub cluster: String,
    /// This node's name.
    pub node: NodeName,
    /// Its data hall.
    pub hall: HallName,
    /// Its region.
    pub region: RegionName,
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where operators come in.
    pub operators: SocketAddr,
    /// Where other daemons come in, by UDP and TCP.
    pub members: SocketAddr,
    /// The file with the keys shared by all daemons.
    pub key_file: PathBuf,
    /// The file with the operators' tokens; without it the operators' listener must be loopback.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
    /// The platform.
    pub platform: PlatformSettings,
    /// Other daemons to begin with.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Where the platform is.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The key-value service, `http://host:port`.
    pub key_value: String,
    /// The node list, a URL.
    pub node_list: String,
    /// What every key begins with.
    #[serde(default = "default_prefix")]
    pub prefix: String,
    /// Time between looks at the node list, in milliseconds.
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
    /// Time between looks at the node list.
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
    /// Its members' address.
    pub address: SocketAddr,
}

impl From<PeerSettings> for Peer {
    fn from(peer: PeerSettings) -> Self {
        let PeerSettings { node, hall, region, address } = peer;
        Self { node, hall, region, address }
    }
}

/// Where log lines go.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_level")]
    pub level: log::LevelFilter,
    /// `stderr`, `stdout` or a file's path.
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
    /// Reads and checks a file.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        Self::parse(file, &text)
    }

    /// Checks a file's text; `file` only names it in errors.
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

    /// The first key whose value does not fit, and why.
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
