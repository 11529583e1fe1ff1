//! A small deployment: a store, model servers and daemons, each a process of its own, and callers.

use crate::http;
use crate::server::{self, ADAPTER_MB, PLACES, ROOM_MB, SERVICE, SLOTS};
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["sala-centro", "sala-norte", "sala-orla"];
pub const HOST: &str = "ficu95.example";
pub const PATH: &str = "/lohu930/";

/// A model server's process.
pub struct Server {
    pub id: String,
    pub zone: usize,
    /// One answer in this many has no length; none if 0.
    pub unframed_one_in: u64,
    pub child: Child,
}

/// A daemon's process.
pub struct Daemon {
    pub node: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    pub child: Child,
}

/// All processes of a play; they are killed when it is dropped.
pub struct Fleet {
    pub folder: PathBuf,
    program: PathBuf,
    store: Child,
    store_address: SocketAddr,
    pub servers: Vec<Server>,
    pub daemons: Vec<Daemon>,
    next_server: usize,
    models: &'static str,
    began: Instant,
    /// What happened, for the record.
    pub notes: Arc<Mutex<Vec<String>>>,
}

/// An address in 127.0.0.0/8 for each process, the same for all of a play's daemons but the last byte.
fn base() -> [u8; 2] {
    let id = std::process::id();
    [64 + (id % 128) as u8, 1 + (id / 128 % 250) as u8]
}

fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("it is bound").port()
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let servers = self.servers.iter_mut().map(|server| &mut server.child);
        let daemons = self.daemons.iter_mut().map(|daemon| &mut daemon.child);
        for child in servers.chain(daemons).chain([&mut self.store]) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts a deployment like that of the sheet of pedala-poa: 7 daemons in 3 zones before `servers`, each of which
    /// holds the `models`. Every second server sends one answer in `unframed_one_in` without a length.
    pub fn start(
        program: &Path,
        servers: usize,
        models: &'static str,
        unframed_one_in: u64,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("portrack-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let [second, third] = base();
        let ip = |last: u8| Ipv4Addr::new(127, second, third, last);
        let store_address = SocketAddr::from((ip(250), free_port(ip(250))));
        let me = std::env::current_exe()?;
        let store = Command::new(&me).args(["store", &store_address.to_string()]).spawn()?;
        let mut fleet = Self {
            folder,
            program: program.into(),
            store,
            store_address,
            servers: Vec::new(),
            daemons: Vec::new(),
            next_server: 0,
            models,
            began: Instant::now(),
            notes: Arc::default(),
        };
        fleet.until(Duration::from_secs(5), || {
            TcpStream::connect_timeout(&store_address, Duration::from_millis(200)).is_ok()
        })?;
        for n in 0..servers {
            fleet.add_server(
                n * ZONES.len() / servers,
                if n % 2 == 0 { unframed_one_in } else { 0 },
            )?;
        }
        fleet.put("op/config", &config(models))?;
        // A daemon's connections to others come from 127.0.0.1, whatever its own address is, and others decline to
        // look at a server for a stranger. So one daemon has that address; its narrow link keeps others from
        // asking it, since it knows none with that address but itself.
        let first = Ipv4Addr::LOCALHOST;
        let ports = [free_port(first), free_port(first), free_port(first)];
        for (n, zone) in [0, 0, 0, 1, 1, 2, 2].into_iter().enumerate() {
            let ip = if n == 0 { first } else { ip(n as u8 + 1) };
            fleet.add_daemon(ip, first, zone, ports)?;
        }
        let ready: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.readiness).collect();
        fleet.until(Duration::from_secs(15), || {
            ready.iter().all(|address| {
                let asked =
                    http::call(*address, "GET", "/portrack/ready", b"", Duration::from_secs(1));
                asked.is_ok_and(|(status, _)| status == 200)
            })
        })?;
        Ok(fleet)
    }

    fn until(&self, within: Duration, is_so: impl Fn() -> bool) -> io::Result<()> {
        let began = Instant::now();
        while began.elapsed() < within {
            if is_so() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the deployment did not come up"))
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s {text}", self.began.elapsed().as_secs_f64());
        self.notes.lock().expect("a lock").push(line);
    }

    fn put(&self, key: &str, value: &str) -> io::Result<()> {
        let target = format!("/standin/put?key={}", http::encoded(key));
        let within = Duration::from_secs(2);
        http::call(self.store_address, "POST", &target, value.as_bytes(), within).map(drop)
    }

    /// Starts a server with an id and a port of its own.
    pub fn add_server(&mut self, zone: usize, unframed_one_in: u64) -> io::Result<()> {
        let [second, third] = base();
        let ip = Ipv4Addr::new(127, second, third, 100 + self.next_server as u8);
        let id = format!("i-{:010x}", 0x7f3a_9100 + self.next_server);
        self.next_server += 1;
        let address = SocketAddr::from((ip, free_port(ip))).to_string();
        let record = self.folder.join(format!("{id}.runs"));
        let child = Command::new(std::env::current_exe()?)
            .args(["server", &address, &id, ZONES[zone], &self.store_address.to_string()])
            .args([&unframed_one_in.to_string(), self.models])
            .arg(record)
            .stdin(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        self.note(&format!("server {id} starts in {}", ZONES[zone]));
        self.servers.push(Server { id, zone, unframed_one_in, child });
        Ok(())
    }

    /// Tells a server that it is taken away after `left`: it says `draining` with `remaining_ms`.
    pub fn give_notice(&mut self, server: usize, left: Duration) -> io::Result<()> {
        self.note(&format!(
            "server {} is given {} ms notice",
            self.servers[server].id,
            left.as_millis()
        ));
        let stdin = self.servers[server].child.stdin.as_mut();
        let stdin = stdin.ok_or_else(|| io::Error::other("no standard input"))?;
        writeln!(stdin, "{}", left.as_millis())?;
        stdin.flush()
    }

    /// The first servers that send answers without a length.
    pub fn with_unframed(&self, count: usize) -> Vec<usize> {
        let unframed =
            self.servers.iter().enumerate().filter(|(_, server)| server.unframed_one_in > 0);
        unframed.map(|(n, _)| n).take(count).collect()
    }

    /// Kills a server's process and forgets it.
    pub fn kill_server(&mut self, server: usize, why: &str) -> usize {
        let mut server = self.servers.remove(server);
        let _ = server.child.kill();
        self.note(&format!("server {} {why}", server.id));
        let _ = server.child.wait();
        server.zone
    }

    fn add_daemon(
        &mut self,
        ip: Ipv4Addr,
        seed: Ipv4Addr,
        zone: usize,
        ports: [u16; 3],
    ) -> io::Result<()> {
        let node = format!("front-{}-{}", ZONES[zone], self.daemons.len() + 1);
        let [front, readiness, members] = ports.map(|port| SocketAddr::from((ip, port)));
        let link_mbps = if ip == seed { 100.0 } else { 1_000.0 };
        let zones: Vec<String> = ZONES.iter().map(|zone| format!("{zone} = \"sul-poa\"")).collect();
        let text = format!(
            "node = \"{node}\"\nhall = \"{}\"\ncallers = \"{front}\"\nreadiness = \"{readiness}\"\n\
             members = \"{members}\"\nseeds = [\"{seed}:{}\"]\nstore = \"{}\"\nfirst_start = true\n\
             [bounds]\nretry_ratio = 0.2\nretry_slack = 54\nretry_window_s = 10\nstop_within_s = 8\n\
             order_quiet_ms = 3000\ndrain_ms = 2000\nconfig_within_ms = 2000\n\
             [limits]\ncpu_share = 0.25\nlink_mbps = {link_mbps:?}\n[regions]\n{}\n",
            ZONES[zone],
            members.port(),
            self.store_address,
            zones.join("\n")
        );
        let settings = self.folder.join(format!("{node}.toml"));
        std::fs::write(&settings, text)?;
        let log = File::create(self.folder.join(format!("{node}.log")))?;
        let child = Command::new(&self.program)
            .arg("--gateway")
            .env("PORTRACK_BOOT", &settings)
            .stdout(log)
            .spawn()?;
        self.daemons.push(Daemon { node, front, readiness, child });
        Ok(())
    }

    /// The runs that the servers have recorded.
    pub fn runs(&self) -> Vec<String> {
        let files = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let files = files.filter(|file| file.path().extension().is_some_and(|end| end == "runs"));
        let texts = files.filter_map(|file| std::fs::read_to_string(file.path()).ok());
        texts.flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>()).collect()
    }

    /// The lines that the daemons have logged about a request.
    pub fn logged(&self, id: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for daemon in &self.daemons {
            let log = self.folder.join(format!("{}.log", daemon.node));
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let about = text.lines().filter(|line| line.contains(id));
            lines.extend(about.map(|line| format!("{} {line}", daemon.node)));
        }
        lines
    }
}

