//! In large fleets: the daemon that orders a server reads its load, tells the others, and has
//! adapters with much demand loaded elsewhere as well.

use super::crowding::{is_idle, is_overloaded};
use super::daemon::GatewayDaemon;
use super::demand::Wish;
use super::dialect::AdapterKey;
use super::load::server_mark;
use super::message::{PeerMessage, ServerLoad};
use super::replicas::{ReplicaDemand, run_time};
use crate::types::Time;
use futures_util::future::join_all;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Between readings of the loads. A reading is a call to each server; at 78 servers 234 a second.
const REPORT_EVERY: Duration = Duration::from_millis(300);
/// Requests a second of an adapter for which replicas are considered.
const LEAST_PACE: f64 = 2.0;

impl GatewayDaemon {
    /// Reads the loads of the servers that this daemon orders, for ever.
    pub(super) async fn report_loads(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(REPORT_EVERY).await;
            if !self.path.loads_lag.get() {
                continue;
            }
            let loads = self.read_loads().await;
            if loads.is_empty() {
                continue;
            }
            self.on_loads(&loads);
            let targets = self.peers.borrow().notice_targets(self.now());
            let message = PeerMessage::Loads(loads.clone());
            targets.into_iter().for_each(|target| self.tell(&message, target));
            self.wish_for_replicas(&loads);
        }
    }

    async fn read_loads(&self) -> Vec<ServerLoad> {
        let servers: Vec<_> = {
            let view = self.path.view.borrow();
            let ordered = self.ordering.claims.borrow().orderable(self.now());
            let backends = ordered.iter().filter_map(|id| view.backend(id));
            backends.map(|backend| (backend.id.clone(), backend.address)).collect()
        };
        let reading = servers.iter().map(|(server, address)| async move {
            let report = self.ordering.load_of(server, *address).await?;
            let requests = u16::try_from(report.requests).unwrap_or(u16::MAX);
            Some(ServerLoad { server: server_mark(server), requests })
        });
        join_all(reading).await.into_iter().flatten().collect()
    }

    /// Asks for replicas of the adapters that need them, at the idlest servers.
    fn wish_for_replicas(&self, loads: &[ServerLoad]) {
        let now = self.now();
        let ordered = self.ordering.claims.borrow().orderable(now);
        let paces: HashMap<Rc<str>, Vec<(AdapterKey, f64)>> = {
            let planner = self.ordering.planner.borrow();
            ordered.iter().map(|id| (id.clone(), planner.paces(now, id))).collect()
        };
        let per_second = paces.values().flatten().map(|(_, pace)| pace).sum();
        let running = loads.iter().map(|load| f64::from(load.requests)).sum();
        let runs = run_time(running, per_second);
        for (server, adapters) in paces {
            for (key, pace) in adapters.into_iter().filter(|(_, pace)| *pace >= LEAST_PACE) {
                self.replicate(now, &server, &key, pace, runs);
            }
        }
    }

    fn replicate(&self, now: Time, server: &Rc<str>, key: &AdapterKey, pace: f64, runs: Duration) {
        let view = self.path.view.borrow();
        let Some(backend) = view.backend(server) else { return };
        let version = view.named_version(key).map_or(1, |named| named.version);
        let all = view.holdings.holders(now, key);
        let Some((_, mine)) = all.iter().find(|(id, _)| id == server) else { return };
        let outdated = *mine < version;
        let mut sharers: Vec<&Rc<str>> = all
            .iter()
            .filter(|(_, held)| (*held < version) == outdated)
            .map(|(id, _)| id)
            .collect();
        sharers.sort();
        let newest = all.iter().filter(|(_, held)| *held >= version).count();
        let coming = view.holdings.coming(now, key, version);
        let place = sharers.iter().position(|id| *id == server).unwrap_or_default();
        let (holders, slots) = (sharers.len(), backend.slots);
        let there = newest + coming;
        let demand = ReplicaDemand { per_second: pace, runs, slots, holders, there, place };
        let load = self.path.loads.work(now, server).requests;
        let relief = is_overloaded(slots, load) && coming == 0;
        let missing = demand.missing_here().max(usize::from(relief));
        let mut idle: Vec<(u32, Rc<str>)> = view
            .open_backends(&backend.service)
            .filter(|other| other.model(&key.model).is_some())
            .filter(|other| !all.iter().any(|(id, _)| *id == other.id))
            .filter(|other| !view.holdings.is_refused(now, key, &other.id))
            .map(|other| (self.path.loads.work(now, &other.id).requests, other))
            .filter(|(load, other)| is_idle(other.slots, *load))
            .filter(|(_, other)| missing > 0 && (self.path.is_ordered)(&other.id))
            .map(|(load, other)| (load, other.id.clone()))
            .collect();
        drop(view);
        idle.sort();
        for (_, target) in idle.into_iter().skip(place).step_by(holders).take(missing) {
            log::info!(
                adapter = &*key.adapter, version = version, server = &**server,
                replica = &*target, pace = pace, holders = holders, load = load;
                "replica_wanted"
            );
            let wish = Wish { server: target, key: key.clone(), version, requests: 0 };
            self.path.demand.wish(now, wish);
        }
    }
}
