//! What a granter takes a server for.

use super::cold::{ColdBound, ColdRule};
use super::granter::ServerRule;
use super::grants::Grants;
use crate::gateway::backpressure::bucket::LimitRule;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::daemons::DaemonInfo;
use crate::types::Time;
use std::net::SocketAddr;
use std::rc::Rc;

impl Grants {
    /// A server by its mark; `before` is its id if it was found before.
    pub(super) fn backend(&self, server: u32, before: Option<&str>) -> Option<Rc<Backend>> {
        let view = self.view.borrow();
        let known =
            before.and_then(|id| view.backend(id)).filter(|all| all.incarnation_hash() == server);
        let found = known.or_else(|| view.backends().find(|all| all.incarnation_hash() == server));
        found.cloned()
    }

    /// What binds arrivals at a server. Where callers show keys, a server is also in doubt while the proof
    /// is older than a cold start lasts.
    pub(super) fn rule(&self, now: Time, backend: &Backend) -> ServerRule {
        let view = self.view.borrow();
        let start = view.service(&backend.service).and_then(|service| service.cold);
        let cold = start.map(|start| {
            let told = view.config().is_some_and(|config| config.organisations.is_some());
            let old = told && !self.proof.is_within(now, start.duration);
            let cold = old || self.coldness.borrow().is_cold(now, &backend.id, Some(&start));
            let bound = ColdBound::new(&start, self.cold_ratio, self.cold_slack);
            ColdRule { bound, cold, is_stand_in: !self.comes_first(backend) }
        });
        ServerRule { cold, limit: self.limit_rule(backend) }
    }

    /// What binds arrivals at a server that names a limit. A daemon that hears less than half of those it knew of lately may
    /// be cut off, and one that others come before only stands in for them: somebody else may give out the limit too.
    fn limit_rule(&self, backend: &Backend) -> Option<LimitRule> {
        if !self.is_limited(backend) {
            return None;
        }
        let hears_few = self.daemons.borrow().count() * 2 < self.known.get();
        self.backpressure.rule(backend.incarnation_hash(), hears_few || !self.comes_first(backend))
    }

    /// True if no other daemon comes before this one as a server's granter, whether or not it answers.
    fn comes_first(&self, backend: &Backend) -> bool {
        let first = self.first_granter(backend, |_| true);
        first.is_none_or(|first| first == self.me.address)
    }

    /// The first daemon that may be a server's granter, of its own hall, else of its region, else any: those that answer.
    /// Arrivals at a server that names a limit are only granted by daemons that keep limits.
    pub(super) fn first_granter(
        &self,
        backend: &Backend,
        answers: impl Fn(&DaemonInfo) -> bool,
    ) -> Option<SocketAddr> {
        let daemons = self.daemons.borrow();
        let region = self.regions.of(&backend.hall);
        let server = backend.incarnation_hash();
        let is_limited = self.is_limited(backend);
        let fits = |daemon: &DaemonInfo| {
            answers(daemon) && (!is_limited || daemon.capabilities.enforces_limits())
        };
        let near = |daemon: &DaemonInfo| self.regions.of(&daemon.hall) == region && fits(daemon);
        daemons
            .first(server.into(), |daemon| daemon.hall == backend.hall && fits(daemon))
            .or_else(|| daemons.first(server.into(), near))
            .or_else(|| daemons.first(server.into(), fits))
    }

    /// True if arrivals at a server are granted: where it names a limit or may be cold, and where engines' loads are
    /// known late.
    pub fn grants(&self, backend: &Backend) -> bool {
        if self.is_limited(backend) {
            return true;
        }
        let view = self.view.borrow();
        let Some(service) = view.service(&backend.service) else { return false };
        service.cold.is_some() || (service.engine.is_some() && self.loads_are_delayed.get())
    }

    /// True if a server names a limit.
    pub fn is_limited(&self, backend: &Backend) -> bool {
        self.backpressure.limit(backend.incarnation_hash()).is_some()
    }

    /// True if a request whose granter does not answer may be sent; never to a server that names a limit. Where
    /// servers have a cold start, a daemon sends one that it takes for warm a request now and then, and one that may
    /// be cold the same only if it is one of the few that have a share there.
    pub fn may_send_alone(&self, backend: &Backend) -> bool {
        if self.is_limited(backend) {
            return false;
        }
        let now = self.clock.now();
        let Some(cold) = self.rule(now, backend).cold else { return true };
        let server = backend.incarnation_hash();
        let sharers = cold.bound.sharers();
        let mut shares = self.shares.borrow_mut();
        let may_take = !cold.cold || shares.is_sharer(server, self.me.address, sharers);
        may_take && shares.take(now, server)
    }
}
