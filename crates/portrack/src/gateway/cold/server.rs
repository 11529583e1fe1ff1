//! What a cold server costs a request.

use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::view::FleetView;
use crate::types::Time;

/// What a cold server costs, in requests waiting, so that of two that are as idle the warm one is taken.
const COLD: f64 = 4.0;

/// A server that is slow from its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdServer {
    /// It has to be taken for cold until then.
    pub until: Time,
    /// How many times more a request weighs there than at a warm one.
    pub weight: f64,
}

impl ColdServer {
    /// A cold server that takes so many requests at once when warm, and bears so many a second now.
    pub fn new(until: Time, slots: usize, per_second: f64) -> Self {
        let weight = slots as f64 / per_second.max(1.0);
        Self { until, weight: weight.max(1.0) }
    }

    /// What a request costs there besides its load of so many requests.
    pub fn cost(&self, now: Time, requests: u32) -> f64 {
        match now < self.until {
            true => COLD + f64::from(requests) * (self.weight - 1.0),
            false => 0.0,
        }
    }
}

impl GatewayDaemon {
    /// Takes in anew which servers have to be taken for cold.
    pub(in crate::gateway) fn look_at_cold(&self, now: Time) {
        let view = self.handler.view.borrow();
        let cold = view.backends().filter_map(|backend| {
            Some((backend.id.clone(), self.cold_server(now, &view, backend)?))
        });
        self.handler.loads.set_cold(cold.collect());
    }

    /// A server as a cold one, if it has to be taken for that.
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
