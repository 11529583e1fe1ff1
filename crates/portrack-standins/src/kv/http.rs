//! The key-value service's HTTP interface.

use super::faults::Fault;
use super::lapse::lapse_always;
use super::state::{Changed, Held, Store};
use crate::host::host;
use actix_http::{Request, StatusCode};
use actix_rt::task::JoinHandle;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use portrack::http::{self, Reply, read_body};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Largest accepted request body, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;
/// Largest accepted value, in bytes.
const MAX_VALUE: usize = 1024 * 1024;

#[derive(Default)]
struct Shared {
    store: RefCell<Store>,
    fault: Cell<Fault>,
    changed: Notify,
    reads: Cell<u64>,
    writes: Cell<u64>,
}

/// A running stand-in key-value service.
pub struct KeyValue {
    address: SocketAddr,
    shared: Rc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl KeyValue {
    /// Starts an empty service on `address`.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let shared = Rc::new(Shared::default());
        let served = shared.clone();
        let (address, listener) =
            host(address, move |request| handle(served.clone(), request)).await?;
        let lapsing = shared.clone();
        let lapse =
            actix_rt::spawn(async move { lapse_always(&lapsing.store, &lapsing.changed).await });
        Ok(Self { address, shared, tasks: vec![listener, lapse] })
    }

    /// `http://host:port`
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Injects a fault; it stays until another is set.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.fault.set(fault);
        self.shared.changed.notify_waiters();
    }

    /// Number of reads and writes so far; a watch counts as a read.
    pub fn calls(&self) -> (u64, u64) {
        (self.shared.reads.get(), self.shared.writes.get())
    }

    /// Writes a key directly, as another client would.
    pub fn put(&self, key: &str, value: &[u8]) {
        let put = (key.as_bytes().to_vec(), value.to_vec(), 0);
        self.shared.store.borrow_mut().put(vec![put]);
        self.shared.changed.notify_waiters();
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.shared.store.borrow().get(key.as_bytes()).map(|held| held.value.clone())
    }

    /// Stops the listener and the expiry of leases.
    pub fn stop(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn handle(shared: Rc<Shared>, mut request: Request) -> Reply {
    let path = request.path().to_owned();
    match shared.fault.get() {
        Fault::Down => return http::plain(StatusCode::SERVICE_UNAVAILABLE, "down\n"),
        Fault::Slow(pause) => actix_rt::time::sleep(pause).await,
        Fault::None | Fault::DropWriteResponses => {}
    }
    let body = match read_body(&mut request, MAX_BODY, Duration::from_secs(5)).await {
        Ok(body) => body,
        Err(refusal) => return http::plain(StatusCode::BAD_REQUEST, refusal.detail),
    };
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return http::plain(StatusCode::BAD_REQUEST, "the body is not valid JSON\n");
    };
    let writes = ["/v3/kv/txn", "/v3/lease/grant", "/v3/lease/revoke", "/v3/lease/keepalive"];
    let is_write = writes.contains(&path.as_str());
    let counter = if is_write { &shared.writes } else { &shared.reads };
    counter.set(counter.get() + 1);
    let reply = match path.as_str() {
        "/v3/kv/range" => range(&shared, &body),
        "/v3/kv/txn" => txn(&shared, &body),
        "/v3/lease/grant" => grant(&shared, &body),
        "/v3/lease/keepalive" => keepalive(&shared, &body),
        "/v3/lease/revoke" => revoke(&shared, &body),
        "/v3/watch" => return watch(&shared, &body),
        _ => http::plain(StatusCode::NOT_FOUND, "no such call\n"),
    };
    match is_write && shared.fault.get() == Fault::DropWriteResponses {
        true => truncated_reply(),
        false => reply,
    }
}

fn truncated_reply() -> Reply {
    let broken = Err(std::io::Error::other("lost"));
    http::events(futures_util::stream::iter([Ok(Bytes::from_static(b"{")), broken]))
}

fn bytes(value: &Value) -> Vec<u8> {
    value.as_str().and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default()
}

fn number(value: &Value) -> u64 {
    value.as_u64().or_else(|| value.as_str()?.parse().ok()).unwrap_or(0)
}

fn kv(key: &[u8], held: &Held) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&held.value),
        "create_revision": held.created.to_string(),
        "mod_revision": held.changed.to_string(),
        "lease": held.lease.to_string(),
    })
}

fn header(shared: &Shared) -> Value {
    json!({ "revision": shared.store.borrow().revision.to_string() })
}

