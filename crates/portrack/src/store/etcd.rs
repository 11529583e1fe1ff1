//! A key-value client for the JSON gateway of etcd v3.

use super::kv::{Kv, KvEntry, KvError, KvList, KvPut, LocalFuture};
use crate::http::certainly_not_sent;
use crate::http1::MalformedResponses;
use crate::http1::bounds::MAX_WATCH_LINE_BYTES;
use crate::http1::checked::checked_connector;
use awc::error::SendRequestError;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::BytesMut;
use futures_util::StreamExt;
use serde_json::{Value, json};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The largest response body accepted, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// A client of one etcd endpoint.
#[derive(Clone)]
pub struct Etcd {
    client: awc::Client,
    endpoint: String,
    calls: Rc<Cell<u64>>,
}

impl Etcd {
    /// Creates a client of `endpoint`, given as `http://host:port`.
    pub fn new(endpoint: impl Into<String>) -> Self {
        Self::recording(endpoint, MalformedResponses::default())
    }

    /// Creates a client of `endpoint` that records bytes which are no response.
    pub fn recording(endpoint: impl Into<String>, malformed: MalformedResponses) -> Self {
        let connector = checked_connector(malformed);
        let client = awc::Client::builder().connector(connector).timeout(TIMEOUT).finish();
        Self { client, endpoint: endpoint.into(), calls: Rc::default() }
    }

    /// The number of calls made so far, watches included.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    async fn call(&self, path: &str, body: Value) -> Result<Value, KvError> {
        self.calls.set(self.calls.get() + 1);
        let url = format!("{}/v3/{path}", self.endpoint);
        let sent = self.client.post(url).send_json(&body).await;
        let mut response = sent.map_err(classify_error)?.timeout(TIMEOUT);
        if !response.status().is_success() {
            return Err(KvError::Unknown);
        }
        let body = response.body().limit(MAX_BODY).await.map_err(|_| KvError::Unknown)?;
        serde_json::from_slice(&body).map_err(|_| KvError::Unknown)
    }

    async fn range(&self, body: Value) -> Result<KvList, KvError> {
        let response = self.call("kv/range", body).await?;
        let revision = parse_u64(&response["header"]["revision"]).ok_or(KvError::Unknown)?;
        let kvs = response["kvs"].as_array().cloned().unwrap_or_default();
        let entries = kvs.iter().map(parse_entry).collect::<Option<_>>().ok_or(KvError::Unknown)?;
        Ok(KvList { era: Default::default(), revision, entries })
    }

    async fn txn(&self, compare: Value, puts: Vec<Value>) -> Result<Option<u64>, KvError> {
        let puts = puts.into_iter().map(|put| json!({ "request_put": put }));
        self.commit(compare, puts.collect()).await
    }

    /// Commits operations if the comparison holds, and returns the new revision.
    async fn commit(&self, compare: Value, success: Vec<Value>) -> Result<Option<u64>, KvError> {
        let body = json!({ "compare": [compare], "success": success });
        let response = self.call("kv/txn", body).await?;
        if response["succeeded"] != json!(true) {
            return Ok(None);
        }
        parse_u64(&response["header"]["revision"]).map(Some).ok_or(KvError::Unknown)
    }

    async fn watch_once(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<Vec<KvEntry>, KvError> {
        self.calls.set(self.calls.get() + 1);
        let create = json!({ "create_request": {
            "key": STANDARD.encode(prefix),
            "range_end": STANDARD.encode(prefix_end(prefix)),
            "start_revision": revision.to_string(),
        }});
        let request = self.client.post(format!("{}/v3/watch", self.endpoint)).timeout(wait);
        let mut response = request.send_json(&create).await.map_err(classify_error)?;
        if !response.status().is_success() {
            return Err(KvError::Unavailable);
        }
        let reading = read_events(&mut response);
        actix_rt::time::timeout(wait, reading).await.unwrap_or(Ok(Vec::new()))
    }
}

