//! Chooses a server for a request, and waits for its adapter where that is worthwhile.

use super::choose::{ScoredServer, better_of_two, cheaper_of_two, cheapest, cost};
use super::crowding::{is_copy_worthwhile, is_crowded, is_local_copy_worthwhile};
use super::demand::LoadRequest;
use super::load_target::{LoadTarget, choose_load_target};
use crate::gateway::dialect::AdapterKey;
use crate::gateway::dispatch::SlotRequirements;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::config::Route;
use crate::gateway::fleet::versions::{UsableVersions, VersionChoice};
use crate::gateway::fleet::view::{FIRST_VERSION, FleetView};
use crate::gateway::requests::caller::{RefusalReason, Refused};
use crate::gateway::requests::handler::RequestHandler;
use crate::gateway::requests::job::{Choice, Job};
use crate::types::Time;
use std::rc::Rc;
use std::time::Duration;

/// Share of its latency objective that a request waits for a load of its adapter to start.
const LOAD_START_WAIT_SHARE: f64 = 0.22;
/// Minimum time after which callers give up on a silent stream.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Share of the caller's timeout that may be spent waiting.
const CALLER_TIMEOUT_SHARE: f64 = 0.7;
/// Time added to the expected load time of an adapter before a request gives up.
const LOAD_OVERDUE_SLACK: Duration = Duration::from_millis(700);
/// Approximate latency of the first event on a server.
const FIRST_EVENT_LATENCY: Duration = Duration::from_millis(120);
/// Time added to the retry delay of a caller refused while its adapter is loading.
const RETRY_SLACK: Duration = Duration::from_millis(150);
/// Retry delay for an adapter that no server is loading.
const NOT_LOADED_RETRY: Duration = Duration::from_millis(1_500);
/// Share of its objective that a request waits for a slot after its objective has passed.
const LATE_WAIT_SHARE: f64 = 0.5;
/// How long a rejection observed by this daemon overrides the store's entries.
const REJECTION_TTL: Duration = Duration::from_millis(700);

impl RequestHandler {
    /// Chooses a server for the next try.
    pub(in crate::gateway) async fn choose(&self, job: &Job<'_>) -> Result<Choice, Refused> {
        self.check_allowed_regions(job)?;
        if job.model().is_none() {
            return self.choose_plain(job).await;
        }
        match job.adapter() {
            None => self.choose_base(job),
            Some(key) => self.choose_adapter(job, &key).await,
        }
    }

    /// A server with a free slot according to the service's dispatcher, or else the best server
    /// according to local knowledge.
    async fn choose_plain(&self, job: &Job<'_>) -> Result<Choice, Refused> {
        if self.candidates(&self.view.borrow(), job).next().is_none() {
            return Err(self.no_server_refusal(job));
        }
        let slot = self.slots.take(&job.service.name, self.slot_requirements(job)).await?;
        let view = self.view.borrow();
        let mut open = self.candidates(&view, job);
        if let Some(slot) = slot {
            let granted = open.find(|backend| backend.incarnation_hash() == slot.server);
            if let Some(backend) = granted.filter(|backend| !job.is_excluded(&backend.id)) {
                let backend = backend.clone();
                return Ok(Choice {
                    backend,
                    adapter_version: None,
                    slot: Some(slot),
                    grant: None,
                });
            }
        }
        self.best(job, self.candidates(&view, job)).ok_or_else(|| self.no_server_refusal(job))
    }

    fn slot_requirements(&self, job: &Job<'_>) -> SlotRequirements {
        let now = self.clock.now();
        let objective = job.route.objective;
        let left = objective.saturating_sub(now.since(job.request.arrived));
        // A late answer still has some value.
        let left = left.max(objective.mul_f64(LATE_WAIT_SHARE)).min(job.deadline.since(now));
        SlotRequirements {
            organisation: job
                .admitted
                .organisation
                .as_ref()
                .map(|organisation| organisation.name_hash()),
            time_left: left,
            tried: self.excluded_servers(job),
        }
    }

    fn choose_base(&self, job: &Job<'_>) -> Result<Choice, Refused> {
        let view = self.view.borrow();
        let model = job.model().map(|model| model.model.clone()).unwrap_or_default();
        let open = self.candidates(&view, job);
        let holding = open.filter(|backend| backend.model(&model).is_some());
        self.best(job, holding).ok_or_else(|| self.no_server_refusal(job))
    }

