//! Filters the servers that may serve a request. Every selection, load request and dispatch starts
//! from this filter.

use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::view::FleetView;
use crate::gateway::requests::caller::{RefusalReason, Refused};
use crate::gateway::requests::handler::RequestHandler;
use crate::gateway::requests::job::Job;
use std::rc::Rc;
use std::time::Duration;

/// Retry delay while no server accepts work.
const NO_SERVER_RETRY: Duration = Duration::from_millis(500);
/// Retry delay while no server is reachable in the regions allowed for the request.
const NO_ALLOWED_RETRY: Duration = Duration::from_millis(1_000);

impl RequestHandler {
    /// Returns whether a server may serve a request now. Applies to the first send and to every
    /// retry.
    pub(in crate::gateway) fn may_serve(&self, job: &Job<'_>, backend: &Backend) -> bool {
        self.is_permitted(job, backend)
            && self.backpressure.backoff_remaining(backend.incarnation_hash()).is_none()
    }

    /// Returns true if a server survives only few rejections and has no free slot, as far as known. It may
    /// let no request wait.
    pub(in crate::gateway) fn is_brittle_and_full(&self, backend: &Backend) -> bool {
        self.backpressure.is_brittle(backend.incarnation_hash())
            && self.loads.work(self.clock.now(), &backend.id).requests as usize >= backend.slots
    }

    fn is_permitted(&self, job: &Job<'_>, backend: &Backend) -> bool {
        let regions = self.locality.regions();
        backend.service == job.service.name
            && job.region_bounds().permits(regions, &backend.hall)
            && self.permits_software(job, backend)
    }

    /// Time until the first backing-off server accepts requests again; `None` if none is backing
    /// off.
    pub(in crate::gateway) fn soonest_rest(&self, job: &Job<'_>) -> Option<Duration> {
        let view = self.view.borrow();
        let open = view.open_backends(&job.service.name);
        let permitted = open.filter(|backend| self.is_permitted(job, backend));
        permitted
            .filter_map(|backend| self.backpressure.backoff_remaining(backend.incarnation_hash()))
            .min()
    }

    /// The refusal for a request for which no server accepts work.
    pub(in crate::gateway) fn no_server_refusal(&self, job: &Job<'_>) -> Refused {
        match self.soonest_rest(job) {
            Some(after) => Refused::new(RefusalReason::Busy, Some(after)),
            None => Refused::new(RefusalReason::NoServer, Some(NO_SERVER_RETRY)),
        }
    }

    /// The servers that accept new work and may serve a request.
    pub(in crate::gateway) fn candidates<'a>(
        &'a self,
        view: &'a FleetView,
        job: &'a Job<'a>,
    ) -> impl Iterator<Item = &'a Rc<Backend>> + 'a {
        let open = view.open_backends(&job.service.name);
        open.filter(move |backend| self.may_serve(job, backend))
    }

    /// Hashes of the servers that a dispatcher must not assign to a request: those that failed it,
    /// those at their limit, and those that may not serve it.
    pub(in crate::gateway) fn excluded_servers(&self, job: &Job<'_>) -> Vec<u32> {
        let view = self.view.borrow();
        let full = job.servers_at_limit.borrow();
        let tried = job.tried.iter().chain(&*full).map(|id| self.loads.incarnation_hash(id));
        let open = view.open_backends(&job.service.name);
        let outside = open.filter(|backend| !self.may_serve(job, backend));
        tried.chain(outside.map(|backend| backend.incarnation_hash())).collect()
    }

    /// Returns whether some candidate for a request is in a reachable data hall.
    pub(in crate::gateway) fn has_reachable_candidate(&self, job: &Job<'_>) -> bool {
        self.reachable(&self.view.borrow(), job).next().is_some()
    }

    /// The candidates in reachable data halls.
    fn reachable<'a>(
        &'a self,
        view: &'a FleetView,
        job: &'a Job<'a>,
    ) -> impl Iterator<Item = &'a Rc<Backend>> + 'a {
        let candidates = self.candidates(view, job);
        candidates.filter(|backend| !self.loads.is_hall_silent(&backend.hall))
    }

    /// Returns whether a request refused because of server limits may find another server. If it
    /// needs an adapter that only limited servers hold, the other server must have no limit: only
    /// then is loading the adapter there worthwhile.
    pub(in crate::gateway) fn has_alternative(&self, job: &Job<'_>) -> bool {
        let view = self.view.borrow();
        let reachable = self.reachable(&view, job);
        let mut others = reachable.filter(|backend| !job.is_excluded(&backend.id));
        let needs_load = job.model().is_some() && job.adapter().is_some();
        others.any(|backend| !needs_load || !self.grants.is_limited(backend))
    }

    /// Refuses a request restricted to regions in which no server can be reached.
    pub(in crate::gateway) fn check_allowed_regions(&self, job: &Job<'_>) -> Result<(), Refused> {
        match !job.region_bounds().is_constrained() || self.has_reachable_candidate(job) {
            true => Ok(()),
            false => Err(Refused::new(RefusalReason::NoAllowedServer, Some(NO_ALLOWED_RETRY))),
        }
    }
}
