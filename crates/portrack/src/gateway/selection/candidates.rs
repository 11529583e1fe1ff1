//! Which servers a request may be given at all: every choice, wish and dispatch begins here.

use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::view::FleetView;
use crate::gateway::requests::caller::{RefusalReason, Refused};
use crate::gateway::requests::handler::RequestHandler;
use crate::gateway::requests::job::Job;
use std::rc::Rc;
use std::time::Duration;

/// When to come back while no server takes work.
const NO_SERVER_RETRY: Duration = Duration::from_millis(500);
/// When to come back while no server is left in the regions that a request may be served in.
const NO_ALLOWED_RETRY: Duration = Duration::from_millis(1_000);

impl RequestHandler {
    /// True if a server is one that may serve a request now, at its first send and at every other one.
    pub(in crate::gateway) fn may_serve(&self, job: &Job<'_>, backend: &Backend) -> bool {
        self.is_permitted(job, backend)
            && self.backpressure.backoff_remaining(backend.incarnation_hash()).is_none()
    }

    fn is_permitted(&self, job: &Job<'_>, backend: &Backend) -> bool {
        let regions = self.locality.regions();
        backend.service == job.service.name && job.region_bounds().permits(regions, &backend.hall)
    }

    /// When the first of the servers that rest may get a request again; `None` if none rests.
    pub(in crate::gateway) fn soonest_rest(&self, job: &Job<'_>) -> Option<Duration> {
        let view = self.view.borrow();
        let open = view.open_backends(&job.service.name);
        let permitted = open.filter(|backend| self.is_permitted(job, backend));
        permitted
            .filter_map(|backend| self.backpressure.backoff_remaining(backend.incarnation_hash()))
            .min()
    }

    /// The refusal of a request for which no server is left that takes work.
    pub(in crate::gateway) fn none_left(&self, job: &Job<'_>) -> Refused {
        match self.soonest_rest(job) {
            Some(after) => Refused::new(RefusalReason::Busy, Some(after)),
            None => Refused::new(RefusalReason::NoServer, Some(NO_SERVER_RETRY)),
        }
    }

    /// The servers that take new work and may serve a request.
    pub(in crate::gateway) fn candidates<'a>(
        &'a self,
        view: &'a FleetView,
        job: &'a Job<'a>,
    ) -> impl Iterator<Item = &'a Rc<Backend>> + 'a {
        let open = view.open_backends(&job.service.name);
        open.filter(move |backend| self.may_serve(job, backend))
    }

    /// The servers that a dispatcher must not give a request, by their marks: those that have failed it or have no room
    /// for it, and those that may not serve it.
    pub(in crate::gateway) fn barred(&self, job: &Job<'_>) -> Vec<u32> {
        let view = self.view.borrow();
        let full = job.servers_at_limit.borrow();
        let tried = job.tried.iter().chain(&*full).map(|id| self.loads.mark(id));
        let open = view.open_backends(&job.service.name);
        let outside = open.filter(|backend| !self.may_serve(job, backend));
        tried.chain(outside.map(|backend| backend.incarnation_hash())).collect()
    }

    /// True if a server that takes new work and may serve a request is in a data hall that is heard.
    pub(in crate::gateway) fn can_reach_candidate(&self, job: &Job<'_>) -> bool {
        self.reachable(&self.view.borrow(), job).next().is_some()
    }

    /// The candidates in data halls that are heard.
    fn reachable<'a>(
        &'a self,
        view: &'a FleetView,
        job: &'a Job<'a>,
    ) -> impl Iterator<Item = &'a Rc<Backend>> + 'a {
        let candidates = self.candidates(view, job);
        candidates.filter(|backend| !self.loads.is_hall_silent(&backend.hall))
    }

    /// True if a request that was refused for the limits of servers may find another one: for an adapter that only these
    /// hold, one without a limit, since a load there is worth it.
    pub(in crate::gateway) fn has_roomier(&self, job: &Job<'_>) -> bool {
        let view = self.view.borrow();
        let reachable = self.reachable(&view, job);
        let mut others = reachable.filter(|backend| !job.is_excluded(&backend.id));
        let needs_load = job.model().is_some() && job.adapter().is_some();
        others.any(|backend| !needs_load || !self.grants.is_limited(backend))
    }

    /// Refuses a request that is bound to regions in which no server can be reached.
    pub(in crate::gateway) fn look_for_allowed(&self, job: &Job<'_>) -> Result<(), Refused> {
        match !job.region_bounds().is_constrained() || self.can_reach_candidate(job) {
            true => Ok(()),
            false => Err(Refused::new(RefusalReason::NoAllowedServer, Some(NO_ALLOWED_RETRY))),
        }
    }
}
