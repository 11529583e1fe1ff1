//! The cost of a request at a cold server.

use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::view::FleetView;
use crate::types::Time;

/// Fixed cost of a cold server, in queued requests, so that of two equally idle servers the warm
/// one is selected.
const COLD_PENALTY: f64 = 4.0;

/// A server that is slow after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdServer {
    /// When the server is assumed to be warm.
    pub until: Time,
    /// The weight of a request there relative to a warm server.
    pub weight: f64,
}

impl ColdServer {
    /// Creates a cold server that handles `slots` concurrent requests when warm and `per_second`
    /// requests a second while cold.
    pub fn new(until: Time, slots: usize, per_second: f64) -> Self {
        let weight = slots as f64 / per_second.max(1.0);
        Self { until, weight: weight.max(1.0) }
    }

    /// Returns the additional cost of a request at a server with this many requests.
    pub fn cost(&self, now: Time, requests: u32) -> f64 {
        match now < self.until {
            true => COLD_PENALTY + f64::from(requests) * (self.weight - 1.0),
            false => 0.0,
        }
    }
}

impl GatewayDaemon {
    /// Updates which servers are assumed to be cold.
    pub(in crate::gateway) fn update_cold_servers(&self, now: Time) {
        let view = self.handler.view.borrow();
        let cold = view.backends().filter_map(|backend| {
            Some((backend.id.clone(), self.cold_server(now, &view, backend)?))
        });
        self.handler.loads.set_cold(cold.collect());
    }

    /// Returns the cold state of a server; `None` if it is assumed to be warm.
    pub(in crate::gateway) fn cold_server(
        &self,
        now: Time,
        view: &FleetView,
        backend: &Backend,
    ) -> Option<ColdServer> {
        let start = view.service(&backend.service)?.cold.as_ref()?;
        let until = self.handler.coldness.borrow().cold_until(now, &backend.id, start);
        (now < until).then(|| ColdServer::new(until, backend.slots, start.per_second))
    }
}
