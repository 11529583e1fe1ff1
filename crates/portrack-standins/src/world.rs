//! A test environment: the stand-ins and some daemons in one process, on one thread.

use crate::engine::{Engine, EngineConfig};
use crate::kv::KeyValue;
use crate::nodes::Nodes;
use crate::service::PlainServer;
use crate::weights::{Weights, WeightsConfig};
use portrack::audit::ChangeId;
use portrack::daemon::{Running, start};
use portrack::node::Tunables;
use portrack::settings::{AdapterSpec, Bootstrap, Change, Edit, PlainService, Rule, Store};
use portrack::settings::{TreePath, VersionSpec};
use portrack::store::Etcd;
use portrack::types::{BootClock, Clock};
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// The base model of every stand-in engine and adapter.
pub const BASE: &str = "base-7b";
/// The plain service that every world has; its path is `/docks`.
pub const SERVICE: &str = "docks";

/// What a [`World`] consists of.
#[derive(Debug, Clone)]
pub struct WorldConfig {
    /// Daemons in each hall; halls are named `a`, `b` and so on.
    pub daemons: Vec<usize>,
    /// Engines in each hall.
    pub engines: Vec<usize>,
    /// Plain servers in each hall.
    pub services: Vec<usize>,
    /// Configuration of every engine.
    pub engine: EngineConfig,
    /// Configuration of the weight store.
    pub weights: WeightsConfig,
    /// Delay until the node list shows a change.
    pub list_lag: Duration,
    /// Tunables of the daemons.
    pub tunables: Tunables,
}

impl Default for WorldConfig {
    fn default() -> Self {
        Self {
            daemons: vec![2, 1],
            engines: vec![2, 2],
            services: vec![1, 1],
            engine: EngineConfig::default(),
            weights: WeightsConfig::default(),
            list_lag: Duration::from_millis(200),
            tunables: Tunables::default(),
        }
    }
}

/// A running environment.
pub struct World {
    config: WorldConfig,
    files: PathBuf,
    /// The key-value service.
    pub kv: KeyValue,
    /// The node list.
    pub nodes: Nodes,
    /// The weight store.
    pub weights: Weights,
    /// The engines with their halls.
    pub engines: Vec<(String, Engine)>,
    /// The plain servers with their halls.
    pub services: Vec<(String, PlainServer)>,
    /// The daemons by name; `None` once [`World::take_daemon`] took one.
    pub daemons: Vec<(String, Option<Running>)>,
    next_change: Cell<u128>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn hall(at: usize) -> String {
    char::from(b'a' + u8::try_from(at).unwrap_or(0)).to_string()
}

impl World {
    /// Starts all stand-ins and daemons. `files` is a folder for the daemons' key file.
    pub async fn start(config: WorldConfig, files: PathBuf) -> std::io::Result<Self> {
        std::fs::create_dir_all(&files)?;
        std::fs::write(files.join("keys"), format!("{}\n", "5a".repeat(16)))?;
        let weights = Weights::new(config.weights);
        let mut engines = Vec::new();
        for (at, count) in config.engines.iter().enumerate() {
            for _ in 0..*count {
                let engine = Engine::start(config.engine.clone(), weights.clone()).await?;
                engines.push((hall(at), engine));
            }
        }
        let mut services = Vec::new();
        for (at, count) in config.services.iter().enumerate() {
            for _ in 0..*count {
                services.push((hall(at), PlainServer::start(loopback()).await?));
            }
        }
        let mut world = Self {
            kv: KeyValue::start(loopback()).await?,
            nodes: Nodes::start(loopback(), config.list_lag).await?,
            weights,
            engines,
            services,
            daemons: Vec::new(),
            files,
            next_change: Cell::new(1),
            config,
        };
        world.add_service(SERVICE, "/docks").await;
        for (at, count) in world.config.daemons.clone().into_iter().enumerate() {
            for number in 1..=count {
                world.add_daemon(&hall(at), &format!("{}{number}", hall(at))).await;
            }
        }
        world.publish(&[]);
        Ok(world)
    }

    /// Starts one more daemon.
    pub async fn add_daemon(&mut self, hall: &str, name: &str) {
        let text = self.bootstrap_text(hall, name, None);
        let file = self.files.join(format!("{name}.toml"));
        let bootstrap = Bootstrap::parse(&file, &text).expect("the bootstrap settings are valid");
        let clock: Rc<dyn Clock> = Rc::new(BootClock);
        let running = start(bootstrap, clock, self.config.tunables.clone()).await;
        let running = running.expect("the daemon starts on loopback");
        self.daemons.push((name.to_owned(), Some(running)));
    }

    /// The bootstrap settings of a daemon; `callers` fixes the address that callers connect to.
    pub fn bootstrap_text(&self, hall: &str, name: &str, callers: Option<SocketAddr>) -> String {
        let callers = callers.unwrap_or_else(loopback);
        let keys = self.files.join("keys");
        format!(
            "cluster = \"world\"\nnode = \"{name}\"\nhall = \"{hall}\"\nregion = \"r1\"\n\
             callers = \"{callers}\"\noperators = \"127.0.0.1:0\"\nmembers = \"127.0.0.1:0\"\n\
             key_file = {keys:?}\n\n[platform]\nkey_value = \"{}\"\nnode_list = \"{}\"\n\
             node_list_ms = 200\n",
            self.kv.url(),
            self.nodes.url()
        )
    }