fn range(shared: &Shared, body: &Value) -> Reply {
    let found = shared.store.borrow().range(&bytes(&body["key"]), &bytes(&body["range_end"]));
    let kvs: Vec<Value> = found.iter().map(|(key, held)| kv(key, held)).collect();
    http::json(StatusCode::OK, &json!({ "header": header(shared), "kvs": kvs }))
}

fn txn(shared: &Shared, body: &Value) -> Reply {
    let succeeded =
        body["compare"].as_array().is_none_or(|all| all.iter().all(|c| compare_holds(shared, c)));
    if succeeded {
        let empty = Vec::new();
        let operations = body["success"].as_array().unwrap_or(&empty);
        let puts = operations.iter().map(|op| &op["request_put"]).filter(|put| !put.is_null());
        let puts: Vec<_> = puts
            .map(|put| (bytes(&put["key"]), bytes(&put["value"]), number(&put["lease"])))
            .collect();
        let too_large = puts.iter().any(|(_, value, _)| value.len() > MAX_VALUE);
        let leases = puts.iter().all(|(_, _, id)| shared.store.borrow().has_lease(*id));
        if too_large || !leases {
            return http::plain(StatusCode::BAD_REQUEST, "value too large or lease expired\n");
        }
        if !puts.is_empty() {
            shared.store.borrow_mut().put(puts);
        }
        for operation in operations.iter().map(|op| &op["request_delete_range"]) {
            if !operation.is_null() {
                shared.store.borrow_mut().remove(bytes(&operation["key"]));
            }
        }
        shared.changed.notify_waiters();
    }
    http::json(StatusCode::OK, &json!({ "header": header(shared), "succeeded": succeeded }))
}

fn compare_holds(shared: &Shared, compare: &Value) -> bool {
    let store = shared.store.borrow();
    let held = store.get(&bytes(&compare["key"]));
    match compare["target"].as_str() {
        Some("MOD") => held.map_or(0, |h| h.changed) == number(&compare["mod_revision"]),
        Some("CREATE") => held.map_or(0, |h| h.created) == number(&compare["create_revision"]),
        _ => false,
    }
}

fn grant(shared: &Shared, body: &Value) -> Reply {
    let ttl = Duration::from_secs(number(&body["TTL"]).max(1));
    let id = shared.store.borrow_mut().grant(ttl);
    http::json(StatusCode::OK, &json!({ "ID": id.to_string(), "TTL": ttl.as_secs().to_string() }))
}

fn keepalive(shared: &Shared, body: &Value) -> Reply {
    let ttl = shared.store.borrow_mut().renew(number(&body["ID"])).unwrap_or(0);
    let result = json!({ "ID": body["ID"], "TTL": ttl.to_string() });
    http::json(StatusCode::OK, &json!({ "result": result }))
}

fn revoke(shared: &Shared, body: &Value) -> Reply {
    shared.store.borrow_mut().revoke(number(&body["ID"]));
    shared.changed.notify_waiters();
    http::json(StatusCode::OK, &json!({ "header": header(shared) }))
}

/// Streams events from a revision on, until the caller disconnects or the service goes down.
fn watch(shared: &Rc<Shared>, body: &Value) -> Reply {
    let create = &body["create_request"];
    let (start, end) = (bytes(&create["key"]), bytes(&create["range_end"]));
    let from = number(&create["start_revision"]);
    let state = (shared.clone(), from);
    let lines = futures_util::stream::unfold(state, move |(shared, from)| {
        let (start, end) = (start.clone(), end.clone());
        async move {
            loop {
                if shared.fault.get() == Fault::Down {
                    return None;
                }
                let events = events_since(&shared, &start, &end, from);
                if !events.is_empty() {
                    let next = shared.store.borrow().revision + 1;
                    let line = json!({ "result": { "header": header(&shared), "events": events } });
                    return Some((Ok(Bytes::from(format!("{line}\n"))), (shared, next)));
                }
                shared.changed.notified().await;
            }
        }
    });
    http::events(lines)
}

fn events_since(shared: &Shared, start: &[u8], end: &[u8], from: u64) -> Vec<Value> {
    let store = shared.store.borrow();
    let within = |changed: &&Changed| {
        changed.revision >= from && changed.key.as_slice() >= start && changed.key.as_slice() < end
    };
    let events = store.history.iter().filter(within).map(|changed| match &changed.value {
        Some(value) => json!({ "type": "PUT", "kv": {
            "key": STANDARD.encode(&changed.key),
            "value": STANDARD.encode(value),
            "mod_revision": changed.revision.to_string(),
        }}),
        None => json!({ "type": "DELETE", "kv": {
            "key": STANDARD.encode(&changed.key),
            "mod_revision": changed.revision.to_string(),
        }}),
    });
    events.collect()
}
