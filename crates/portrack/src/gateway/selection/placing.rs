//! Chooses the server of a request, and waits for its adapter where that is worth it.

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

/// Of its objective, a request waits this share for a sign that its adapter is coming.
const SIGN_SHARE: f64 = 0.22;
/// Callers give a silent stream up after this at the earliest.
const SILENCE_FLOOR: Duration = Duration::from_secs(2);
/// Of the time after which a caller gives up, this share is used for waiting.
const SILENCE_SHARE: f64 = 0.7;
/// Added to the time at which an adapter is expected, before a request is given up.
const EXPECTED_SLACK: Duration = Duration::from_millis(700);
/// From the start at a server to the first event, roughly.
const FIRST_EVENT: Duration = Duration::from_millis(120);
/// Added to the time at which a refused caller may come back for an adapter on its way.
const COME_BACK_SLACK: Duration = Duration::from_millis(150);
/// When to come back for an adapter that nobody is loading.
const NOT_LOADED_RETRY: Duration = Duration::from_millis(1_500);
/// A request whose objective has passed waits for a slot for this share of it.
const LATE_WAIT_SHARE: f64 = 0.5;
/// What this daemon found out by itself outweighs the list for this long.
const FOUND_HOLDS: Duration = Duration::from_millis(700);

impl RequestHandler {
    /// A server for the next try.
    pub(in crate::gateway) async fn choose(&self, job: &Job<'_>) -> Result<Choice, Refused> {
        self.look_for_allowed(job)?;
        if job.model().is_none() {
            return self.choose_plain(job).await;
        }
        match job.adapter() {
            None => self.choose_base(job),
            Some(key) => self.choose_adapter(job, &key).await,
        }
    }

    /// A server with a free slot, as the service's dispatcher knows it, or the best one as far as
    /// known here.
    async fn choose_plain(&self, job: &Job<'_>) -> Result<Choice, Refused> {
        if self.candidates(&self.view.borrow(), job).next().is_none() {
            return Err(self.none_left(job));
        }
        let slot = self.slots.take(&job.service.name, self.slot_need(job)).await?;
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
        self.best(job, self.candidates(&view, job)).ok_or_else(|| self.none_left(job))
    }

    fn slot_need(&self, job: &Job<'_>) -> SlotRequirements {
        let now = self.clock.now();
        let objective = job.route.objective;
        let left = objective.saturating_sub(now.since(job.request.arrived));
        // An answer that is late already is still worth a little.
        let left = left.max(objective.mul_f64(LATE_WAIT_SHARE)).min(job.deadline.since(now));
        SlotRequirements {
            organisation: job.admitted.organisation.as_ref().map(|all| all.name_hash()),
            time_left: left,
            tried: self.barred(job),
        }
    }

    fn choose_base(&self, job: &Job<'_>) -> Result<Choice, Refused> {
        let view = self.view.borrow();
        let model = job.model().map(|model| model.model.clone()).unwrap_or_default();
        let open = self.candidates(&view, job);
        let holding = open.filter(|backend| backend.model(&model).is_some());
        self.best(job, holding).ok_or_else(|| self.none_left(job))
    }

