//! The gateway's own planner and homes.

use super::Policy;
use super::baseline::server_name;
use super::servers::{PLACES, SERVERS, SLOTS, Servers};
use super::trace::Request;
use portrack::Time;
use portrack::gateway::{
    AdapterKey, Backend, EngineSpec, FleetConfig, HeldModel, LoadTarget, ModelSpec, Plan,
    PlanOutcome, PlannedLoad, Planner, ServerReport, Service, choose_load_target,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Daemons of the fleet.
const DAEMONS: usize = 7;
const MODEL: &str = "m";
const SERVICE: &str = "llm";
/// All uses are told in the name of one daemon.
const ANY_DAEMON: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// What runs is told this often.
const USES_TOLD_MS: u64 = 600;
/// A wish is told again after this.
const WISH_AGAIN_MS: u64 = 400;

/// The planners of daemons that order the servers in even shares.
pub struct Gateway {
    planners: Vec<Planner>,
    servers: Vec<Rc<str>>,
    running: Vec<(u64, u64, Plan)>,
    /// Servers and adapters in use when that was last told.
    told: BTreeSet<(usize, usize)>,
    wished: BTreeMap<usize, u64>,
}

fn key(adapter: usize) -> AdapterKey {
    AdapterKey { model: MODEL.into(), adapter: format!("a{adapter}").as_str().into() }
}

fn number(key: &AdapterKey) -> usize {
    key.adapter[1..].parse().unwrap_or_default()
}

fn config() -> Rc<FleetConfig> {
    let model = ModelSpec {
        name: MODEL.into(),
        weights_mb: 42_700.0,
        load_time: Duration::from_millis(600),
        adapters: 3_000,
        adapter_mb: 66.0,
    };
    let engine = EngineSpec {
        slots: SLOTS,
        memory_tokens: 131_025,
        weights_mb: 45_000.0,
        adapter_slots: PLACES,
        loads_per_second: 3.3,
        event_tokens: 2,
        models: vec![model],
    };
    let service = Service {
        name: SERVICE.into(),
        max_connections: 360,
        engine: Some(engine),
        cold: None,
        health_path: String::new(),
    };
    let services = BTreeMap::from([(service.name.clone(), Rc::new(service))]);
    Rc::new(FleetConfig { version: 1, services, ..FleetConfig::default() })
}

impl Default for Gateway {
    fn default() -> Self {
        let mut planners: Vec<Planner> = (0..DAEMONS).map(|_| Planner::default()).collect();
        planners.iter_mut().for_each(|planner| planner.set_config(Time(0), config()));
        let servers: Vec<Rc<str>> =
            (0..SERVERS).map(|server| server_name(server).as_str().into()).collect();
        for (n, id) in servers.iter().enumerate() {
            let planner = &mut planners[n % DAEMONS];
            planner.update_server(Time(0), &backend(id));
            let report = ServerReport { models: vec![MODEL.into()], ..ServerReport::default() };
            planner.reported(Time(0), id, &report);
        }
        Self {
            planners,
            servers,
            running: Vec::new(),
            told: BTreeSet::new(),
            wished: BTreeMap::new(),
        }
    }
}

fn backend(id: &Rc<str>) -> Backend {
    Backend {
        id: id.clone(),
        service: SERVICE.into(),
        address: ([10, 0, 0, 1], 80).into(),
        hall: "a".into(),
        software: "v1".into(),
        slots: SLOTS,
        draining: false,
        leaves_in: None,
        born: None,
        cold_for: Duration::ZERO,
        orders_taken: 0,
        reports_models: true,
        models: vec![HeldModel { name: MODEL.into(), adapters: Vec::new() }],
    }
}

impl Gateway {
    fn index(&self, id: &str) -> usize {
        self.servers.iter().position(|server| &**server == id).unwrap_or_default()
    }

    fn end_loads(&mut self, now: u64) {
        let (over, on): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|(until, ..)| *until <= now);
        self.running = on;
        for (_, took, plan) in over {
            let took = Some(Duration::from_millis(took));
            let daemon = self.index(&plan.server) % DAEMONS;
            self.planners[daemon].ended(Time(now), &plan, PlanOutcome::Done, took);
        }
    }

    /// Tells the planners what ceased to be used, and now and then what still is.
    fn tell_uses(&mut self, now: u64, servers: &Servers) {
        let in_use: BTreeSet<(usize, usize)> = servers.in_use().collect();
        let ended = self.told.difference(&in_use).map(|place| (*place, false));
        let told_again = now.is_multiple_of(USES_TOLD_MS);
        let runs = in_use.iter().filter(|_| told_again).map(|place| (*place, true));
        for ((server, adapter), running) in ended.chain(runs) {
            let planner = &mut self.planners[server % DAEMONS];
            let id = &self.servers[server];
            planner.set_running(Time(now), id, &key(adapter), ANY_DAEMON, running);
        }
        self.told = in_use;
    }

    fn begin_loads(&mut self, now: u64, daemon: usize, servers: &mut Servers) {
        let orderable: Vec<Rc<str>> =
            self.servers.iter().skip(daemon).step_by(DAEMONS).cloned().collect();
        let (plans, _) = self.planners[daemon].plan(Time(now), &orderable);
        for plan in plans {
            let PlannedLoad::Adapter(key, _) = &plan.load else { continue };
            let server = self.index(&plan.server);
            if let Some(victim) = &plan.evict {
                if !servers.evict(server, number(victim)) {
                    self.planners[daemon].ended(Time(now), &plan, PlanOutcome::InUse, None);
                    continue;
                }
                self.planners[daemon].evicted(&plan.server, victim);
            }
            let took = servers.load(now, server, number(key));
            self.running.push((now + took, took, plan));
        }
    }
}

impl Policy for Gateway {
    fn name(&self) -> &'static str {
        "portrack's gateway"
    }

    fn missed(&mut self, now: u64, request: &Request, servers: &Servers) {
        let last = self.wished.insert(request.adapter, now);
        if let Some(last) = last.filter(|last| now < last + WISH_AGAIN_MS) {
            self.wished.insert(request.adapter, last);
            return;
        }
        let homes: Vec<LoadTarget> = self
            .servers
            .iter()
            .enumerate()
            .map(|(n, id)| LoadTarget {
                server: id.clone(),
                slots: SLOTS,
                cost: servers.running(n) as f64,
                is_cached: false,
                is_near: true,
            })
            .collect();
        if let Some(server) = choose_load_target(&key(request.adapter), &homes) {
            let daemon = self.index(&server) % DAEMONS;
            self.planners[daemon].request_load(Time(now), &server, &key(request.adapter), 1, 1);
        }
    }

    fn used(&mut self, now: u64, server: usize, request: &Request) {
        let id = self.servers[server].clone();
        let planner = &mut self.planners[server % DAEMONS];
        planner.record_use(Time(now), &id, &key(request.adapter), 1);
        planner.set_running(Time(now), &id, &key(request.adapter), ANY_DAEMON, true);
    }

    fn step(&mut self, now: u64, servers: &mut Servers) {
        self.end_loads(now);
        self.tell_uses(now, servers);
        for daemon in 0..DAEMONS {
            self.begin_loads(now, daemon, servers);
        }
    }
}