    fn best<'a>(
        &self,
        job: &Job<'_>,
        open: impl Iterator<Item = &'a Rc<Backend>>,
    ) -> Option<Choice> {
        let now = self.clock.now();
        let open = open.filter(|backend| {
            !job.servers_at_limit.borrow().contains(&backend.id)
                && !self.is_brittle_and_full(backend)
        });
        let backend = match self.loads_are_delayed.get() {
            true => {
                let id = &job.request.meta.id;
                cheaper_of_two(now, &self.loads, &self.locality, id, &job.tried, open)
            }
            false => cheapest(now, &self.loads, &self.locality, &job.tried, open),
        }?;
        Some(Choice { backend, adapter_version: None, slot: None, grant: None })
    }

    async fn choose_adapter(&self, job: &Job<'_>, key: &AdapterKey) -> Result<Choice, Refused> {
        let arrived = job.request.arrived;
        // After a failed try, the caller's timeout counts from the data it received last, which is
        // about now.
        let last_output_at = if job.sends == 0 { arrived } else { self.clock.now() };
        // A request that found its server at the limit waits anew for a load to start, because it
        // could not know about the limit before.
        let is_first = job.sends == 0 && job.servers_at_limit.borrow().is_empty();
        let since = if is_first { arrived } else { self.clock.now() };
        let load_start_by = since + job.route.objective.mul_f64(LOAD_START_WAIT_SHARE);
        let objective_deadline = arrived + job.route.objective.saturating_sub(FIRST_EVENT_LATENCY);
        let give_up = last_output_at + max_silence(&job.route);
        let mut missed = false;
        if job.sends == 0 {
            self.demand.record_request(self.clock.now(), key);
        }
        loop {
            if let Some(choice) = self.holder(job, key) {
                return Ok(choice);
            }
            // If all servers are closed or unreachable, waiting for the adapter is pointless.
            if !self.has_reachable_candidate(job) {
                return Err(self.no_server_refusal(job));
            }
            if !missed {
                missed = true;
                self.demand.record_miss(key);
            }
            self.request_load_for(job, key, LoadScope::AnyRegion);
            let now = self.clock.now();
            let may_serve = |backend: &Backend| self.may_serve(job, backend);
            let expected = self.view.borrow().expected(now, key, may_serve);
            self.record_adapter_wait(job, now, expected);
            let refuse_early = now < load_start_by && is_first;
            let until = match expected {
                Some(at) if at > objective_deadline && refuse_early => {
                    return Err(not_loaded(at.since(now) + RETRY_SLACK));
                }
                Some(at) => (at + LOAD_OVERDUE_SLACK).min(give_up),
                None => load_start_by.min(give_up),
            };
            if now >= until {
                return Err(not_loaded(NOT_LOADED_RETRY));
            }
            let changed = self.view_changed.notified();
            let _ = actix_rt::time::timeout(until.since(now), changed).await;
        }
    }

    /// Records the state of a missing adapter for the request's log line.
    fn record_adapter_wait(&self, job: &Job<'_>, now: Time, expected: Option<Time>) {
        let waited = now.since(job.request.arrived).as_millis();
        *job.adapter_note.borrow_mut() = match expected {
            Some(at) => format!("expected_in_{}ms_after_{waited}ms", at.since(now).as_millis()),
            None => format!("nobody_loads_it_after_{waited}ms"),
        };
    }

    /// Requests a load of the adapter on its load target, if some daemon holds the claim on a
    /// suitable server.
    fn request_load_for(&self, job: &Job<'_>, key: &AdapterKey, at: LoadScope) {
        let wanted = WantedAdapter { service: &job.service.name, key, requests: 0, at };
        let full = job.servers_at_limit.borrow();
        self.request_load_among(wanted, |backend| {
            self.may_serve(job, backend) && !full.contains(&backend.id)
        });
    }

    /// Requests a load of an adapter on its load target for a number of requests, in addition to
    /// those that missed it. Returns whether a load was requested.
    pub(in crate::gateway) fn request_load(
        &self,
        service: &str,
        key: &AdapterKey,
        requests: u16,
    ) -> bool {
        self.request_load_among(
            WantedAdapter { service, key, requests, at: LoadScope::AnyRegion },
            |_| true,
        )
    }

    fn request_load_among(
        &self,
        wanted: WantedAdapter<'_>,
        may_serve: impl Fn(&Backend) -> bool,
    ) -> bool {
        let WantedAdapter { service, key, requests, at } = wanted;
        let now = self.clock.now();
        let view = self.view.borrow();
        if view.expected(now, key, &may_serve).is_some() {
            return false;
        }
        let version = view.newest_version(key);
        let outdated = view.adapter_locations.holders(now, key);
        let open = view.open_backends(service).filter(|backend| {
            let in_scope = at == LoadScope::AnyRegion || !self.locality.is_remote(&backend.hall);
            let holds = backend.model(&key.model).is_some();
            let is_outdated = outdated.iter().any(|(id, _)| *id == backend.id);
            let refused = view.adapter_locations.is_refused(now, key, &backend.id);
            let unreachable = self.loads.is_hall_silent(&backend.hall);
            in_scope
                && may_serve(backend)
                && holds
                && !is_outdated
                && !refused
                && !unreachable
                && (self.is_ordered)(&backend.id)
        });
        let (full, with_capacity): (Vec<_>, Vec<_>) =
            open.partition(|backend| self.backpressure.is_full(backend.incarnation_hash()));
        // An adapter loaded on a server at its limit could not be used there.
        let among = if with_capacity.is_empty() { full } else { with_capacity };
        let targets: Vec<LoadTarget> = among
            .into_iter()
            .map(|backend| LoadTarget {
                server: backend.id.clone(),
                slots: backend.slots,
                cost: cost(now, &self.loads, &self.locality, backend),
                is_near: !self.locality.is_remote(&backend.hall),
                is_cached: view.adapter_locations.is_cached(key, &backend.id, version),
            })
            .collect();
        let outdated_holder = || match at {
            LoadScope::AnyRegion => self.outdated_holder(&view, &outdated, &may_serve),
            LoadScope::OwnRegion => None,
        };
        let Some(server) = choose_load_target(key, &targets).or_else(outdated_holder) else {
            return false;
        };
        self.demand.request_load(now, LoadRequest { server, key: key.clone(), version, requests })
    }

    /// A server that holds an outdated version, for an adapter without any other load target.
    fn outdated_holder(
        &self,
        view: &FleetView,
        outdated: &[(Rc<str>, u64)],
        may_serve: impl Fn(&Backend) -> bool,
    ) -> Option<Rc<str>> {
        let accepts = |id: &str| {
            view.backend(id).is_some_and(|backend| view.is_open(backend) && may_serve(backend))
        };
        let ordered = outdated.iter().find(|(id, _)| accepts(id) && (self.is_ordered)(id));
        ordered.map(|(id, _)| id.clone())
    }

    /// A server that holds the adapter and accepts new work, or else one in a data hall that is
    /// being closed.
    fn holder(&self, job: &Job<'_>, key: &AdapterKey) -> Option<Choice> {
        if let Some(open) = self.holder_among(job, key, accepts_new_work) {
            return Some(open);
        }
        let closing = self.holder_among(job, key, FleetView::is_closing)?;
        self.demand.record_miss(key);
        self.request_load_for(job, key, LoadScope::AnyRegion);
        Some(closing)
    }

    /// The cheapest server that holds the adapter at the newest version. An outdated version is
    /// used during its grace period if the newest one is missing or its servers are crowded.
    fn holder_among(&self, job: &Job<'_>, key: &AdapterKey, accepts: AcceptFn) -> Option<Choice> {
        let now = self.clock.now();
        let usable = self.view.borrow().usable_versions(now, key);
        let newest = usable.map_or(FIRST_VERSION, |versions| versions.newest);
        let oldest = usable.map_or(FIRST_VERSION, |versions| versions.oldest);
        let (current, outdated) = self.holders(job, key, newest, accepts);
        let id = &job.request.meta.id;
        let delayed = self.loads_are_delayed.get();
        let best = self.pick_holder(id, &current, delayed);
        let crowded = best.is_none_or(|best| is_crowded(best.backend.slots, best.cost));
        // A request must not start late with an outdated version, so it is sent only where it need
        // not wait.
        let older = outdated.iter().filter(|holder| holder.version >= oldest);
        let older = older.filter(|holder| !is_crowded(holder.backend.slots, holder.cost));
        let older: Vec<Holder> = older.filter(|_| crowded).cloned().collect();
        if let Some(old) = self.pick_holder(id, &older, delayed) {
            self.demand.record_miss(key);
            self.request_load_for(job, key, LoadScope::AnyRegion);
            return Some(chosen(job, old, usable));
        }
        let best = best?;
        if self.needs_copy(job, key, best.backend.slots, best.cost) {
            self.request_load_for(job, key, LoadScope::AnyRegion);
        } else if self.needs_local_copy(key, &current) {
            self.request_load_for(job, key, LoadScope::OwnRegion);
        }
        Some(chosen(job, best, usable))
    }

    /// The untried servers that hold an adapter, those with the newest version and the others, each
    /// sorted by ascending cost.
    fn holders(
        &self,
        job: &Job<'_>,
        key: &AdapterKey,
        newest: u64,
        accepts: AcceptFn,
    ) -> (Vec<Holder>, Vec<Holder>) {
        let now = self.clock.now();
        let view = self.view.borrow();
        let holders = view.adapter_locations.holders(now, key).into_iter();
        let untried = holders.filter_map(|(id, version)| {
            let backend = view.backend(&id)?;
            let unreachable = self.loads.is_hall_silent(&backend.hall);
            let open = accepts(&view, now, backend) && !unreachable && self.may_serve(job, backend);
            let cost = cost(now, &self.loads, &self.locality, backend);
            let holder = Holder { backend: backend.clone(), cost, version };
            let excluded = job.is_excluded(&backend.id) || self.is_brittle_and_full(backend);
            (open && !excluded).then_some(holder)
        });
        let mut sorted: Vec<Holder> = untried.collect();
        sorted.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        sorted.into_iter().partition(|holder| holder.version >= newest)
    }

    /// Another untried server, not among those `asked`, that could serve the request as well: the
    /// better of two.
    pub(super) fn other_holder(&self, job: &Job<'_>, asked: &[Rc<str>]) -> Option<Choice> {
        let now = self.clock.now();
        let Some(key) = job.adapter().filter(|_| job.model().is_some()) else {
            let view = self.view.borrow();
            let model = job.model().map(|model| model.model.clone());
            let open = self.candidates(&view, job).filter(|backend| {
                let holds = model.as_ref().is_none_or(|model| backend.model(model).is_some());
                holds && !asked.contains(&backend.id)
            });
            return self.best(job, open);
        };
        let usable = self.view.borrow().usable_versions(now, &key);
        let newest = usable.map_or(FIRST_VERSION, |versions| versions.newest);
        let (mut current, _) = self.holders(job, &key, newest, accepts_new_work);
        current.retain(|holder| !asked.contains(&holder.backend.id));
        let other =
            self.pick_holder(&job.request.meta.id, &current, self.loads_are_delayed.get())?;
        Some(chosen(job, other, usable))
    }

    /// Returns whether a server chosen earlier still accepts the request at the version chosen
    /// then. The grace period of the server or the version may have ended during the wait, and a
    /// request must not start after that.
    pub(super) fn still_accepts(&self, job: &Job<'_>, choice: &Choice) -> bool {
        let now = self.clock.now();
        let view = self.view.borrow();
        let open = view.accepts_requests(now, &choice.backend.id);
        let Some(key) = job.adapter().filter(|_| job.model().is_some()) else { return open };
        let mut holders = view.adapter_locations.holders(now, &key).into_iter();
        let holds = holders.any(|(id, _)| id == choice.backend.id);
        let usable = view.usable_versions(now, &key);
        let is_usable = usable.is_none_or(|versions| {
            choice.adapter_version.is_some_and(|chosen| chosen >= versions.oldest)
        });
        open && holds && is_usable
    }

    /// Returns whether demand for an adapter is high enough that a much less loaded server should
    /// hold it too.
    fn needs_copy(&self, job: &Job<'_>, key: &AdapterKey, slots: usize, cost_here: f64) -> bool {
        if !is_crowded(slots, cost_here) {
            return false;
        }
        let now = self.clock.now();
        let view = self.view.borrow();
        let open = self.candidates(&view, job);
        let costs = open.map(|backend| cost(now, &self.loads, &self.locality, backend));
        let idlest = costs.fold(f64::MAX, f64::min);
        is_copy_worthwhile(slots, cost_here, idlest, self.demand.recent_requests(now, key))
    }

    /// Returns whether only servers in other regions hold an adapter that is requested repeatedly
    /// here.
    fn needs_local_copy(&self, key: &AdapterKey, holders: &[Holder]) -> bool {
        let far = holders.iter().all(|holder| self.locality.is_remote(&holder.backend.hall));
        far && is_local_copy_worthwhile(self.demand.recent_requests(self.clock.now(), key))
    }

    /// Picks one of the holders, which are sorted by ascending cost: the first, or, if loads are
    /// delayed, the better of two healthy holders chosen at random.
    fn pick_holder<'a>(
        &self,
        id: &str,
        holders: &'a [Holder],
        loads_are_delayed: bool,
    ) -> Option<&'a Holder> {
        let score =
            |holder: &Holder| ScoredServer::new(holder.cost, &self.locality, &holder.backend);
        let scored = || holders.iter().map(score).collect::<Vec<ScoredServer>>();
        let at = if loads_are_delayed { better_of_two(id, &scored()) } else { 0 };
        holders.get(at)
    }

    /// Returns whether an untried server is left.
    pub(in crate::gateway) fn has_untried(&self, job: &Job<'_>) -> bool {
        match job.adapter() {
            Some(_) if job.model().is_some() => true,
            _ => {
                let view = self.view.borrow();
                let mut open = self.candidates(&view, job);
                open.any(|backend| !job.tried.contains(&backend.id))
            }
        }
    }

    /// Records that a server rejected a request for an adapter (status 421), so it does not hold
    /// the adapter or that version.
    pub(in crate::gateway) fn record_misdirected(
        &self,
        job: &Job<'_>,
        choice: &Choice,
        status: u16,
    ) {
        let Some(key) = job.adapter().filter(|_| status == 421) else { return };
        let now = self.clock.now();
        if !self.loads.is_current_incarnation(&choice.backend) {
            return;
        }
        let (server, version) = (&choice.backend.id, choice.adapter_version);
        let mut view = self.view.borrow_mut();
        view.adapter_locations.record_rejection(now, &key, server, version, now + REJECTION_TTL);
    }
}

