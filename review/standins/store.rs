//! The platform's store: keys with revisions, leases, watches and transactions, as PROTOCOL.md tells them.
//! The operator and the servers write through `/standin/put`.

use crate::http::{self, Head};
use crate::json::{self, Json};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time of an answer, as the pages give it.
const ANSWER: Duration = Duration::from_millis(4);
/// Items in one page of a listing.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Key and value, `None` for a removed key, of every change.
    history: Vec<(u64, String, Option<String>)>,
    revision: u64,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    /// When a server's entry goes unless the server writes it again.
    entries_until: HashMap<String, Instant>,
}

#[derive(Default)]
struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        let item = Item { value: value.clone(), revision: self.revision, made, lease };
        self.items.insert(key.to_owned(), item);
        self.history.push((self.revision, key.to_owned(), Some(value)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
        self.leases.remove(&id).is_some()
    }

    fn lapse(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.until <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| {
            self.end_lease(id);
        });
        let gone: Vec<String> = self
            .entries_until
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.entries_until.remove(&key);
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn row(&self, key: &str, item: &Item) -> String {
        let Item { value, revision, made, lease } = item;
        format!(
            "{{\"tls_key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{made},\"lease\":{lease}}}"
        )
    }
}

pub fn serve(listener: TcpListener) {
    let store = Arc::new(Store::default());
    let lapsing = store.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(50));
            lapsing.state.lock().expect("a lock").lapse();
            lapsing.changed.notify_all();
        }
    });
    for stream in listener.incoming().flatten() {
        let store = store.clone();
        thread::spawn(move || serve_connection(&store, stream));
    }
}

fn serve_connection(store: &Store, mut stream: TcpStream) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let head = http::read_head(&mut reader).ok()??;
        let body = http::read_exactly(&mut reader, head.length()).ok()?;
        thread::sleep(ANSWER);
        let (status, text) = answer(store, &head, &String::from_utf8_lossy(&body));
        let length = text.len();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
        );
        stream.write_all(format!("{head}{text}").as_bytes()).ok()?;
    }
}

fn answer(store: &Store, head: &Head, body: &str) -> (u16, String) {
    let [method, target, ..] = &head.first[..] else { return (400, String::new()) };
    let path = target.split('?').next().unwrap_or_default();
    let answer = match (method.as_str(), path) {
        ("GET", "/portrack/kv-key") => key(store, target),
        ("GET", "/portrack/kv-range") => range(store, target),
        ("GET", "/portrack/kv-watch") => watch(store, target),
        ("POST", "/portrack/kv-txn") => match json::parse(body) {
            Some(body) => transact(store, &body),
            None => (400, String::new()),
        },
        ("POST", "/portrack/kv-lease") => grant(store, body),
        ("POST", "/standin/put") => put(store, target, body),
        (_, path) => lease_call(store, path),
    };
    store.changed.notify_all();
    answer
}

fn key(store: &Store, target: &str) -> (u16, String) {
    let (state, key) = (store.state.lock().expect("a lock"), http::parameter(target, "tls_key"));
    let found = state.items.get(&key).map(|item| state.row(&key, item));
    found.map_or((404, "{}".into()), |row| (200, row))
}

fn range(store: &Store, target: &str) -> (u16, String) {
    let state = store.state.lock().expect("a lock");
    let (prefix, after) =
        (http::parameter(target, "path_prefix"), http::parameter(target, "after"));
    let here = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
    let rows: Vec<String> = here.map(|(key, item)| state.row(key, item)).collect();
    let (more, at) = (rows.len() > PAGE, state.revision);
    let rows = rows[..rows.len().min(PAGE)].join(",");
    (200, format!("{{\"items\":[{rows}],\"more\":{more},\"at\":{at}}}"))
}

fn watch(store: &Store, target: &str) -> (u16, String) {
    let prefix = http::parameter(target, "path_prefix");
    let after: u64 = http::parameter(target, "after").parse().unwrap_or(0);
    let wait: u64 = http::parameter(target, "wait_ms").parse().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait.min(30_000));
    let mut state = store.state.lock().expect("a lock");
    loop {
        let here =
            state.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
        let rows: Vec<String> = here
            .map(|(at, key, value)| match value {
                Some(value) => {
                    format!("{{\"tls_key\":\"{key}\",\"value\":\"{value}\",\"revision\":{at}}}")
                }
                None => format!("{{\"tls_key\":\"{key}\",\"revision\":{at},\"gone\":true}}"),
            })
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !rows.is_empty() || left.is_zero() {
            let (rows, at) = (rows.join(","), state.revision);
            return (200, format!("{{\"events\":[{rows}],\"at\":{at}}}"));
        }
        state = store.changed.wait_timeout(state, left).expect("a lock").0;
    }
}

fn transact(store: &Store, body: &Json) -> (u16, String) {
    let mut state = store.state.lock().expect("a lock");
    let expected = body.get("expected").list();
    let at =
        |row: &Json| state.items.get(row.get("tls_key").text()).map_or(0, |item| item.revision);
    if expected.iter().any(|row| at(row) != row.get("revision").number()) {
        let keys = expected.iter().map(|row| row.get("tls_key").text());
        let rows = keys.filter_map(|key| state.items.get(key).map(|item| state.row(key, item)));
        let rows: Vec<String> = rows.collect();
        return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
    }
    let lease = |row: &Json| row.get("lease").number();
    let puts = body.get("put").list();
    if puts.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
        return (404, "{}".into());
    }
    state.revision += 1;
    for row in puts {
        state.put(row.get("tls_key").text(), row.get("value").text().to_owned(), lease(row));
    }
    for key in body.get("remove").list() {
        state.remove(key.text());
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

fn grant(store: &Store, body: &str) -> (u16, String) {
    let ttl_ms = json::parse(body).map_or(0, |body| body.get("ttl_ms").number()).max(1_000);
    let ttl = Duration::from_millis(ttl_ms);
    let mut state = store.state.lock().expect("a lock");
    state.last_lease += 1;
    let id = state.last_lease;
    state.leases.insert(id, Lease { ttl, until: Instant::now() + ttl });
    (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
}

fn lease_call(store: &Store, path: &str) -> (u16, String) {
    let mut state = store.state.lock().expect("a lock");
    let id = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse::<u64>().ok());
    let known = if let Some(id) = id("/portrack/kv-keep/") {
        state.leases.get_mut(&id).map(|lease| lease.until = Instant::now() + lease.ttl).is_some()
    } else if let Some(id) = id("/portrack/kv-lease-end/") {
        state.end_lease(id)
    } else {
        return (400, "{}".into());
    };
    (if known { 200 } else { 404 }, "{}".into())
}

/// Writes a key of the operator, or of a server for `keep_ms`; an unchanged value changes no revision. An empty
/// value removes the key.
fn put(store: &Store, target: &str, body: &str) -> (u16, String) {
    let mut state = store.state.lock().expect("a lock");
    let (key, value) = (http::parameter(target, "key"), json::base64(body.as_bytes()));
    if let Ok(keep_ms) = http::parameter(target, "keep_ms").parse() {
        state.entries_until.insert(key.clone(), Instant::now() + Duration::from_millis(keep_ms));
    }
    if value.is_empty() {
        state.entries_until.remove(&key);
        state.revision += 1;
        state.remove(&key);
    } else if state.items.get(&key).is_none_or(|item| item.value != value) {
        state.revision += 1;
        state.put(&key, value, 0);
    }
    (200, "{}".into())
}