    fn best<'a>(
        &self,
        job: &Job<'_>,
        open: impl Iterator<Item = &'a Rc<Backend>>,
    ) -> Option<Choice> {
        let now = self.clock.now();
        let open = open.filter(|backend| !job.servers_at_limit.borrow().contains(&backend.id));
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
        // After a failed try the caller's patience counts from what it heard last, about now.
        let heard_last = if job.sends == 0 { arrived } else { self.clock.now() };
        // A request that found no room within its server's limit looks for a sign anew: it could not know that before.
        let is_first = job.sends == 0 && job.servers_at_limit.borrow().is_empty();
        let since = if is_first { arrived } else { self.clock.now() };
        let sign_by = since + job.route.objective.mul_f64(SIGN_SHARE);
        let in_time = arrived + job.route.objective.saturating_sub(FIRST_EVENT);
        let give_up = heard_last + patience(&job.route);
        let mut missed = false;
        if job.sends == 0 {
            self.demand.asked(self.clock.now(), key);
        }
        loop {
            if let Some(choice) = self.holder(job, key) {
                return Ok(choice);
            }
            // Where all servers are closed or cut off, waiting for the adapter is of no use.
            if !self.can_reach_candidate(job) {
                return Err(self.none_left(job));
            }
            if !missed {
                missed = true;
                self.demand.missed(key);
            }
            self.wish(job, key, Where::Anywhere);
            let now = self.clock.now();
            let expected = self.view.borrow().expected(now, key);
            self.note_adapter(job, now, expected);
            let fast = now < sign_by && is_first;
            let until = match expected {
                Some(at) if at > in_time && fast => {
                    return Err(not_loaded(at.since(now) + COME_BACK_SLACK));
                }
                Some(at) => (at + EXPECTED_SLACK).min(give_up),
                None => sign_by.min(give_up),
            };
            if now >= until {
                return Err(not_loaded(NOT_LOADED_RETRY));
            }
            let changed = self.view_changed.notified();
            let _ = actix_rt::time::timeout(until.since(now), changed).await;
        }
    }

    /// Keeps what is known of a missing adapter for the request's log line.
    fn note_adapter(&self, job: &Job<'_>, now: Time, expected: Option<Time>) {
        let waited = now.since(job.request.arrived).as_millis();
        *job.adapter_note.borrow_mut() = match expected {
            Some(at) => format!("expected_in_{}ms_after_{waited}ms", at.since(now).as_millis()),
            None => format!("nobody_loads_it_after_{waited}ms"),
        };
    }

    /// Wishes for an adapter at its home, if some daemon may order a server for it.
    fn wish(&self, job: &Job<'_>, key: &AdapterKey, at: Where) {
        let wanted = Wanted { service: &job.service.name, key, requests: 0, at };
        let full = job.servers_at_limit.borrow();
        self.wish_among(wanted, |backend| {
            self.may_serve(job, backend) && !full.contains(&backend.id)
        });
    }

    /// Wishes for an adapter at its home for some requests besides those that missed it; true if that
    /// was done.
    pub(in crate::gateway) fn request_load(
        &self,
        service: &str,
        key: &AdapterKey,
        requests: u16,
    ) -> bool {
        self.wish_among(Wanted { service, key, requests, at: Where::Anywhere }, |_| true)
    }

    fn wish_among(&self, wanted: Wanted<'_>, may_serve: impl Fn(&Backend) -> bool) -> bool {
        let Wanted { service, key, requests, at } = wanted;
        let now = self.clock.now();
        let view = self.view.borrow();
        if view.expected(now, key).is_some() {
            return false;
        }
        let version = view.newest_version(key);
        let outdated = view.adapter_locations.holders(now, key);
        let open = view.open_backends(service).filter(|backend| {
            let here = at == Where::Anywhere || !self.locality.is_remote(&backend.hall);
            let holds = backend.model(&key.model).is_some();
            let old = outdated.iter().any(|(id, _)| *id == backend.id);
            let refused = view.adapter_locations.is_refused(now, key, &backend.id);
            let cut = self.loads.is_hall_silent(&backend.hall);
            here && may_serve(backend)
                && holds
                && !old
                && !refused
                && !cut
                && (self.is_ordered)(&backend.id)
        });
        let (full, roomy): (Vec<_>, Vec<_>) =
            open.partition(|backend| self.backpressure.is_full(backend.incarnation_hash()));
        // What is loaded at a server without room within its limit could not be used there.
        let among = if roomy.is_empty() { full } else { roomy };
        let homes: Vec<LoadTarget> = among
            .into_iter()
            .map(|backend| LoadTarget {
                server: backend.id.clone(),
                slots: backend.slots,
                cost: cost(now, &self.loads, &self.locality, backend),
                is_near: !self.locality.is_remote(&backend.hall),
                is_cached: view.adapter_locations.is_cached(key, &backend.id, version),
            })
            .collect();
        let replaceable = || match at {
            Where::Anywhere => self.replaceable(&view, &outdated, &may_serve),
            Where::Near => None,
        };
        let Some(server) = choose_load_target(key, &homes).or_else(replaceable) else {
            return false;
        };
        self.demand.wish(now, LoadRequest { server, key: key.clone(), version, requests })
    }

    /// A server that holds an older version, for an adapter that has no other home.
    fn replaceable(
        &self,
        view: &FleetView,
        outdated: &[(Rc<str>, u64)],
        may_serve: impl Fn(&Backend) -> bool,
    ) -> Option<Rc<str>> {
        let takes = |id: &str| {
            view.backend(id).is_some_and(|backend| view.is_open(backend) && may_serve(backend))
        };
        let ordered = outdated.iter().find(|(id, _)| takes(id) && (self.is_ordered)(id));
        ordered.map(|(id, _)| id.clone())
    }

    /// A server that holds the adapter and takes new work, or one whose data hall is being left.
    fn holder(&self, job: &Job<'_>, key: &AdapterKey) -> Option<Choice> {
        if let Some(open) = self.holder_among(job, key, takes_all) {
            return Some(open);
        }
        let leaving = self.holder_among(job, key, FleetView::is_closing)?;
        self.demand.missed(key);
        self.wish(job, key, Where::Anywhere);
        Some(leaving)
    }

    /// The cheapest server that holds the adapter: the newest version, or an older one for a while
    /// where the newest is missing or its servers are crowded.
    fn holder_among(&self, job: &Job<'_>, key: &AdapterKey, takes: Takes) -> Option<Choice> {
        let now = self.clock.now();
        let usable = self.view.borrow().usable_versions(now, key);
        let newest = usable.map_or(FIRST_VERSION, |versions| versions.newest);
        let oldest = usable.map_or(FIRST_VERSION, |versions| versions.oldest);
        let (current, outdated) = self.holders(job, key, newest, takes);
        let id = &job.request.meta.id;
        let lag = self.loads_are_delayed.get();
        let best = self.spread(id, &current, lag);
        let crowded = best.is_none_or(|best| is_crowded(best.backend.slots, best.cost));
        // An older version must not begin late: a request for it goes only where it need not wait.
        let older = outdated.iter().filter(|old| old.version >= oldest);
        let older = older.filter(|old| !is_crowded(old.backend.slots, old.cost));
        let older: Vec<Holder> = older.filter(|_| crowded).cloned().collect();
        if let Some(old) = self.spread(id, &older, lag) {
            self.demand.missed(key);
            self.wish(job, key, Where::Anywhere);
            return Some(chosen(job, old, usable));
        }
        let best = best?;
        if self.needs_copy(job, key, best.backend.slots, best.cost) {
            self.wish(job, key, Where::Anywhere);
        } else if self.needs_near_copy(key, &current) {
            self.wish(job, key, Where::Near);
        }
        Some(chosen(job, best, usable))
    }

    /// The untried servers that hold an adapter, those with the newest version and the others; the
    /// cheapest first.
    fn holders(
        &self,
        job: &Job<'_>,
        key: &AdapterKey,
        newest: u64,
        takes: Takes,
    ) -> (Vec<Holder>, Vec<Holder>) {
        let now = self.clock.now();
        let view = self.view.borrow();
        let holders = view.adapter_locations.holders(now, key).into_iter();
        let untried = holders.filter_map(|(id, version)| {
            let backend = view.backend(&id)?;
            let cut = self.loads.is_hall_silent(&backend.hall);
            let open = takes(&view, now, backend) && !cut && self.may_serve(job, backend);
            let cost = cost(now, &self.loads, &self.locality, backend);
            let holder = Holder { backend: backend.clone(), cost, version };
            (open && !job.is_excluded(&backend.id)).then_some(holder)
        });
        let mut sorted: Vec<Holder> = untried.collect();
        sorted.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        sorted.into_iter().partition(|holder| holder.version >= newest)
    }

    /// Another untried server that could serve the request as well as those `asked`: the better of
    /// two.
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
        let (mut current, _) = self.holders(job, &key, newest, takes_all);
        current.retain(|holder| !asked.contains(&holder.backend.id));
        let other = self.spread(&job.request.meta.id, &current, self.loads_are_delayed.get())?;
        Some(chosen(job, other, usable))
    }

    /// True if a server that was chosen a while ago still takes the request, with the version that was
    /// chosen then: in the wait its grace may have ended, and it must not begin late.
    pub(super) fn still_takes(&self, job: &Job<'_>, choice: &Choice) -> bool {
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

    /// True if an adapter is asked for so much that a much idler server should have it as well.
    fn needs_copy(&self, job: &Job<'_>, key: &AdapterKey, slots: usize, cost_here: f64) -> bool {
        if !is_crowded(slots, cost_here) {
            return false;
        }
        let now = self.clock.now();
        let view = self.view.borrow();
        let open = self.candidates(&view, job);
        let costs = open.map(|backend| cost(now, &self.loads, &self.locality, backend));
        let idlest = costs.fold(f64::MAX, f64::min);
        is_copy_worthwhile(slots, cost_here, idlest, self.demand.asks(now, key))
    }

    /// True if only servers of other regions hold an adapter that is asked for again and again here.
    fn needs_near_copy(&self, key: &AdapterKey, holders: &[Holder]) -> bool {
        let far = holders.iter().all(|holder| self.locality.is_remote(&holder.backend.hall));
        far && is_local_copy_worthwhile(self.demand.asks(self.clock.now(), key))
    }

    /// The first of some holders, which come with the cheapest first; where loads are known late, the
    /// better of two that are chosen at random among those that are not in trouble.
    fn spread<'a>(
        &self,
        id: &str,
        holders: &'a [Holder],
        loads_are_delayed: bool,
    ) -> Option<&'a Holder> {
        let offer =
            |holder: &Holder| ScoredServer::new(holder.cost, &self.locality, &holder.backend);
        let offers = || holders.iter().map(offer).collect::<Vec<ScoredServer>>();
        let at = if loads_are_delayed { better_of_two(id, &offers()) } else { 0 };
        holders.get(at)
    }

    /// True if a server is left that was not tried.
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

    /// A server that turned a request for an adapter away does not hold it, or not that version.
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
        view.adapter_locations.record_rejection(now, &key, server, version, now + FOUND_HOLDS);
    }
}

