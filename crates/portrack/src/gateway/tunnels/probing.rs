//! Tries to reach servers again, and notices that none can be reached.

use super::pauses::CHECK_INTERVAL;
use crate::gateway::daemon::GatewayDaemon;
use std::rc::Rc;

impl GatewayDaemon {
    /// Runs forever, and probes servers that may be out of reach.
    pub(in crate::gateway) async fn probe_servers(self: Rc<Self>) {
        let mut was_cut_off = false;
        loop {
            actix_rt::time::sleep(CHECK_INTERVAL).await;
            self.pauses.check(self.now());
            self.start_due_probes();
            let is_cut_off = self.handler.pool.links().is_cut_off();
            if is_cut_off != was_cut_off {
                was_cut_off = is_cut_off;
                self.on_cut_off_changed(is_cut_off);
            }
        }
    }

    fn start_due_probes(&self) {
        let (pool, view) = (&self.handler.pool, self.handler.view.borrow());
        let links = pool.links();
        links.forget_unused(|server| view.backend(server).is_some_and(|known| view.is_open(known)));
        if links.is_cut_off() {
            let open = view.backends().filter(|backend| view.is_open(backend));
            links.add_untried(open.map(|backend| &backend.id));
        }
        let has_outstanding = self.handler.loads.has_outstanding();
        for server in links.due_probes(self.now(), has_outstanding) {
            let Some(backend) = view.backend(&server).filter(|backend| view.is_open(backend))
            else {
                continue;
            };
            let Some(service) = view.service(&backend.service) else { continue };
            let max_open = self.handler.max_connections(service);
            actix_rt::spawn(pool.clone().probe(server, backend.address, max_open));
        }
    }

    /// Tells the other daemons at once that this one reaches no server, or some again.
    fn on_cut_off_changed(&self, is_cut_off: bool) {
        let failing = self.handler.pool.links().failing_count();
        self.metrics.cut_off_from_servers.set(i64::from(is_cut_off));
        log::warn!(cut_off = is_cut_off, failing = failing; "cut_off_from_servers");
        self.beat();
    }
}
