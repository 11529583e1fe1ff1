//! In large fleets: the daemon that orders a server reads its load, tells the others, and has
//! adapters with much demand loaded elsewhere as well.

use super::crowding::{is_idle, is_overloaded};
use super::demand::LoadRequest;
use super::replicas::{ReplicaDemand, mean_run_time};
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::dialect::{AdapterKey, ServerReport};
use crate::gateway::fleet::message::{PeerMessage, ServerLoad};
use crate::gateway::fleet::view::FleetView;
use crate::gateway::orders::order_executor::ReportedIncarnation;
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
    pub(in crate::gateway) async fn report_loads(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(REPORT_EVERY).await;
            if !self.handler.loads_are_delayed.get() {
                continue;
            }
            let loads = self.clone().read_loads().await;
            if loads.is_empty() {
                continue;
            }
            self.on_loads(&loads);
            let targets = self.peers.borrow().notice_targets(self.now());
            let message = PeerMessage::Loads(loads.clone());
            targets.into_iter().for_each(|target| self.send(&message, target));
            self.wish_for_replicas(&loads);
        }
    }

    async fn read_loads(self: Rc<Self>) -> Vec<ServerLoad> {
        let servers: Vec<_> = {
            let view = self.handler.view.borrow();
            let ordered = self.order_executor.claims.borrow().orderable(self.now());
            let backends = ordered.iter().filter_map(|id| view.backend(id));
            backends.map(|backend| (backend.id.clone(), backend.address)).collect()
        };
        let daemon = &self;
        let reading = servers.iter().map(|(server, address)| async move {
            let report = daemon.order_executor.fetch_load_report(server, *address).await?;
            daemon.look_at_life(server, &report)?;
            let requests = u16::try_from(report.requests).unwrap_or(u16::MAX);
            Some(ServerLoad { server: daemon.handler.loads.mark(server), requests })
        });
        join_all(reading).await.into_iter().flatten().collect()
    }

    /// Takes in what a report tells of a server's life; `None` if it is of a former one.
    fn look_at_life(self: &Rc<Self>, server: &Rc<str>, report: &ServerReport) -> Option<()> {
        match self.order_executor.reported_incarnation(server, report) {
            ReportedIncarnation::Former => return None,
            ReportedIncarnation::Newer(born) => self.on_newer_incarnation(server, born),
            ReportedIncarnation::Present => self.order_executor.check_order_count(server, report),
        }
        Some(())
    }

    /// Asks for replicas of the adapters that need them, at the idlest servers.
    fn wish_for_replicas(&self, loads: &[ServerLoad]) {
        let now = self.now();
        let ordered = self.order_executor.claims.borrow().orderable(now);
        let paces: HashMap<Rc<str>, Vec<(AdapterKey, f64)>> = {
            let planner = self.order_executor.planner.borrow();
            ordered.iter().map(|id| (id.clone(), planner.request_rates(now, id))).collect()
        };
        let per_second = paces.values().flatten().map(|(_, pace)| pace).sum();
        let running = loads.iter().map(|load| f64::from(load.requests)).sum();
        let runs = mean_run_time(running, per_second);
        for (server, adapters) in paces {
            for (key, pace) in adapters.into_iter().filter(|(_, pace)| *pace >= LEAST_PACE) {
                self.replicate(now, &server, &key, pace, runs);
            }
        }
    }

    fn replicate(&self, now: Time, server: &Rc<str>, key: &AdapterKey, pace: f64, runs: Duration) {
        let Some((demand, version)) = self.replica_demand(now, server, key, pace, runs) else {
            return;
        };
        let load = self.handler.loads.work(now, server).requests;
        let relief = is_overloaded(demand.slots, load) && demand.coming == 0;
        let missing = demand.missing_here().max(usize::from(relief));
        if missing == 0 {
            return;
        }
        let idle = self.idle_servers(now, server, key).into_iter();
        // Those that share the demand take different servers.
        for target in idle.skip(demand.place).step_by(demand.holders).take(missing) {
            log::info!(
                adapter = &*key.adapter, version = version, server = &**server,
                replica = &*target, pace = pace, holders = demand.holders, load = load;
                "replica_wanted"
            );
            // Of many fetches that wait, those for adapters with much demand come first. Without it
            // an adapter with 25 requests a second, 50 of them waiting, got one replica in 5 s.
            let requests = demand.per_second.round() as u16;
            self.handler
                .demand
                .wish(now, LoadRequest { server: target, key: key.clone(), version, requests });
        }
    }

    /// The demand for an adapter at a server, with the adapter's newest version; `None` if the server
    /// is not known to hold it, or takes no new work. Servers with an older version share their demand among themselves.
    fn replica_demand(
        &self,
        now: Time,
        server: &Rc<str>,
        key: &AdapterKey,
        per_second: f64,
        runs: Duration,
    ) -> Option<(ReplicaDemand, u64)> {
        let view = self.handler.view.borrow();
        let newest = view.newest_version(key);
        let mut all = view.adapter_locations.holders(now, key);
        all.retain(|(id, _)| view.backend(id).is_some_and(|holder| view.is_open(holder)));
        // Daemons of other regions use holders of their own, if they have any.
        all.retain(|(id, _)| self.share_region(&view, id, server));
        all.sort();
        let (_, mine) = all.iter().find(|(id, _)| id == server)?;
        let is_current = |version: &u64| *version >= newest;
        let alike = |version: &u64| is_current(version) == is_current(mine);
        let sharers: Vec<_> = all.iter().filter(|(_, version)| alike(version)).collect();
        let demand = ReplicaDemand {
            per_second,
            runs,
            reads: self.handler.grants.reads(&view.backend(server)?.service),
            slots: view.backend(server)?.slots,
            holders: sharers.len(),
            current: all.iter().filter(|(_, version)| is_current(version)).count(),
            coming: view.adapter_locations.coming(now, key, newest),
            place: sharers.iter().position(|(id, _)| id == server)?,
        };
        Some((demand, newest))
    }

    fn share_region(&self, view: &FleetView, one: &str, other: &str) -> bool {
        let regions = self.handler.locality.regions();
        let region =
            |id: &str| view.backend(id).map(|backend| regions.responsible_region(&backend.hall));
        !regions.is_multi_region() || region(one) == region(other)
    }

    /// The servers of the same service that could take a replica: those of this region first, warm
    /// ones before cold ones and the idlest first.
    fn idle_servers(&self, now: Time, server: &Rc<str>, key: &AdapterKey) -> Vec<Rc<str>> {
        let view = self.handler.view.borrow();
        let Some(backend) = view.backend(server) else { return Vec::new() };
        let holders = view.adapter_locations.holders(now, key);
        let mut idle: Vec<(bool, bool, u32, Rc<str>)> = view
            .open_backends(&backend.service)
            .filter(|other| other.model(&key.model).is_some())
            .filter(|other| !holders.iter().any(|(id, _)| *id == other.id))
            .filter(|other| !view.adapter_locations.is_refused(now, key, &other.id))
            .filter(|other| !self.handler.loads.is_hall_silent(&other.hall))
            .map(|other| (self.handler.loads.work(now, &other.id).requests, other))
            .filter(|(load, other)| is_idle(other.slots, *load))
            .filter(|(_, other)| (self.handler.is_ordered)(&other.id))
            .map(|(load, other)| {
                let far = self.handler.locality.is_remote(&other.hall);
                (far, self.handler.loads.is_cold(now, &other.id), load, other.id.clone())
            })
            .collect();
        idle.sort();
        idle.into_iter().map(|(_, _, _, id)| id).collect()
    }
}
