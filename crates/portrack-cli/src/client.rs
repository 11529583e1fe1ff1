//! HTTP client for the operators' API of a daemon.

use crate::failure::Failure;
use awc::http::StatusCode;
use portrack::audit::ChangeId;
use portrack::http1::MalformedResponses;
use portrack::http1::checked::checked_connector;
use portrack::settings::{Accepted, Change, Edit};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Largest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Client of one daemon.
pub struct Client {
    http: awc::Client,
    node: String,
    token: Option<String>,
}

impl Client {
    /// Creates a client of the daemon whose operators' address is `node`.
    pub fn new(node: &str, token_file: Option<&Path>) -> Result<Self, Failure> {
        let token = match token_file {
            Some(file) => Some(read_token(file)?),
            None => None,
        };
        let connector = checked_connector(MalformedResponses::default());
        let http = awc::Client::builder().connector(connector).timeout(TIMEOUT).finish();
        Ok(Self { http, node: node.to_owned(), token })
    }

    /// Sends a GET request and decodes the response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let request = self.http.get(self.url(path));
        self.finish(self.authorized(request).send().await).await
    }

    /// Sends a POST request without a body.
    pub async fn post(&self, path: &str) -> Result<Value, Failure> {
        let request = self.http.post(self.url(path));
        self.finish(self.authorized(request).send().await).await
    }

    /// Submits a settings change. `expected` is the value before the change as the operator saw it, as JSON.
    pub async fn change(
        &self,
        edit: Edit,
        expected: String,
        why: &str,
    ) -> Result<Accepted, Failure> {
        let id = ChangeId(rand::random());
        let change = Change { id, why: why.to_owned(), expected: Some(expected), edit };
        let request = self.http.post(self.url("/v1/changes"));
        self.finish(self.authorized(request).send_json(&change).await).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.node)
    }

    fn authorized(&self, request: awc::ClientRequest) -> awc::ClientRequest {
        match &self.token {
            Some(token) => request.insert_header(("authorization", format!("Bearer {token}"))),
            None => request,
        }
    }

    async fn finish<T, S>(
        &self,
        sent: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
    ) -> Result<T, Failure>
    where
        T: DeserializeOwned,
        S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
    {
        let unreachable = |why: String| Failure::Daemon(format!("{}: {why}", self.node));
        let mut response = sent.map_err(|e| unreachable(e.to_string()))?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|e| unreachable(e.to_string()))?;
        if response.status().is_success() {
            return serde_json::from_slice(&body).map_err(|e| unreachable(e.to_string()));
        }
        Err(failure(response.status(), &body))
    }
}

fn read_token(file: &Path) -> Result<String, Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| Failure::Input(format!("{}: {e}", file.display())))?;
    Ok(text.trim().to_owned())
}

fn failure(status: StatusCode, body: &[u8]) -> Failure {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let why = body["error"].as_str().map_or_else(|| status.to_string(), str::to_owned);
    match status {
        StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND => Failure::Input(why),
        StatusCode::CONFLICT => Failure::Conflict(why),
        StatusCode::GATEWAY_TIMEOUT => Failure::Unknown(why),
        _ => Failure::Daemon(why),
    }
}
