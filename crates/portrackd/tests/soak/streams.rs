//! Stand-ins for streams: servers of several software versions that break streams off, and callers that
//! take them up again at other daemons.

use portrack_platform_standins::StoreServer;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// The path of streams that may be taken up again.
const PATH: &str = "/long/";
/// Events of a complete stream, and the pause before each.
const EVENTS: usize = 16;
const EVENT_PAUSE: Duration = Duration::from_millis(30);
/// Share of the events after which a server breaks a stream off.
const BREAK_SHARE: f64 = 0.05;
/// Tries of a caller for one stream, and the time that it has for all of them.
const TRIES: usize = 6;
const PATIENCE: Duration = Duration::from_secs(8);
/// Upper bound on the `Retry-After` that a refused caller honours.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// How long a caller waits for the next byte of an answer.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Writes the configuration of a service whose streams may be taken up again.
pub fn configure(store: &StoreServer, version: u64, host: &str) {
    let model = json!({
        "name": "m", "weights_mb": 500.0, "load_s": 0.1, "adapters": 100, "adapter_mb": 10.0,
    });
    let engine = json!({
        "slots": 32, "kv_capacity": 100_000, "weights_mb": 1_000.0, "adapter_slots": 4,
        "loads_per_s": 50.0, "models": [model],
    });
    let route = json!({
        "name": "long", "hostname": host, "path_prefix": PATH, "kind": "stream", "timeout_ms": 8_000,
        "target_latency_ms": 1_000, "service": "llm", "max_attempts": 2, "resumable": true,
        "target_gap_ms": 250,
    });
    let limits = json!({
        "max_header_bytes": 4_096, "max_body_bytes": 65_536, "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    });
    let service = json!({ "name": "llm", "max_conns": 400, "engine": engine });
    let config = json!({
        "version": version, "routes": [route], "services": [service], "limits": limits,
    });
    store.put("op/config", &config);
}

/// A server of a software version.
pub struct StreamServer {
    id: String,
    software: String,
    address: SocketAddr,
    ended: Rc<Notify>,
}

impl StreamServer {
    /// Starts a server and lists it in the store.
    pub async fn start(store: &StoreServer, id: &str, software: &str, seed: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let server =
            Self { id: id.into(), software: software.into(), address, ended: Rc::default() };
        let (ended, software) = (server.ended.clone(), server.software.clone());
        let random = SmallRng::seed_from_u64(seed);
        actix_rt::spawn(async move {
            tokio::select! {
                () = accept(&listener, &software, &ended, random) => {}
                () = ended.notified() => {}
            }
        });
        server.list(store, "ready");
        server
    }

    /// Its software version.
    pub fn software(&self) -> &str {
        &self.software
    }

    /// Writes its entry.
    pub fn list(&self, store: &StoreServer, state: &str) {
        let entry = json!({
            "service": "llm", "address": self.address, "zone": "a", "version": self.software,
            "slots": 32, "state": state, "cold_remaining_ms": 0, "sequence": 0, "stage": "colocated",
            "models": [{ "name": "m", "version": 1, "adapters": [] }],
        });
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Ends it and removes its entry.
    pub fn end(&self, store: &StoreServer) {
        self.ended.notify_waiters();
        store.remove(&format!("servers/{}", self.id));
    }
}

async fn accept(listener: &TcpListener, software: &str, ended: &Rc<Notify>, mut random: SmallRng) {
    while let Ok((stream, _)) = listener.accept().await {
        let (software, ended) = (software.to_owned(), ended.clone());
        let random = SmallRng::from_rng(&mut random);
        actix_rt::spawn(async move {
            tokio::select! {
                () = serve(stream, &software, random) => {}
                () = ended.notified() => {}
            }
        });
    }
}

/// Answers one request of a connection: a stream from the requested event on, or a report.
async fn serve(mut stream: TcpStream, software: &str, mut random: SmallRng) {
    let Some(head) = read_head(&mut stream).await else { return };
    let id = header(&head, "attempt-id").unwrap_or_default();
    if !head.starts_with(&format!("post {PATH}")) {
        let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
        return;
    }
    let answer = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: sig\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(answer.as_bytes()).await.is_err() {
        return;
    }
    let last = header(&head, "last-event-id").and_then(|id| id.parse::<usize>().ok());
    for event in last.map_or(0, |last| last + 1)..EVENTS {
        actix_rt::time::sleep(EVENT_PAUSE).await;
        let text = format!("id: {event}\ndata: {software}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() || random.random_bool(BREAK_SHARE) {
            return;
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(String::from_utf8_lossy(&bytes).to_ascii_lowercase())
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// One try of a caller.
#[derive(Debug, Clone)]
pub struct Try {
    /// When it was sent.
    pub sent: Instant,
    /// Whether it takes a stream up again.
    pub takes_up: bool,
    /// Whether it brought an event, or the end of its stream.
    pub went_on: bool,
    /// Its status; 0 if there was no answer.
    pub status: u16,
}

/// A stream over all tries of its caller.
#[derive(Debug, Clone, Default)]
pub struct StreamSeen {
    /// The attempt that brought its first event.
    pub began: Option<String>,
    /// The ids of its events, in order.
    pub events: Vec<usize>,
    /// The software versions that made them.
    pub versions: BTreeSet<String>,
    /// All tries.
    pub tries: Vec<Try>,
    /// Whether an answer ended as complete.
    pub complete: bool,
}

impl StreamSeen {
    /// Whether events are missing or repeated, or the stream ended too early.
    pub fn is_broken(&self) -> bool {
        let in_order = self.events.iter().enumerate().all(|(n, id)| n == *id);
        !in_order || (self.complete && self.events.len() != EVENTS)
    }

    async fn attempt(
        &mut self,
        daemon: SocketAddr,
        host: &str,
        id: &str,
        left: Duration,
    ) -> Duration {
        let mut request = format!(
            "POST {PATH}x HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
             Connection: close\r\nModel: m\r\nToken-Counts: 10,20\r\nPrompt-Prefix: 1:10\r\n",
            left.as_millis()
        );
        if let (Some(began), Some(last)) = (&self.began, self.events.last()) {
            request += &format!("Resumes: {began}\r\nLast-Event-Id: {last}\r\n");
        }
        let (sent, takes_up) = (Instant::now(), self.began.is_some());
        let answer = exchange(daemon, &format!("{request}\r\n")).await;
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let before = self.events.len();
        if status == 200 {
            self.take_events(body);
            self.complete |= body.ends_with("0\r\n\r\n");
        }
        let has_events = self.events.len() > before;
        // A server may break off after the last event, so that only the end is missing.
        let went_on = has_events || self.complete;
        if has_events {
            self.began.get_or_insert_with(|| id.to_owned());
        }
        self.tries.push(Try { sent, takes_up, went_on, status });
        let after = header(head, "retry-after").and_then(|text| text.parse::<f64>().ok());
        Duration::from_secs_f64(after.unwrap_or(0.05)).min(MAX_RETRY_AFTER)
    }

    /// Takes the complete events of an answer's chunks.
    fn take_events(&mut self, body: &str) {
        let lines: Vec<&str> = body.lines().collect();
        for three in lines.windows(3) {
            let (Some(id), Some(data)) =
                (three[0].strip_prefix("id: "), three[1].strip_prefix("data: "))
            else {
                continue;
            };
            if let Some(id) = id.parse().ok().filter(|_| three[2].is_empty()) {
                self.events.push(id);
                self.versions.insert(data.to_owned());
            }
        }
    }
}

/// Sends a request and returns what arrives before the connection ends or falls silent.
async fn exchange(daemon: SocketAddr, request: &str) -> String {
    let mut received = Vec::new();
    let reading = async {
        let mut stream = TcpStream::connect(daemon).await?;
        stream.write_all(request.as_bytes()).await?;
        loop {
            let read = stream.read_buf(&mut received);
            match actix_rt::time::timeout(MAX_SILENCE, read).await {
                Ok(Ok(read)) if read > 0 => {}
                Ok(Ok(_)) | Err(_) => return Ok(()),
                Ok(Err(error)) => return Err(error),
            }
        }
    };
    let _ended: std::io::Result<()> = reading.await;
    String::from_utf8_lossy(&received).into_owned()
}

/// Callers that begin streams and take them up again until they are stopped.
#[derive(Clone, Default)]
pub struct StreamCallers {
    streams: Rc<RefCell<Vec<StreamSeen>>>,
    stopped: Rc<Cell<bool>>,
    running: Rc<Cell<usize>>,
}

impl StreamCallers {
    /// Starts callers, distributed over the daemons.
    pub fn start(&self, seed: u64, callers: usize, daemons: &[SocketAddr], host: &'static str) {
        for n in 0..callers {
            let (all, daemons) = (self.clone(), daemons.to_vec());
            let random = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(n as u64));
            self.running.set(self.running.get() + 1);
            actix_rt::spawn(async move {
                all.run_caller(n, daemons, host, random).await;
                all.running.set(all.running.get() - 1);
            });
        }
    }

    /// Stops all callers, waits for their last answers and returns all streams.
    pub async fn stop(&self) -> Vec<StreamSeen> {
        self.stopped.set(true);
        while self.running.get() > 0 {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        self.streams.borrow().clone()
    }

    async fn run_caller(
        &self,
        n: usize,
        daemons: Vec<SocketAddr>,
        host: &str,
        mut random: SmallRng,
    ) {
        let mut number = 0;
        while !self.stopped.get() {
            let mut stream = StreamSeen::default();
            let until = Instant::now() + PATIENCE;
            for attempt in 0..TRIES {
                let left = until.saturating_duration_since(Instant::now());
                if stream.complete || left.is_zero() {
                    break;
                }
                let daemon = daemons[random.random_range(0..daemons.len())];
                let id = format!("c{n}s{number}t{attempt}");
                let pause = stream.attempt(daemon, host, &id, left).await;
                actix_rt::time::sleep(pause).await;
            }
            number += 1;
            self.streams.borrow_mut().push(stream);
        }
    }
}
