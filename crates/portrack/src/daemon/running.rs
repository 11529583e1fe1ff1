//! Starts and stops a daemon.

use super::core::{Core, CoreDeps};
use super::error::{KeysSnafu, ListenSnafu, StartError};
use super::peers::Link;
use super::status::StatusReport;
use super::{callers, leases, operators};
use crate::http::{Limits, serve};
use crate::membership::Peer;
use crate::node::{Input, Node, Tunables};
use crate::settings::{Bootstrap, Operators, SettingsError};
use crate::store::NodeListClient;
use crate::types::Clock;
use crate::wire::KeyRing;
use actix_rt::net::{TcpListener, UdpSocket};
use actix_rt::task::JoinHandle;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval between ticks of the node.
const TICK: Duration = Duration::from_millis(50);
/// Interval between reads of the key file.
const KEYS_EVERY: Duration = Duration::from_secs(5);
/// Interval between samples of processor time and memory.
const SAMPLE_EVERY: Duration = Duration::from_secs(5);
/// Delay after the start before this node reports ready.
const READY_AFTER: Duration = Duration::from_millis(500);
/// A stopping node accepts new requests for this long, until the load balancer has noticed.
const STOP_GRACE: Duration = Duration::from_secs(3);
/// Interval between checks of the requests in flight while stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A running daemon. It must stay on the thread that started it.
pub struct Running {
    core: Rc<Core>,
    callers: SocketAddr,
    operators: SocketAddr,
    members: SocketAddr,
    listeners: Vec<JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts a daemon with the given settings, clock and default parameters.
pub async fn start(
    bootstrap: Bootstrap,
    clock: Rc<dyn Clock>,
    base: Tunables,
) -> Result<Running, StartError> {
    let ring = read_keys(&bootstrap.key_file)?;
    let operators = match &bootstrap.token_file {
        Some(file) => Operators::read(file)?,
        None => Operators::anybody(),
    };
    let callers_listener = listen(bootstrap.callers).await?;
    let operators_listener = listen(bootstrap.operators).await?;
    let members_listener = listen(bootstrap.members).await?;
    let members = local(&members_listener, bootstrap.members);
    let socket = UdpSocket::bind(members).await.context(ListenSnafu { address: members })?;
    let link = Link::new(socket, ring, &bootstrap.cluster);
    let node = new_node(&bootstrap, members, &base, clock.as_ref());
    let addresses = (
        local(&callers_listener, bootstrap.callers),
        local(&operators_listener, bootstrap.operators),
    );
    let core = Core::new(CoreDeps { bootstrap, clock, node, base, link, operators });
    log::info!(
        node = core.bootstrap.node.as_str(), hall = core.bootstrap.hall.as_str(),
        callers:% = addresses.0, operators:% = addresses.1, members:% = members;
        "daemon-started"
    );
    let answer = core.clone();
    let callers_task = serve(callers_listener, Limits::default(), move |request| {
        callers::answer(answer.clone(), request)
    });
    let answer = core.clone();
    let operators_task = serve(operators_listener, operators::limits(), move |request| {
        operators::answer(answer.clone(), request)
    });
    let tasks = background(&core, members_listener);
    Ok(Running {
        core,
        callers: addresses.0,
        operators: addresses.1,
        members,
        listeners: vec![actix_rt::spawn(callers_task), actix_rt::spawn(operators_task)],
        tasks,
    })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn local(listener: &TcpListener, wanted: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(wanted)
}

fn read_keys(file: &Path) -> Result<KeyRing, StartError> {
    let read = std::fs::read_to_string(file);
    let text = read.map_err(|source| SettingsError::Read { file: file.to_owned(), source })?;
    KeyRing::parse(&text).context(KeysSnafu { file })
}

/// The incarnation is the wall clock in milliseconds, since a node without a disk cannot store a
/// counter.
fn new_node(
    bootstrap: &Bootstrap,
    members: SocketAddr,
    base: &Tunables,
    clock: &dyn Clock,
) -> Node {
    let me = Peer {
        node: bootstrap.node.clone(),
        hall: bootstrap.hall.clone(),
        region: bootstrap.region.clone(),
        address: members,
    };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
    let now = clock.now();
    let mut node = Node::new(me, incarnation, base.clone(), rand::random(), now);
    let peers = bootstrap.peers.iter().cloned().map(Peer::from).collect();
    node.on(now, Input::Peers(peers));
    node
}

fn background(core: &Rc<Core>, members: TcpListener) -> Vec<JoinHandle<()>> {
    vec![
        actix_rt::spawn(core.clone().receive()),
        actix_rt::spawn(core.clone().serve_fetches(members)),
        actix_rt::spawn(core.clone().watch_settings()),
        actix_rt::spawn(core.clone().follow_members()),
        actix_rt::spawn(tick(core.clone())),
        actix_rt::spawn(follow_nodes(core.clone())),
        actix_rt::spawn(follow_keys(core.clone())),
        actix_rt::spawn(renew_leases(core.clone())),
        actix_rt::spawn(sample(core.clone())),
    ]
}

async fn tick(core: Rc<Core>) {
    let began = core.now();
    loop {
        actix_rt::time::sleep(TICK).await;
        core.feed(Input::Tick);
        if !core.ready.get() && core.now().since(began) >= READY_AFTER {
            core.ready.set(true);
        }
    }
}

async fn follow_nodes(core: Rc<Core>) {
    let client = NodeListClient::recording(
        core.bootstrap.platform.node_list.clone(),
        core.malformed.clone(),
    );
    loop {
        match client.fetch().await {
            Ok(list) => {
                core.feed(Input::Listed(list.peers()));
                core.feed(Input::Servers(list.servers));
            }
            Err(error) => log::debug!(error:% = error; "node-list-away"),
        }
        actix_rt::time::sleep(core.bootstrap.platform.node_list_every()).await;
    }
}

/// Reloads changed keys without a restart. If the file is invalid, the old keys stay in use.
async fn follow_keys(core: Rc<Core>) {
    loop {
        actix_rt::time::sleep(KEYS_EVERY).await;
        match read_keys(&core.bootstrap.key_file) {
            Ok(ring) => core.link.set_ring(ring),
            Err(error) => log::error!(error:% = error; "keys-not-read"),
        }
    }
}

async fn renew_leases(core: Rc<Core>) {
    loop {
        actix_rt::time::sleep(leases::RENEW_INTERVAL).await;
        core.leases.renew(core.clock.as_ref()).await;
    }
}

async fn sample(core: Rc<Core>) {
    loop {
        core.sample();
        core.report_settings();
        actix_rt::time::sleep(SAMPLE_EVERY).await;
    }
}

impl Core {
    /// Updates the sampled metrics.
    pub(super) fn sample(&self) {
        let metrics = &self.metrics;
        let whole = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        metrics.kv_calls.set(whole(self.etcd.calls()));
        metrics.in_flight.set(whole(self.in_flight.count() as u64));
        metrics.engines_owned.set(whole(self.node.borrow().owners().count() as u64));
        let cpu = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
        metrics.process_cpu.set(cpu.tv_sec * 1_000_000 + cpu.tv_nsec / 1_000);
        metrics.resident.set(whole(resident_bytes()));
    }

    /// Begins the planned stop: hands over the engines and reports not ready.
    pub(super) fn leave(self: &Rc<Self>) {
        if self.leaving.replace(true) {
            return;
        }
        log::info!(node = self.bootstrap.node.as_str(); "leaving");
        self.feed(Input::Leave);
        let core = self.clone();
        actix_rt::spawn(async move { core.leases.revoke().await });
    }
}

/// Resident memory from `/proc`, or zero without `/proc`.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * rustix::param::page_size() as u64
}

impl Running {
    /// Address of the listener for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Address of the listener for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Address for other daemons.
    pub fn members(&self) -> SocketAddr {
        self.members
    }