    /// Publishes the node list with the running daemons; `leaving` names servers that are leaving.
    pub fn publish(&self, leaving: &[&str]) {
        let running = self.daemons.iter().filter_map(|(name, d)| Some((name, d.as_ref()?)));
        let list: Vec<_> = running.map(|(name, d)| (name.as_str(), d.members())).collect();
        let daemons = daemon_list(&list);
        self.nodes.set(json!({ "servers": self.server_list(leaving), "daemons": daemons }));
    }

    /// Publishes the node list with daemons that run as separate processes.
    pub fn publish_daemons(&self, daemons: &[(&str, SocketAddr)]) {
        let daemons = daemon_list(daemons);
        self.nodes.set(json!({ "servers": self.server_list(&[]), "daemons": daemons }));
    }

    fn server_list(&self, leaving: &[&str]) -> Vec<Value> {
        let mut servers = Vec::new();
        for (at, (hall, engine)) in self.engines.iter().enumerate() {
            let name = format!("e{at}");
            servers.push(json!({
                "name": name, "hall": hall, "region": "r1", "address": engine.url(),
                "class": "gen1", "leaving": leaving.contains(&name.as_str()),
                "kind": "engine", "base": BASE,
                "checks_fence": self.config.engine.checks_fence,
            }));
        }
        for (at, (hall, service)) in self.services.iter().enumerate() {
            let name = format!("s{at}");
            servers.push(json!({
                "name": name, "hall": hall, "region": "r1", "address": service.url(),
                "leaving": leaving.contains(&name.as_str()),
                "kind": "service", "service": SERVICE,
            }));
        }
        servers
    }

    /// Changes the settings as an operator would. Returns the revision of the change.
    pub async fn change(&self, edit: Edit) -> u64 {
        let store = Store::new(Rc::new(Etcd::new(self.kv.url())), "portrack/");
        let id = ChangeId(self.next_change.get());
        self.next_change.set(id.0 + 1);
        let change = Change { id, why: "world".into(), expected: None, edit };
        let accepted = store.accept("world", 0, &change).await;
        accepted.expect("the stand-in accepts valid changes").revision
    }

    /// Adds a plain service.
    pub async fn add_service(&self, name: &str, path: &str) {
        let name = name.parse().expect("a valid name");
        let repeatable = vec!["GET".to_owned()];
        let spec = Some(PlainService { path: path.into(), repeatable });
        self.change(Edit::Service { name, spec }).await;
    }

    /// Sets a key at the root of the settings tree, and returns the revision.
    pub async fn set(&self, key: &str, value: u64) -> u64 {
        let (path, key) = (TreePath::fleet(), key.to_owned());
        self.change(Edit::Set { path, key, value: Some(value) }).await
    }

    /// Adds an adapter with one version that serves all requests.
    pub async fn add_adapter(&self, name: &str, version: &str) -> u64 {
        let spec = Some(adapter(name, &[version]));
        let name = name.parse().expect("a valid name");
        self.change(Edit::Adapter { name, spec }).await
    }

    /// The running daemon of this name.
    pub fn daemon(&self, name: &str) -> &Running {
        let found = self.daemons.iter().find(|(n, _)| n == name);
        found.and_then(|(_, daemon)| daemon.as_ref()).expect("the daemon runs")
    }

    /// Takes a daemon out of the world, so that it can be stopped or halted.
    pub fn take_daemon(&mut self, name: &str) -> Running {
        let found = self.daemons.iter_mut().find(|(n, _)| n == name);
        found.and_then(|(_, daemon)| daemon.take()).expect("the daemon runs")
    }

    /// Waits up to 30 s until every daemon has these settings and every engine has a serving owner.
    pub async fn settled(&self, revision: u64) -> bool {
        for _ in 0..600 {
            if self.is_settled(revision) {
                return true;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    fn is_settled(&self, revision: u64) -> bool {
        let running: Vec<&Running> = self.daemons.iter().filter_map(|(_, d)| d.as_ref()).collect();
        let statuses: Vec<_> = running.iter().map(|daemon| daemon.status()).collect();
        let up_to_date = statuses.iter().all(|s| s.revision >= revision && s.ready);
        let peers_alive = statuses.iter().all(|s| {
            let alive = s.members.iter().filter(|m| m.health == "alive").count();
            alive + 1 >= statuses.len()
        });
        let owned: usize =
            statuses.iter().map(|s| s.owned.iter().filter(|o| o.serving).count()).sum();
        up_to_date && peers_alive && owned == self.engines.len()
    }
}

/// An adapter whose first version serves all requests that name no version; the others serve
/// only requests that name them.
pub fn adapter(name: &str, versions: &[&str]) -> AdapterSpec {
    let weights = |version: &str| VersionSpec { weights: format!("store://{name}/{version}") };
    let parse = |version: &str| version.parse().expect("a valid version");
    let rules = versions.iter().enumerate().map(|(at, version)| Rule {
        version: parse(version),
        share: if at == 0 { 100 } else { 0 },
        service: None,
        hall: None,
        class: None,
    });
    AdapterSpec {
        base: BASE.parse().expect("a valid name"),
        versions: versions.iter().map(|v| (parse(v), weights(v))).collect(),
        rules: rules.collect(),
    }
}

/// The daemons' entries of the node list; the first letter of a name is its hall.
fn daemon_list(daemons: &[(&str, SocketAddr)]) -> Vec<Value> {
    let list = daemons.iter().map(|(name, address)| {
        json!({ "node": name, "hall": &name[..1], "region": "r1", "address": address.to_string() })
    });
    list.collect()
}
