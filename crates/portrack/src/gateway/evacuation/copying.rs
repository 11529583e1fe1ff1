//! Has adapters that only an evacuated data hall holds loaded elsewhere, most used first.

use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::dialect::AdapterKey;
use crate::gateway::fleet::view::FleetView;
use crate::types::Time;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks: several within the roughly two seconds until a hall closes, since a
/// load request may be refused or lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Adapters with fewer requests a second are not copied but loaded on demand. Otherwise most
/// fetches from the weight store and most adapter slots elsewhere would go to adapters that are
/// hardly used.
const MIN_REQUEST_RATE: f64 = 0.05;

impl GatewayDaemon {
    /// Task that handles evacuated halls.
    pub(in crate::gateway) async fn run_evacuations(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(CHECK_INTERVAL).await;
            let now = self.now();
            self.update_evacuated(now);
            self.update_cold_servers(now);
            for (service, key, rate) in self.held_only_in_closing_halls(now) {
                // With 0, it would rank behind adapters that are not used at all.
                let requests = (rate.round() as u16).max(1);
                if self.handler.request_load(&service, &key, requests) {
                    self.metrics.evacuation_copies.inc();
                }
            }
        }
    }

    /// Returns the adapters in use that only servers of closing halls hold, most used first, at the
    /// servers that this daemon orders.
    fn held_only_in_closing_halls(&self, now: Time) -> Vec<(Rc<str>, AdapterKey, f64)> {
        let view = self.handler.view.borrow();
        if view.evacuated.all().next().is_none() {
            return Vec::new();
        }
        let ordered = self.order_executor.claims.borrow().orderable(now);
        let planner = self.order_executor.planner.borrow();
        let backends = ordered.iter().filter_map(|id| view.backend(id));
        let closing = backends.filter(|backend| view.is_closing(now, backend));
        let held = closing.flat_map(|backend| {
            let rates = planner.request_rates(now, &backend.id).into_iter();
            rates.map(|(key, rate)| (backend.service.clone(), key, rate))
        });
        let used = held.filter(|(_, _, rate)| *rate >= MIN_REQUEST_RATE);
        let mut missing: Vec<_> =
            used.filter(|(_, key, _)| !self.is_held_elsewhere(now, &view, key)).collect();
        missing.sort_by(|(_, _, a), (_, _, b)| b.total_cmp(a));
        missing
    }

    /// Returns true if a reachable server that accepts new work holds the adapter.
    fn is_held_elsewhere(&self, now: Time, view: &FleetView, key: &AdapterKey) -> bool {
        let holders = view.adapter_locations.holders(now, key).into_iter();
        let mut holders = holders.filter_map(|(id, _)| view.backend(&id));
        let silent = |hall: &str| self.handler.loads.is_hall_silent(hall);
        holders.any(|holder| view.is_open(holder) && !silent(&holder.hall))
    }
}
