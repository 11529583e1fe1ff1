//! Stand-ins for the users' platform, after its pages: the store, servers, callers; and what starts the daemons.
//! Standard library only.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- record

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:8.3} {}", line.as_ref()));
    }

    pub fn save(&self, path: &str) {
        let _ = std::fs::write(path, self.lines.lock().unwrap().join("\n") + "\n");
    }
}

// ---------------------------------------------------------------- JSON, as much as the store's calls need

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = Self::value(bytes, &mut at)?;
        Some(value)
    }

    fn blank(bytes: &[u8], at: &mut usize) {
        while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Self::blank(bytes, at);
        match bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::blank(bytes, at);
                    match bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Table(fields));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Self::value(bytes, at)? else { return None };
                            Self::blank(bytes, at);
                            if *bytes.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            fields.push((name, Self::value(bytes, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut all = Vec::new();
                loop {
                    Self::blank(bytes, at);
                    match bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(all));
                        }
                        b',' => *at += 1,
                        _ => all.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Text(String::from_utf8(text).ok()?));
                        }
                        b'\\' => {
                            *at += 1;
                            let escaped = *bytes.get(*at)?;
                            *at += 1;
                            match escaped {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                    let code = u32::from_str_radix(hex, 16).ok()?;
                                    text.extend(char::from_u32(code)?.to_string().bytes());
                                    *at += 4;
                                }
                                other => text.push(other),
                            }
                        }
                        byte => {
                            text.push(byte);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    *at += 1;
                }
                std::str::from_utf8(&bytes[from..*at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Table(fields) = self else { return None };
        fields.iter().find(|(field, _)| field == name).map(|(_, value)| value)
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(all)) => all.clone(),
            _ => Vec::new(),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let all = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= chunk.len() {
                true => out.push(DIGITS[(all >> (18 - 6 * place)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut all, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else { break };
        all = (all << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((all >> bits) as u8);
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn field<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
}

fn read_line(stream: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    let read = stream.read_until(b'\n', &mut line).ok()?;
    if read == 0 || line.last() != Some(&b'\n') {
        return None;
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

fn read_fields(stream: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut fields = Vec::new();
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            return Some(fields);
        }
        let (name, value) = line.split_once(':')?;
        fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

pub fn read_request(stream: &mut impl BufRead) -> Option<Request> {
    let line = read_line(stream)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let fields = read_fields(stream)?;
    let length = field(&fields, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Request { method, target, fields, body })
}

/// What a caller has received.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The length or the last chunk has arrived.
    pub complete: bool,
}

pub fn read_answer(stream: &mut impl BufRead) -> Option<Answer> {
    let line = read_line(stream)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let fields = read_fields(stream)?;
    let mut body = Vec::new();
    let chunked = field(&fields, "transfer-encoding").is_some_and(|coding| coding == "chunked");
    let length = field(&fields, "content-length").and_then(|text| text.parse::<usize>().ok());
    let complete = match (chunked, length) {
        (true, _) => read_chunks(stream, &mut body).is_some(),
        (false, Some(length)) => {
            let mut limited = stream.take(length as u64);
            let _ = limited.read_to_end(&mut body);
            body.len() == length
        }
        (false, None) => stream.read_to_end(&mut body).is_ok(),
    };
    Some(Answer { status, fields, body, complete })
}

fn read_chunks(stream: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let line = read_line(stream)?;
        let length = usize::from_str_radix(line.split(';').next()?, 16).ok()?;
        if length == 0 {
            return read_fields(stream).map(|_| ());
        }
        let mut chunk = vec![0; length];
        stream.read_exact(&mut chunk).ok()?;
        body.extend(chunk);
        read_line(stream)?;
    }
}

/// Makes one call on a connection of its own.
pub fn call(to: SocketAddr, request: &str, body: &[u8], timeout: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(&[request.as_bytes(), body].concat()).ok()?;
    read_answer(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------- the store

struct Item {
    value: Vec<u8>,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key, revision of each change, oldest first.
    history: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl Contents {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let made = self.items.get(key).map_or(revision, |item| item.made);
        self.items.insert(key.into(), Item { value, revision, made, lease });
        self.history.push((revision, key.into()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.into()));
        }
    }

    fn lapse(&mut self) -> bool {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (from, ttl))| now.duration_since(*from) >= *ttl)
            .map(|(id, _)| *id)
            .collect();
        for id in &over {
            self.end_lease(*id);
        }
        !over.is_empty()
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id && id != 0)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        existed
    }

    fn item(&self, key: &str) -> Option<String> {
        let item = self.items.get(key)?;
        Some(format!(
            "{{\"tls_key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":{}}}",
            base64(&item.value),
            item.revision,
            item.made,
            item.lease
        ))
    }
}

/// The platform's store: everything that its page tells, without disruptions.
#[derive(Clone)]
pub struct Store(Arc<(Mutex<Contents>, Condvar)>);

impl Store {
    pub fn start(address: SocketAddr) -> Option<Self> {
        let listener = TcpListener::bind(address).ok()?;
        let contents = Contents { revision: 100, next_lease: 7000, ..Contents::default() };
        let store = Self(Arc::new((Mutex::new(contents), Condvar::new())));
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let lapsing = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            let mut contents = lapsing.0 .0.lock().unwrap();
            if contents.lapse() {
                lapsing.0 .1.notify_all();
            }
        });
        Some(store)
    }

    /// Writes as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.0 .0.lock().unwrap();
        contents.revision += 1;
        contents.put(key, value.as_bytes().to_vec(), 0);
        self.0 .1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut contents = self.0 .0.lock().unwrap();
        contents.revision += 1;
        contents.remove(key);
        self.0 .1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decoded(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let path = path.strip_prefix("/portrack/").unwrap_or_default();
        let (lock, changed) = &*self.0;
        let mut contents = lock.lock().unwrap();
        match (request.method.as_str(), path) {
            ("GET", "kv-key") => match contents.item(&text("tls_key")) {
                Some(item) => (200, item),
                None => (404, "{}".into()),
            },
            ("GET", "kv-range") => {
                let (prefix, after) = (text("path_prefix"), text("after"));
                let keys: Vec<String> = contents
                    .items
                    .keys()
                    .filter(|key| key.starts_with(&prefix) && **key > after)
                    .take(501)
                    .cloned()
                    .collect();
                let items: Vec<String> =
                    keys.iter().take(500).filter_map(|key| contents.item(key)).collect();
                let more = keys.len() > 500;
                let at = contents.revision;
                (200, format!("{{\"items\":[{}],\"more\":{more},\"at\":{at}}}", items.join(",")))
            }
            ("GET", "kv-watch") => {
                let prefix = text("path_prefix");
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait: u64 = text("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    let mut keys: Vec<(u64, String)> = contents
                        .history
                        .iter()
                        .filter(|(at, key)| *at > after && key.starts_with(&prefix))
                        .cloned()
                        .collect();
                    let mut seen = std::collections::BTreeSet::new();
                    keys.reverse();
                    keys.retain(|(_, key)| seen.insert(key.clone()));
                    keys.reverse();
                    let left = until.saturating_duration_since(Instant::now());
                    if !keys.is_empty() || left.is_zero() {
                        let events: Vec<String> = keys
                            .iter()
                            .map(|(at, key)| {
                                contents.item(key).unwrap_or_else(|| {
                                    format!(
                                        "{{\"tls_key\":\"{key}\",\"revision\":{at},\"gone\":true}}"
                                    )
                                })
                            })
                            .collect();
                        let at = contents.revision;
                        return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
                    }
                    contents = changed.wait_timeout(contents, left).unwrap().0;
                }
            }
            ("POST", "kv-txn") => {
                let Some(body) = Json::parse(&request.body) else { return (400, "{}".into()) };
                let expected = body.list("expected");
                let holds = expected.iter().all(|row| {
                    let held = contents.items.get(&row.text("tls_key"));
                    held.map_or(0, |item| item.revision) == row.number("revision")
                });
                if !holds {
                    let items: Vec<String> = expected
                        .iter()
                        .filter_map(|row| contents.item(&row.text("tls_key")))
                        .collect();
                    return (412, format!("{{\"items\":[{}]}}", items.join(",")));
                }
                let puts = body.list("put");
                let unknown = |put: &Json| {
                    let lease = put.number("lease");
                    lease != 0 && !contents.leases.contains_key(&lease)
                };
                if puts.iter().any(unknown) {
                    return (404, "{}".into());
                }
                contents.revision += 1;
                for put in puts {
                    let value = from_base64(&put.text("value"));
                    contents.put(&put.text("tls_key"), value, put.number("lease"));
                }
                for key in body.list("remove") {
                    if let Json::Text(key) = key {
                        contents.remove(&key);
                    }
                }
                changed.notify_all();
                (200, format!("{{\"revision\":{}}}", contents.revision))
            }
            ("POST", "kv-lease") => {
                let ttl = Json::parse(&request.body).map_or(0, |body| body.number("ttl_ms"));
                let ttl = ttl.clamp(1_000, 600_000);
                contents.next_lease += 1;
                let id = contents.next_lease;
                contents.leases.insert(id, (Instant::now(), Duration::from_millis(ttl)));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            (_, path) => {
                let (call, id) = path.split_once('/').unwrap_or((path, ""));
                let id: u64 = id.parse().unwrap_or(0);
                let existed = match call {
                    "kv-keep" => match contents.leases.get_mut(&id) {
                        Some(lease) => {
                            lease.0 = Instant::now();
                            true
                        }
                        None => false,
                    },
                    "kv-lease-end" => contents.end_lease(id),
                    _ => false,
                };
                changed.notify_all();
                if existed {
                    (200, "{}".into())
                } else {
                    (404, "{}".into())
                }
            }
        }
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex =
            || u8::from_str_radix(std::str::from_utf8(bytes.get(at + 1..at + 3)?).ok()?, 16).ok();
        match (bytes[at], hex) {
            (b'%', hex) if hex().is_some() => {
                out.push(hex().unwrap_or_default());
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- processes

/// Processes that are killed when the rig ends, however it does.
#[derive(Clone, Default)]
pub struct Processes(Arc<Mutex<Vec<Child>>>);

impl Processes {
    pub fn add(&self, child: Child) -> u32 {
        let id = child.id();
        self.0.lock().unwrap().push(child);
        id
    }

    /// Sends a signal to a process that was started here and still runs.
    pub fn signal(&self, id: u32, signal: &str) {
        let mut all = self.0.lock().unwrap();
        let Some(child) = all.iter_mut().find(|child| child.id() == id) else { return };
        if signal == "KILL" {
            let _ = child.kill();
            let _ = child.wait();
        } else if matches!(child.try_wait(), Ok(None)) {
            // `kill` of the shell: a program of that name is not on every machine.
            let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {id}")]).status();
        }
    }

    /// Whether a process has ended, and with which code.
    pub fn ended(&self, id: u32) -> Option<Option<i32>> {
        let mut all = self.0.lock().unwrap();
        let child = all.iter_mut().find(|child| child.id() == id)?;
        child.try_wait().ok().flatten().map(|status| status.code())
    }

    pub fn end_all(&self) {
        for child in self.0.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A port that is free on all these addresses, with as many after it.
pub fn free_ports(hosts: &[&str], count: u16) -> Option<u16> {
    let seed = std::process::id() as u16;
    (0..200_u16)
        .map(|turn| 20_000 + (seed.wrapping_mul(37).wrapping_add(turn * 131)) % 12_000)
        .find(|base| {
            hosts.iter().all(|host| {
                (*base..*base + count).all(|port| {
                    TcpListener::bind(format!("{host}:{port}")).is_ok()
                        && std::net::UdpSocket::bind(format!("{host}:{port}")).is_ok()
                })
            })
        })
}

/// A daemon as the deploy file starts it.
pub struct Daemon {
    pub id: u32,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

pub struct Fleet {
    pub store: Store,
    pub daemons: Vec<Daemon>,
}

const HALLS: [&str; 3] = ["sala-centro", "sala-norte", "sala-orla"];

impl Fleet {
    /// Starts the store, lets `prepare` write to it, and starts daemons: in `hall`, or one in each hall in turn.
    pub fn start_with(
        processes: Processes,
        daemons: usize,
        only_hall: Option<&'static str>,
        prepare: impl FnOnce(&Store),
    ) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("portrack-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let hosts: Vec<String> = (0..daemons).map(|at| format!("127.0.0.{}", 11 + at)).collect();
        let names: Vec<&str> = hosts.iter().map(String::as_str).collect();
        let base = free_ports(&names, 5)?;
        let store_base = free_ports(&["127.0.0.2"], 1)?;
        let store_address: SocketAddr = format!("127.0.0.2:{store_base}").parse().ok()?;
        let store = Store::start(store_address)?;
        prepare(&store);
        let seeds: Vec<String> =
            hosts.iter().take(3).map(|host| format!("\"{host}:{}\"", base + 4)).collect();
        let mut started = Vec::new();
        for (at, host) in hosts.iter().enumerate() {
            let hall = only_hall.unwrap_or(HALLS[at % HALLS.len()]);
            let settings = format!(
                "node = \"front-{hall}-{at}\"\nhall = \"{hall}\"\ncallers = \"{host}:{base}\"\n\
                 readiness = \"{host}:{}\"\nmembers = \"{host}:{}\"\nmetrics = \"{host}:{}\"\n\
                 seeds = [{}]\nstore = \"{store_address}\"\nfirst_start = true\n\n\
                 [bounds]\nretry_ratio = 0.2\nretry_slack = 54\nretry_window_s = 10\n\
                 stop_within_s = 8\norder_quiet_ms = 3000\ndrain_ms = 2000\nconfig_within_ms = 2000\n\n\
                 [limits]\ncpu_share = 0.25\nlink_mbps = 1000.0\n\n\
                 [regions]\nsala-centro = \"sul-poa\"\nsala-norte = \"sul-poa\"\nsala-orla = \"sul-poa\"\n",
                base + 1,
                base + 2,
                base + 3,
                seeds.join(",")
            );
            let file = folder.join(format!("daemon-{at}.toml"));
            std::fs::write(&file, settings).ok()?;
            let log = std::fs::File::create(folder.join(format!("daemon-{at}.log"))).ok()?;
            let mut command = Command::new("target/release/portrackd");
            command.arg("--gateway").env_clear().env("PORTRACK_BOOT", &file);
            for name in ["PATH", "HOME", "LANG"] {
                if let Ok(value) = std::env::var(name) {
                    command.env(name, value);
                }
            }
            let child =
                command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null()).spawn().ok()?;
            started.push(Daemon {
                id: processes.add(child),
                callers: format!("{host}:{base}").parse().ok()?,
                readiness: format!("{host}:{}", base + 1).parse().ok()?,
            });
        }
        Some(Self { store, daemons: started })
    }

    /// Waits until all daemons say that they are ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.daemons.iter().all(|daemon| is_ready(daemon)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

pub fn is_ready(daemon: &Daemon) -> bool {
    let request = "GET /portrack/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    call(daemon.readiness, request, b"", Duration::from_secs(1))
        .is_some_and(|answer| answer.status == 200)
}

// ---------------------------------------------------------------- a server, as a process of its own

pub const EVENTS: usize = 86;

/// The events that a server makes for a request.
pub fn event(attempt: &str, number: usize) -> String {
    format!("id: {number}\ndata: {attempt} piece {number} of {EVENTS}\n\n")
}

pub fn whole_stream(attempt: &str) -> Vec<u8> {
    (1..=EVENTS).flat_map(|number| event(attempt, number).into_bytes()).collect()
}

/// The body of a plain answer: 800 bytes.
pub fn plain_body(attempt: &str) -> Vec<u8> {
    attempt.bytes().cycle().take(800).collect()
}

/// Runs a server until it is killed. It tells what it runs, a line each, on standard output.
///
/// Attempts whose ids begin with `u` get an answer without a length, which ends with its connection; all others
/// get one in chunks or with a length. The query may hold `work=MS`.
pub fn serve_as_server(address: &str, id: &str) -> ! {
    let id: &'static str = Box::leak(id.to_owned().into_boxed_str());
    let Ok(listener) = TcpListener::bind(address) else { std::process::exit(3) };
    say("listening");
    for stream in listener.incoming().flatten() {
        std::thread::spawn(move || serve_connection(stream, id));
    }
    std::process::exit(0)
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

fn serve_connection(stream: TcpStream, id: &str) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut out = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        if path == "/portrack/report" {
            let body = "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\
                        \"busy\":false,\"sequence\":0,\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":131025,\
                        \"handles\":0}";
            write!(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
            continue;
        }
        if path == "/health" {
            write!(out, "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
                .ok()?;
            continue;
        }
        let attempt = field(&request.fields, "attempt-id").unwrap_or_default().to_owned();
        if field(&request.fields, "expect-instance").is_some_and(|expected| expected != id) {
            write!(out, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nAttempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        say(&format!("runs {attempt} {}", request.target));
        let work: u64 = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("work="))
            .and_then(|text| text.parse().ok())
            .unwrap_or(20);
        let unframed = attempt.starts_with('u');
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {id}.{attempt}\r\n"
        );
        if field(&request.fields, "model").is_some() {
            let from: usize = field(&request.fields, "last-event-id")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let framing = if unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
            write!(out, "{head}Content-Type: text/event-stream\r\n{framing}\r\n").ok()?;
            for number in from + 1..=EVENTS {
                std::thread::sleep(Duration::from_millis(work));
                let event = event(&attempt, number);
                match unframed {
                    true => out.write_all(event.as_bytes()).ok()?,
                    false => out
                        .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                        .ok()?,
                }
            }
            if !unframed {
                out.write_all(b"0\r\n\r\n").ok()?;
            }
        } else {
            std::thread::sleep(Duration::from_millis(work));
            let body = plain_body(&attempt);
            match unframed {
                true => {
                    write!(out, "{head}\r\n").ok()?;
                    out.write_all(&body).ok()?;
                }
                false => {
                    write!(out, "{head}Content-Length: {}\r\n\r\n", body.len()).ok()?;
                    out.write_all(&body).ok()?;
                }
            }
        }
        say(&format!("ended {attempt}"));
        if unframed {
            let _ = out.shutdown(std::net::Shutdown::Write);
            return None;
        }
    }
}

/// A server process, as the rig sees it.
pub struct Server {
    pub process: u32,
    pub id: String,
    pub address: SocketAddr,
    pub service: &'static str,
    pub hall: &'static str,
    /// Attempts that it has begun to run.
    pub runs: Arc<Mutex<Vec<String>>>,
}

impl Server {
    pub fn start(
        processes: &Processes,
        record: &Record,
        id: &str,
        address: SocketAddr,
        service: &'static str,
        hall: &'static str,
    ) -> Option<Self> {
        let rig = std::env::current_exe().ok()?;
        let mut child = Command::new(rig)
            .args(["server", &address.to_string(), id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let mut lines = BufReader::new(child.stdout.take()?).lines();
        let process = processes.add(child);
        if lines.next()?.ok()? != "listening" {
            return None;
        }
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (told, record, name) = (runs.clone(), record.clone(), id.to_owned());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.note(format!("server {name} {line}"));
                if let Some(run) = line.strip_prefix("runs ") {
                    let attempt = run.split(' ').next().unwrap_or_default();
                    told.lock().unwrap().push(attempt.to_owned());
                }
            }
        });
        Some(Self { process, id: id.into(), address, service, hall, runs })
    }

    /// What it writes into the store.
    pub fn entry(&self, state: &str) -> String {
        let models = match self.service {
            "assist-llm" => ",\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]",
            _ => "",
        };
        let slots = if self.service == "assist-llm" { 64 } else { 6 };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0{models},\"sequence\":0}}",
            self.service, self.address, self.hall
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn has_run(&self, attempt: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|run| run == attempt)
    }
}

/// The configuration of a small deployment: a stream route, one that may be resumed, and two plain ones.
pub fn config(version: u64) -> String {
    let route = |name: &str, path: &str, rest: &str| {
        format!("{{\"name\":\"{name}\",\"hostname\":\"pedala.example\",\"path_prefix\":\"/{path}/\",{rest}}}")
    };
    let routes = [
        route("rider-chat", "chat", "\"kind\":\"stream\",\"timeout_ms\":15000,\"target_latency_ms\":800,\"target_gap_ms\":250,\"priority\":2,\"service\":\"assist-llm\",\"max_attempts\":1,\"session_affinity\":true,\"resumable\":false"),
        route("dispute-digest", "digest", "\"kind\":\"stream\",\"timeout_ms\":15000,\"target_latency_ms\":1000,\"target_gap_ms\":250,\"priority\":1,\"service\":\"assist-llm\",\"max_attempts\":2,\"session_affinity\":true,\"resumable\":true"),
        route("station-status", "status", "\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":150,\"priority\":2,\"service\":\"dock-api\",\"max_attempts\":1"),
        route("unlock-confirm", "unlock", "\"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,\"service\":\"dock-api\",\"max_attempts\":2"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"assist-llm\",\"health_path\":\"/health\",\
         \"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":131025,\"stride\":2,\
         \"models\":[{{\"name\":\"m0\",\"weights_mb\":42700.0,\"load_s\":0.6,\"adapters\":3000,\"adapter_mb\":66.0}}],\
         \"weights_mb\":45000.0,\"adapter_slots\":21,\"loads_per_s\":3.3}}}},\
         {{\"name\":\"dock-api\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// A request as a caller writes it.
pub fn stream_request(path: &str, attempt: &str, work: u64) -> String {
    format!(
        "POST /{path}/2f?work={work} HTTP/1.1\r\nHost: pedala.example\r\nAttempt-Id: {attempt}\r\nModel: m0\r\n\
         Token-Counts: 1460,172\r\nPrompt-Prefix: 5c1e07a2:800,{:x}:660\r\nDeadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n",
        attempt.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()))
    )
}

pub fn plain_request(method: &str, path: &str, attempt: &str, work: u64, deadline: u64) -> String {
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    format!(
        "{method} /{path}/2f?work={work} HTTP/1.1\r\nHost: pedala.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {deadline}\r\n{length}\r\n"
    )
}
