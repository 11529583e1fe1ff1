//! The body of a completion request.

use crate::engine::Endpoint;
use crate::types::{AdapterName, AdapterVersion, Reason, Refusal, VersionName};
use bytes::Bytes;
use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_64;

/// Length of the prompt prefix used for prefix affinity, in bytes.
const PREFIX_LEN: usize = 512;

/// A parsed request body.
pub struct Prompt {
    body: Map<String, Value>,
    /// The requested adapter.
    pub adapter: AdapterName,
    /// The requested version, if any.
    pub version: Option<VersionName>,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Hash of the beginning of the prompt.
    pub prefix: u64,
}

impl Prompt {
    /// Parses a body, or returns what is wrong with it.
    pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, Refusal> {
        let body: Map<String, Value> =
            serde_json::from_slice(body).map_err(|e| bad(format!("the body is no JSON: {e}")))?;
        let model = match body.get("model") {
            Some(Value::String(model)) => model.clone(),
            _ => return Err(bad("the body needs a text field \"model\"")),
        };
        let (adapter, version) = match model.split_once('@') {
            Some((adapter, version)) => (adapter, Some(version)),
            None => (model.as_str(), None),
        };
        let adapter = adapter.parse().map_err(|e| bad(format!("model: {e}")))?;
        let version = match version {
            Some(text) => Some(text.parse().map_err(|e| bad(format!("model: {e}")))?),
            None => None,
        };
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad("\"stream\" must be true or false")),
        };
        let field = match endpoint {
            Endpoint::Chat => "messages",
            Endpoint::Text => "prompt",
        };
        let Some(prompt) = body.get(field) else {
            return Err(bad(format!("the body needs the field {field:?}")));
        };
        let text = prompt.to_string();
        let prefix = xxh3_64(&text.as_bytes()[..text.len().min(PREFIX_LEN)]);
        Ok(Self { adapter, version, stream, prefix, body })
    }

    /// Returns the body for the engine: always streaming, with an exact adapter version.
    pub fn for_engine(&self, adapter: &AdapterVersion) -> Bytes {
        let mut body = self.body.clone();
        body.insert("model".into(), Value::String(adapter.to_string()));
        body.insert("stream".into(), Value::Bool(true));
        Bytes::from(serde_json::to_vec(&body).expect("JSON objects have string keys"))
    }
}

fn bad(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
