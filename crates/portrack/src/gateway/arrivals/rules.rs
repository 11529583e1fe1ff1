//! The rules that a granter applies to a server.

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
    /// Finds a server by its hash; `before` is its id if it was found before.
    pub(super) fn backend(&self, server: u32, before: Option<&str>) -> Option<Rc<Backend>> {
        let view = self.view.borrow();
        let known = before
            .and_then(|id| view.backend(id))
            .filter(|backend| backend.incarnation_hash() == server);
        let found =
            known.or_else(|| view.backends().find(|backend| backend.incarnation_hash() == server));
        found.cloned()
    }

    /// The limits on arrivals at a server. If callers present keys, a server may also be cold while
    /// the freshness proof is older than the duration of a cold start.
    pub(super) fn rule(&self, now: Time, backend: &Backend) -> ServerRule {
        let view = self.view.borrow();
        let start = view.service(&backend.service).and_then(|service| service.cold);
        let cold = start.map(|start| {
            let has_keys = view.config().is_some_and(|config| config.organisations.is_some());
            let is_stale = has_keys && !self.proof.is_within(now, start.duration);
            let cold = is_stale || self.coldness.borrow().is_cold(now, &backend.id, Some(&start));
            let bound = ColdBound::new(&start, self.cold_ratio, self.cold_slack);
            ColdRule { bound, cold, is_stand_in: !self.is_first_granter(backend) }
        });
        ServerRule { cold, limit: self.limit_rule(backend) }
    }

    /// The rule for a server that states a limit. A daemon that receives from fewer than half of
    /// the recently known daemons may be partitioned, and a daemon preceded by others only stands
    /// in for them. In both cases another daemon may be using the limit too.
    fn limit_rule(&self, backend: &Backend) -> Option<LimitRule> {
        if !self.is_limited(backend) {
            return None;
        }
        let sees_few = self.daemons.borrow().count() * 2 < self.known_daemons.get();
        self.backpressure
            .rule(backend.incarnation_hash(), sees_few || !self.is_first_granter(backend))
    }

    /// Returns whether no other daemon precedes this one as the granter of a server, responsive or
    /// not.
    fn is_first_granter(&self, backend: &Backend) -> bool {
        let first = self.first_granter(backend, |_| true);
        first.is_none_or(|first| first == self.me.address)
    }

    /// The first responsive daemon that may be the granter of a server: from the server's data
    /// hall, else from its region, else any. Only daemons that enforce limits grant arrivals at a
    /// server that states one.
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

    /// Returns whether arrivals at a server need a grant: if it states a limit or may be cold, or
    /// for engines while loads are known only with a delay.
    pub fn grants(&self, backend: &Backend) -> bool {
        if self.is_limited(backend) {
            return true;
        }
        let view = self.view.borrow();
        let Some(service) = view.service(&backend.service) else { return false };
        service.cold.is_some() || (service.engine.is_some() && self.loads_are_delayed.get())
    }

    /// Returns whether a server states a limit.
    pub fn is_limited(&self, backend: &Backend) -> bool {
        self.backpressure.limit(backend.incarnation_hash()).is_some()
    }

    /// Returns whether a request whose granter does not answer may be sent. Never to a server that
    /// states a limit. If the service has a cold start, a daemon sends an occasional request to a
    /// server believed to be warm; to a server that may be cold, only the few daemons with a share
    /// there may do so.
    pub fn may_send_without_grant(&self, backend: &Backend) -> bool {
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
