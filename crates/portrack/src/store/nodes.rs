//! A client of the platform's list of live and leaving nodes.

use crate::http1::MalformedResponses;
use crate::http1::checked::checked_connector;
use crate::membership::Peer;
use crate::router::BackendServer;
use crate::settings::PeerSettings;
use serde::Deserialize;
use snafu::Snafu;
use std::time::Duration;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The largest response body accepted, in bytes.
const MAX_BODY: usize = 8 * 1024 * 1024;

/// The node list.
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
    /// The daemons of the list as peers.
    pub fn peers(&self) -> Vec<Peer> {
        self.daemons.iter().cloned().map(Peer::from).collect()
    }
}

/// Why the node list could not be fetched.
#[derive(Debug, Snafu)]
pub enum NodeListError {
    /// The request failed.
    #[snafu(display("cannot fetch the node list: {reason}"))]
    Unreachable {
        /// The error of the connection, or the HTTP status.
        reason: String,
    },
    /// The response is not a valid node list.
    #[snafu(display("malformed node list: {reason}"))]
    Malformed {
        /// The error of the decoder.
        reason: String,
    },
}

/// Fetches the node list over HTTP.
pub struct NodeListClient {
    client: awc::Client,
    url: String,
}

impl NodeListClient {
    /// Creates a client of the node list at `url`.
    pub fn new(url: impl Into<String>) -> Self {
        Self::recording(url, MalformedResponses::default())
    }

    /// Creates a client of the node list at `url` that records bytes which are no response.
    pub fn recording(url: impl Into<String>, malformed: MalformedResponses) -> Self {
        let connector = checked_connector(malformed);
        let client = awc::Client::builder().connector(connector).timeout(TIMEOUT).finish();
        Self { client, url: url.into() }
    }

    /// Fetches the current node list, which may lag behind the platform.
    pub async fn fetch(&self) -> Result<NodeList, NodeListError> {
        let unreachable = |reason: String| NodeListError::Unreachable { reason };
        let sent = self.client.get(&self.url).send().await;
        let mut response = sent.map_err(|e| unreachable(e.to_string()))?.timeout(TIMEOUT);
        if !response.status().is_success() {
            return Err(unreachable(response.status().to_string()));
        }
        let body = response.body().limit(MAX_BODY).await.map_err(|e| unreachable(e.to_string()))?;
        serde_json::from_slice(&body)
            .map_err(|e| NodeListError::Malformed { reason: e.to_string() })
    }
}
