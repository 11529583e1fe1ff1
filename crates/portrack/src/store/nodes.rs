//! The platform's list of live and leaving nodes.

use crate::membership::Peer;
use crate::router::BackendServer;
use crate::settings::PeerSettings;
use serde::Deserialize;
use snafu::Snafu;
use std::time::Duration;

/// The longest wait for the list.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The largest list taken, in bytes.
const MAX_LIST: usize = 8 * 1024 * 1024;

/// The list.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NodeList {
    /// Model engines and plain services.
    #[serde(default)]
    pub servers: Vec<BackendServer>,
    /// Daemons.
    #[serde(default)]
    pub daemons: Vec<PeerSettings>,
}

impl NodeList {
    /// The daemons as peers.
    pub fn peers(&self) -> Vec<Peer> {
        self.daemons.iter().cloned().map(Peer::from).collect()
    }
}

/// Why the list could not be had.
#[derive(Debug, Snafu)]
pub enum NodeListError {
    /// No answer.
    #[snafu(display("the node list does not answer: {what}"))]
    Away {
        /// What the connection said.
        what: String,
    },
    /// Not the list.
    #[snafu(display("the node list is malformed: {what}"))]
    Malformed {
        /// What the decoder said.
        what: String,
    },
}

/// Reads the list over HTTP.
pub struct NodeListClient {
    client: awc::Client,
    url: String,
}

impl NodeListClient {
    /// A client of the list at `url`.
    pub fn new(url: impl Into<String>) -> Self {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        Self { client, url: url.into() }
    }

    /// The list now, which may lag.
    pub async fn fetch(&self) -> Result<NodeList, NodeListError> {
        let away = |what: String| NodeListError::Away { what };
        let sent = self.client.get(&self.url).send().await;
        let mut response = sent.map_err(|e| away(e.to_string()))?;
        if !response.status().is_success() {
            return Err(away(response.status().to_string()));
        }
        let body = response.body().limit(MAX_LIST).await.map_err(|e| away(e.to_string()))?;
        serde_json::from_slice(&body).map_err(|e| NodeListError::Malformed { what: e.to_string() })
    }
}
