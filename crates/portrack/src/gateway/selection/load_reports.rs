//! In large fleets, the daemon that holds the claim on a server fetches its load, sends it to the
//! other daemons, and has adapters in high demand loaded on further servers.

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

/// Interval between load reports. Each report is one call per server: at 78 servers, 234 calls per
/// second.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum requests per second for an adapter to be considered for replicas.
const MIN_REQUEST_RATE: f64 = 2.0;

impl GatewayDaemon {
    /// Fetches and reports the loads of the servers claimed by this daemon. Never returns.
    pub(in crate::gateway) async fn report_loads(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(REPORT_INTERVAL).await;
            if !self.handler.loads_are_delayed.get() {
                continue;
            }
            let loads = self.clone().fetch_loads().await;
            if loads.is_empty() {
                continue;
            }
            self.on_loads(&loads);
            let targets = self.peers.borrow().notice_targets(self.now());
            let message = PeerMessage::Loads(loads.clone());
            targets.into_iter().for_each(|target| self.send(&message, target));
            self.request_replicas(&loads);
        }
    }

    async fn fetch_loads(self: Rc<Self>) -> Vec<ServerLoad> {
        let servers: Vec<_> = {
            let view = self.handler.view.borrow();
            let ordered = self.order_executor.claims.borrow().orderable(self.now());
            let backends = ordered.iter().filter_map(|id| view.backend(id));
            backends.map(|backend| (backend.id.clone(), backend.address)).collect()
        };
        let daemon = &self;
        let reports = servers.iter().map(|(server, address)| async move {
            let report = daemon.order_executor.fetch_load_report(server, *address).await?;
            daemon.check_incarnation(server, &report)?;
            let requests = u16::try_from(report.requests).unwrap_or(u16::MAX);
            Some(ServerLoad { server: daemon.handler.loads.incarnation_hash(server), requests })
        });
        join_all(reports).await.into_iter().flatten().collect()
    }

    /// Checks a report against the known incarnation of the server; `None` if the report is from a
    /// former incarnation.
    fn check_incarnation(self: &Rc<Self>, server: &Rc<str>, report: &ServerReport) -> Option<()> {
        match self.order_executor.reported_incarnation(server, report) {
            ReportedIncarnation::Former => return None,
            ReportedIncarnation::Newer(born) => self.on_newer_incarnation(server, born),
            ReportedIncarnation::Present => self.order_executor.check_order_count(server, report),
        }
        Some(())
    }

    /// Requests replicas, on the least loaded servers, of the adapters that need them.
    fn request_replicas(&self, loads: &[ServerLoad]) {
        let now = self.now();
        let ordered = self.order_executor.claims.borrow().orderable(now);
        let rates: HashMap<Rc<str>, Vec<(AdapterKey, f64)>> = {
            let planner = self.order_executor.planner.borrow();
            ordered.iter().map(|id| (id.clone(), planner.request_rates(now, id))).collect()
        };
        let per_second = rates.values().flatten().map(|(_, rate)| rate).sum();
        let running = loads.iter().map(|load| f64::from(load.requests)).sum();
        let run_time = mean_run_time(running, per_second);
        for (server, adapters) in rates {
            for (key, rate) in adapters.into_iter().filter(|(_, rate)| *rate >= MIN_REQUEST_RATE) {
                self.request_replicas_of(now, &server, &key, rate, run_time);
            }
        }
    }

    fn request_replicas_of(
        &self,
        now: Time,
        server: &Rc<str>,
        key: &AdapterKey,
        rate: f64,
        run_time: Duration,
    ) {
        let Some((demand, version)) = self.replica_demand(now, server, key, rate, run_time) else {
            return;
        };
        let load = self.handler.loads.work(now, server).requests;
        let relief = is_overloaded(demand.slots, load) && demand.coming == 0;
        let missing = demand.replicas_to_request().max(usize::from(relief));
        if missing == 0 {
            return;
        }
        let idle = self.idle_servers(now, server, key).into_iter();
        // Holders that share the demand choose different servers.
        for target in idle.skip(demand.index).step_by(demand.holders).take(missing) {
            log::info!(
                adapter = &*key.adapter, version = version, server = &**server,
                replica = &*target, pace = rate, holders = demand.holders, load = load;
                "replica_wanted"
            );
            // Among waiting fetches, adapters in high demand come first. Without this, an adapter
            // with 25 requests per second, 50 of them waiting, got one replica in 5 s.
            let requests = demand.per_second.round() as u16;
            self.handler.demand.request_load(
                now,
                LoadRequest { server: target, key: key.clone(), version, requests },
            );
        }
    }

    /// The demand for an adapter on a server, with the adapter's newest version. `None` if the
    /// server is not known to hold the adapter or does not accept new work. Servers with an
    /// outdated version share their demand among themselves.
    fn replica_demand(
        &self,
        now: Time,
        server: &Rc<str>,
        key: &AdapterKey,
        per_second: f64,
        run_time: Duration,
    ) -> Option<(ReplicaDemand, u64)> {
        let view = self.handler.view.borrow();
        let newest = view.newest_version(key);
        let mut all = view.adapter_locations.holders(now, key);
        all.retain(|(id, _)| view.backend(id).is_some_and(|holder| view.is_open(holder)));
        // Daemons in other regions use holders in their own region, if there are any.
        all.retain(|(id, _)| self.is_same_region(&view, id, server));
        all.sort();
        let (_, own_version) = all.iter().find(|(id, _)| id == server)?;
        let is_current = |version: &u64| *version >= newest;
        let in_same_group = |version: &u64| is_current(version) == is_current(own_version);
        let sharers: Vec<_> = all.iter().filter(|(_, version)| in_same_group(version)).collect();
        let demand = ReplicaDemand {
            per_second,
            run_time,
            prefill_time: self.handler.grants.mean_prefill_time(&view.backend(server)?.service),
            slots: view.backend(server)?.slots,
            holders: sharers.len(),
            current: all.iter().filter(|(_, version)| is_current(version)).count(),
            coming: view.adapter_locations.coming(now, key, newest),
            index: sharers.iter().position(|(id, _)| id == server)?,
        };
        Some((demand, newest))
    }

    fn is_same_region(&self, view: &FleetView, one: &str, other: &str) -> bool {
        let regions = self.handler.locality.regions();
        let region =
            |id: &str| view.backend(id).map(|backend| regions.responsible_region(&backend.hall));
        !regions.is_multi_region() || region(one) == region(other)
    }

    /// The servers of the same service that could take a replica, ordered by own region first, warm
    /// before cold, and least loaded first.
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