/// Returns whether a server accepts a request, according to the fleet view.
type AcceptFn = fn(&FleetView, Time, &Backend) -> bool;

/// Returns whether a server accepts any new work.
fn accepts_new_work(view: &FleetView, _: Time, server: &Backend) -> bool {
    view.is_open(server)
}

/// An adapter for which a load is requested.
struct WantedAdapter<'a> {
    service: &'a str,
    key: &'a AdapterKey,
    /// Requests in addition to those that missed the adapter.
    requests: u16,
    at: LoadScope,
}

/// Where an adapter may be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadScope {
    /// On any server.
    AnyRegion,
    /// Only on a server in this region, in addition to copies in other regions.
    OwnRegion,
}

/// A server that holds an adapter.
#[derive(Debug, Clone)]
struct Holder {
    backend: Rc<Backend>,
    /// Cost of sending a request to the server.
    cost: f64,
    /// The adapter version that the server holds.
    version: u64,
}

/// Turns a holder into the request's choice, and keeps the version details for the request's log
/// line.
fn chosen(job: &Job<'_>, holder: &Holder, usable: Option<UsableVersions>) -> Choice {
    let version = VersionChoice { held: holder.version, usable };
    job.progress.version.set(Some(version));
    Choice {
        backend: holder.backend.clone(),
        adapter_version: version.demanded(),
        slot: None,
        grant: None,
    }
}

/// How long a request may wait without sending its caller anything before the caller gives up.
pub(super) fn max_silence(route: &Route) -> Duration {
    let gaps = route.gap_objective.unwrap_or_default() * 8;
    let silence = MIN_CALLER_TIMEOUT.max(route.objective * 4).max(gaps);
    silence.mul_f64(CALLER_TIMEOUT_SHARE).min(route.timeout / 2)
}

fn not_loaded(retry_after: Duration) -> Refused {
    Refused::new(RefusalReason::NotLoaded, Some(retry_after))
}
