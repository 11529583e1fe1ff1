//! What a granter takes a server for.

use super::cold::{ColdBound, ColdRule};
use super::granter::ServerRule;
use super::grants::Grants;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::daemons::DaemonAt;
use crate::types::Time;
use std::rc::Rc;

impl Grants {
    /// A server by its mark; `before` is its id if it was found before.
    pub(super) fn backend(&self, server: u32, before: Option<&str>) -> Option<Rc<Backend>> {
        let view = self.view.borrow();
        let known = before.and_then(|id| view.backend(id)).filter(|all| all.mark() == server);
        let found = known.or_else(|| view.backends().find(|all| all.mark() == server));
        found.cloned()
    }

    /// What binds arrivals at a server. Where callers show keys, a server is also in doubt while the proof
    /// is older than a cold start lasts.
    pub(super) fn rule(&self, now: Time, backend: &Backend) -> ServerRule {
        let view = self.view.borrow();
        let start = view.service(&backend.service).and_then(|service| service.cold);
        let cold = start.map(|start| {
            let told = view.config().is_some_and(|config| config.organisations.is_some());
            let old = told && !self.proof.is_within(now, start.lasts);
            let cold = old || self.coldness.borrow().is_cold(now, &backend.id, Some(&start));
            let bound = ColdBound::new(&start, self.cold_ratio, self.cold_slack);
            ColdRule { bound, cold, stands_in: !self.comes_first(backend) }
        });
        ServerRule { cold }
    }

    /// True if no other daemon comes before this one as a server's granter, whether or not it answers.
    fn comes_first(&self, backend: &Backend) -> bool {
        let daemons = self.daemons.borrow();
        let region = self.regions.of(&backend.hall);
        let of_hall = |daemon: &DaemonAt| daemon.hall == backend.hall;
        let of_region = |daemon: &DaemonAt| self.regions.of(&daemon.hall) == region;
        let mark = u64::from(backend.mark());
        let first = daemons
            .first(mark, of_hall)
            .or_else(|| daemons.first(mark, of_region))
            .or_else(|| daemons.first(mark, |_| true));
        first.is_none_or(|first| first == self.me.address)
    }

    /// True if arrivals at a server are granted: where it may be cold, and where engines' loads are
    /// known late.
    pub fn grants(&self, backend: &Backend) -> bool {
        let view = self.view.borrow();
        let Some(service) = view.service(&backend.service) else { return false };
        service.cold.is_some() || (service.engine.is_some() && self.loads_lag.get())
    }

    /// True if a request whose granter does not answer may be sent. Where servers have a cold start, a
    /// daemon sends one that it takes for warm a request now and then, and one that may be cold the same
    /// only if it is one of the few that have a share there.
    pub fn may_send_alone(&self, backend: &Backend) -> bool {
        let now = self.clock.now();
        let Some(cold) = self.rule(now, backend).cold else { return true };
        let server = backend.mark();
        let sharers = cold.bound.sharers();
        let mut shares = self.shares.borrow_mut();
        let may_take = !cold.cold || shares.is_sharer(server, self.me.address, sharers);
        may_take && shares.take(now, server)
    }
}
