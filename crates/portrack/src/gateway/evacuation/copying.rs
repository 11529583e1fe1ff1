//! Has adapters that only an evacuated data hall holds copied elsewhere, hottest first.

use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::dialect::AdapterKey;
use crate::gateway::fleet::view::FleetView;
use crate::types::Time;
use std::rc::Rc;
use std::time::Duration;

/// Between looks at what is to be copied: a few times in the two seconds or so of leaving, since a
/// wish may be refused or lost.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// An adapter with fewer requests a second is loaded when it is asked for: most of the store's fetches
/// and of the places elsewhere would go to what nobody misses.
const LEAST_PACE: f64 = 0.05;

impl GatewayDaemon {
    /// Sees to evacuated halls, for ever.
    pub(in crate::gateway) async fn run_evacuations(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(LOOK_EVERY).await;
            let now = self.now();
            self.look_at_evacuated(now);
            self.look_at_cold(now);
            for (service, key, pace) in self.held_only_in_closing_halls(now) {
                // At least one, or it would come after what nobody uses.
                let requests = (pace.round() as u16).max(1);
                if self.handler.request_load(&service, &key, requests) {
                    self.metrics.evacuation_copies.inc();
                }
            }
        }
    }

    /// The adapters in use that only servers of halls which are being left hold, the hottest first, of
    /// the servers that this daemon orders.
    fn held_only_in_closing_halls(&self, now: Time) -> Vec<(Rc<str>, AdapterKey, f64)> {
        let view = self.handler.view.borrow();
        if view.evacuated.all().next().is_none() {
            return Vec::new();
        }
        let ordered = self.order_executor.claims.borrow().orderable(now);
        let planner = self.order_executor.planner.borrow();
        let backends = ordered.iter().filter_map(|id| view.backend(id));
        let leaving = backends.filter(|backend| view.is_closing(now, backend));
        let held = leaving.flat_map(|backend| {
            let paces = planner.request_rates(now, &backend.id).into_iter();
            paces.map(|(key, pace)| (backend.service.clone(), key, pace))
        });
        let used = held.filter(|(_, _, pace)| *pace >= LEAST_PACE);
        let mut missing: Vec<_> =
            used.filter(|(_, key, _)| !self.is_held_elsewhere(now, &view, key)).collect();
        missing.sort_by(|(_, _, a), (_, _, b)| b.total_cmp(a));
        missing
    }

    /// True if a server that takes new work and can be reached holds an adapter.
    fn is_held_elsewhere(&self, now: Time, view: &FleetView, key: &AdapterKey) -> bool {
        let holders = view.adapter_locations.holders(now, key).into_iter();
        let mut holders = holders.filter_map(|(id, _)| view.backend(&id));
        let silent = |hall: &str| self.handler.loads.is_hall_silent(hall);
        holders.any(|holder| view.is_open(holder) && !silent(&holder.hall))
    }
}