    /// The report that `portrack status` shows.
    pub fn status(&self) -> StatusReport {
        self.core.status()
    }

    /// Resolves once a planned stop is requested on the operators' listener.
    pub async fn drain_requested(&self) {
        while !self.core.leaving.get() {
            actix_rt::time::sleep(STOP_CHECK_INTERVAL).await;
        }
    }

    /// Performs the planned stop: accepts requests until the load balancer has noticed, then waits
    /// for the requests in flight. Returns how many still ran when the drain time ended.
    pub async fn stop(self) -> usize {
        self.core.leave();
        actix_rt::time::sleep(STOP_GRACE).await;
        let until = self.core.now() + self.core.effective(None).drain();
        let [callers, operators] = [0, 1].map(|at| &self.listeners[at]);
        callers.abort();
        // Callers on kept connections may still send requests.
        self.core.stop_ends_at.set(Some(until));
        while self.core.in_flight.count() > 0 && self.core.now() < until {
            actix_rt::time::sleep(STOP_CHECK_INTERVAL).await;
        }
        let left = self.core.in_flight.count();
        operators.abort();
        self.halt();
        log::info!(left = left; "daemon-stopped");
        left
    }

    /// Aborts all tasks at once, as in a crash.
    pub fn halt(&self) {
        for task in self.listeners.iter().chain(&self.tasks) {
            task.abort();
        }
    }
}
