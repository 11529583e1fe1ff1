//! Has cold servers filled with the adapters in demand whose homes they are.

use crate::gateway::choosing::demand::Wish;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::dialect::AdapterKey;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::view::FleetView;
use crate::membership::ranked;
use crate::types::Time;
use std::rc::Rc;
use std::time::Duration;

/// Between looks at what cold servers lack: several in the seconds for which one is cold.
const LOOK_EVERY: Duration = Duration::from_millis(300);
/// An adapter with fewer requests a second is left where it is: each fetch has a price, and what is asked
/// for now and then is served where it is held.
const LEAST_PACE: f64 = 1.0;
/// Adapters wished for at one look by one daemon, the hottest.
const MOST_AT_ONCE: usize = 4;

impl GatewayDaemon {
    /// Sees to cold servers, for ever.
    pub(in crate::gateway) async fn fill_cold(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(LOOK_EVERY).await;
            let now = self.now();
            self.look_at_cold(now);
            let lacking = self.lacking_at_cold(now);
            for (server, key, _) in lacking.into_iter().take(MOST_AT_ONCE) {
                let version = self.path.view.borrow().newest_version(&key);
                // For no request: those that wait for a fetch come first.
                self.path.demand.wish(now, Wish { server, key, version, requests: 0 });
            }
        }
    }

    /// The adapters in demand at the servers that this daemon orders whose homes are cold and lack
    /// them, the hottest first.
    fn lacking_at_cold(&self, now: Time) -> Vec<(Rc<str>, AdapterKey, f64)> {
        if !self.path.loads.any_cold(now) {
            return Vec::new();
        }
        let view = self.path.view.borrow();
        let ordered = self.ordering.claims.borrow().orderable(now);
        let planner = self.ordering.planner.borrow();
        let mut lacking = Vec::new();
        for backend in ordered.iter().filter_map(|id| view.backend(id)) {
            let paces = planner.paces(now, &backend.id).into_iter();
            for (key, pace) in paces.filter(|(_, pace)| *pace >= LEAST_PACE) {
                let home = self.cold_home(now, &view, backend, &key);
                lacking.extend(home.map(|home| (home, key, pace)));
            }
        }
        lacking.sort_by(|(_, _, a), (_, _, b)| b.total_cmp(a));
        lacking
    }

    /// The home of an adapter, if that is cold, has room for it, and nothing is known of it there.
    fn cold_home(
        &self,
        now: Time,
        view: &FleetView,
        holder: &Backend,
        key: &AdapterKey,
    ) -> Option<Rc<str>> {
        let open = view.open_backends(&holder.service);
        let able = open.filter(|backend| backend.model(&key.model).is_some());
        let ids: Vec<&str> = able.map(|backend| &*backend.id).collect();
        let home = view.backend(ranked(&key.adapter, ids).first()?)?;
        let held = view.holdings.holders(now, key).iter().any(|(id, _)| *id == home.id);
        let coming = view.holdings.coming_to(now, key).next().is_some();
        let refused = view.holdings.is_refused(now, key, &home.id);
        let cold = self.path.loads.is_cold(now, &home.id);
        let known = held || coming || refused;
        let fits = cold && !known && has_room(view, home) && (self.path.is_ordered)(&home.id);
        fits.then(|| home.id.clone())
    }
}

/// True if a server has a free place for an adapter: filling never drops what is held.
fn has_room(view: &FleetView, backend: &Backend) -> bool {
    let service = view.service(&backend.service);
    let Some(engine) = service.and_then(|service| service.engine.as_ref()) else { return false };
    let held: usize = backend.models.iter().map(|model| model.adapters.len()).sum();
    held < engine.adapter_slots
}