/// The configuration: the route of the sheet's `rider-chat`, and the service of the servers.
fn config(models: &str) -> String {
    let models = server::models(models).into_iter().map(|(name, mb)| {
        format!(
            "{{\"name\":\"{name}\",\"weights_mb\":{mb},\"load_s\":0.6,\"adapters\":3000,\"adapter_mb\":{ADAPTER_MB}}}"
        )
    });
    let models = models.collect::<Vec<String>>().join(",");
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"rider-chat\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{PATH}\",\
         \"kind\":\"stream\",\"timeout_ms\":15000,\"target_latency_ms\":800,\"target_gap_ms\":250,\"max_attempts\":1,\
         \"priority\":2,\"session_affinity\":true,\"service\":\"{SERVICE}\"}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"max_conns\":360,\"health_path\":\"/health\",\"engine\":{{\"slots\":{SLOTS},\
         \"kv_capacity\":131025,\"weights_mb\":{ROOM_MB},\"adapter_slots\":{PLACES},\"loads_per_s\":3.3,\"stride\":2,\
         \"models\":[{models}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}

/// What a caller got.
pub struct Answer {
    pub status: u16,
    /// The events of the body.
    pub events: usize,
    /// The body has ended as a complete one does.
    pub complete: bool,
}

/// Sends one request on a connection of its own and reads the whole answer.
pub fn ask(front: SocketAddr, id: &str, model: &str, tokens_out: usize) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(16)))?;
    let body = "q".repeat(2_900);
    write!(
        stream,
        "POST {PATH}2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel: {model}\r\n\
         Token-Counts: 1460,{tokens_out}\r\nPrompt-Prefix: 5c1e07a2:210,{}:1250\r\nDeadline-Ms: 15000\r\n\
         Content-Length: {}\r\n\r\n{body}",
        &id[..8],
        body.len()
    )?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?.ok_or_else(|| io::Error::other("no answer"))?;
    let status = head.first.get(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut text = Vec::new();
    let mut complete = false;
    if head.is_chunked() {
        while let Ok(chunk) = http::read_chunk(&mut reader) {
            complete = chunk.is_empty();
            if complete {
                break;
            }
            text.extend(chunk);
        }
    } else if let Ok(body) = http::read_exactly(&mut reader, head.length()) {
        (text, complete) = (body, true);
    }
    let events = String::from_utf8_lossy(&text).matches("\n\n").count();
    Ok(Answer { status, events, complete })
}