/// Whether a server takes a request, as the view tells it.
type Takes = fn(&FleetView, Time, &Backend) -> bool;

/// A server that takes new work of any kind.
fn takes_all(view: &FleetView, _: Time, server: &Backend) -> bool {
    view.is_open(server)
}

/// An adapter that is wished for.
struct Wanted<'a> {
    service: &'a str,
    key: &'a AdapterKey,
    /// Requests besides those that missed it.
    requests: u16,
    at: Where,
}

/// Where an adapter is wished for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Where {
    /// At its home.
    Anywhere,
    /// At its home in this region, beside copies in others.
    Near,
}

/// A server that holds an adapter.
#[derive(Debug, Clone)]
struct Holder {
    backend: Rc<Backend>,
    /// What a request would cost there.
    cost: f64,
    /// The adapter's version there.
    version: u64,
}

/// A holder as a request's choice, with the reasons kept for the request's log line.
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

/// How long a request may wait for its adapter before its caller gives up.
pub(super) fn patience(route: &Route) -> Duration {
    let gaps = route.gap_objective.unwrap_or_default() * 8;
    let silence = SILENCE_FLOOR.max(route.objective * 4).max(gaps);
    silence.mul_f64(SILENCE_SHARE).min(route.timeout / 2)
}

fn not_loaded(retry_after: Duration) -> Refused {
    Refused::new(RefusalReason::NotLoaded, Some(retry_after))
}