/// Reads lines of a watch until one contains events.
async fn read_events<S>(response: &mut awc::ClientResponse<S>) -> Result<Vec<KvEntry>, KvError>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut buffer = BytesMut::new();
    while let Some(chunk) = response.next().await {
        buffer.extend_from_slice(&chunk.map_err(|_| KvError::Unavailable)?);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end + 1);
            let value: Value = serde_json::from_slice(&line).map_err(|_| KvError::Unavailable)?;
            let events = value["result"]["events"].as_array().cloned().unwrap_or_default();
            let puts = events.iter().filter(|event| event["type"] != json!("DELETE"));
            let entries: Vec<KvEntry> =
                puts.filter_map(|event| parse_entry(&event["kv"])).collect();
            if !entries.is_empty() {
                return Ok(entries);
            }
        }
        if buffer.len() > MAX_WATCH_LINE_BYTES {
            return Err(KvError::Unavailable);
        }
    }
    Err(KvError::Unavailable)
}

/// A call whose connection was never established was certainly not executed.
fn classify_error(error: SendRequestError) -> KvError {
    match certainly_not_sent(&error) {
        true => KvError::Unavailable,
        false => KvError::Unknown,
    }
}

/// Parses a 64-bit number, which the JSON gateway writes as a string.
fn parse_u64(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_str()?.parse().ok())
}

fn decode_base64(value: &Value) -> Option<Vec<u8>> {
    STANDARD.decode(value.as_str()?).ok()
}

fn parse_entry(kv: &Value) -> Option<KvEntry> {
    let key = String::from_utf8(decode_base64(&kv["key"])?).ok()?;
    let revision = parse_u64(&kv["mod_revision"])?;
    let value = decode_base64(&kv["value"]).unwrap_or_default();
    Some(KvEntry { key, revision, value })
}

fn unchanged_since(key: &str, revision: u64) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": revision.to_string(),
    })
}

/// The first key after all keys with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

impl Kv for Etcd {
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<KvEntry>, KvError>> {
        Box::pin(async move {
            let list = self.range(json!({ "key": STANDARD.encode(key) })).await?;
            Ok(list.entries.into_iter().next())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<KvList, KvError>> {
        let body = json!({
            "key": STANDARD.encode(prefix),
            "range_end": STANDARD.encode(prefix_end(prefix)),
        });
        Box::pin(self.range(body))
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        revision: u64,
        puts: Vec<KvPut>,
    ) -> LocalFuture<'a, Result<Option<u64>, KvError>> {
        let compare = unchanged_since(key, revision);
        let puts = puts.iter().map(
            |put| json!({ "key": STANDARD.encode(&put.key), "value": STANDARD.encode(&put.value) }),
        );
        Box::pin(self.txn(compare, puts.collect()))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<Vec<KvEntry>, KvError>> {
        Box::pin(self.watch_once(prefix, revision, wait))
    }

    fn grant_lease(&self, ttl: Duration) -> LocalFuture<'_, Result<u64, KvError>> {
        Box::pin(async move {
            let body = json!({ "TTL": ttl.as_secs().max(1).to_string() });
            let response = self.call("lease/grant", body).await?;
            parse_u64(&response["ID"]).ok_or(KvError::Unknown)
        })
    }

    fn renew_lease(&self, lease: u64) -> LocalFuture<'_, Result<bool, KvError>> {
        Box::pin(async move {
            let response = self.call("lease/keepalive", json!({ "ID": lease.to_string() })).await?;
            let ttl = parse_u64(&response["result"]["TTL"]);
            Ok(ttl.is_some_and(|ttl| ttl > 0))
        })
    }

    fn create_leased<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: u64,
    ) -> LocalFuture<'a, Result<Option<u64>, KvError>> {
        let compare = json!({
            "key": STANDARD.encode(key),
            "target": "CREATE",
            "result": "EQUAL",
            "create_revision": "0",
        });
        let put = json!({
            "key": STANDARD.encode(key),
            "value": STANDARD.encode(&value),
            "lease": lease.to_string(),
        });
        Box::pin(self.txn(compare, vec![put]))
    }

    fn remove<'a>(&'a self, key: &'a str, revision: u64) -> LocalFuture<'a, Result<bool, KvError>> {
        let compare = unchanged_since(key, revision);
        let remove = json!({ "request_delete_range": { "key": STANDARD.encode(key) } });
        Box::pin(async move { Ok(self.commit(compare, vec![remove]).await?.is_some()) })
    }

    fn revoke_lease(&self, lease: u64) -> LocalFuture<'_, Result<(), KvError>> {
        Box::pin(async move {
            self.call("lease/revoke", json!({ "ID": lease.to_string() })).await?;
            Ok(())
        })
    }
}
