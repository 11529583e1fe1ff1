//! Chooses the server of a request, and waits for its adapter where that is worth it.

use super::backend::Backend;
use super::caller::{RefusalReason, Refused};
use super::choose::{cheapest, cost};
use super::config::Route;
use super::dialect::AdapterKey;
use super::holdings::Presence;
use super::path::{Choice, Job, RequestPath};
use crate::types::Time;
use std::rc::Rc;
use std::time::Duration;

/// A newer version may still be missing at a server for this long after it became known.
const VERSION_GRACE: Duration = Duration::from_millis(2_500);
/// Of its objective, a request waits this share for a sign that its adapter is coming.
const SIGN_SHARE: f64 = 0.22;
/// Callers give a silent stream up after this at the earliest.
const SILENCE_FLOOR: Duration = Duration::from_secs(2);
/// Of the time after which a caller gives up, this share is used for waiting.
const SILENCE_SHARE: f64 = 0.7;
/// Added to the time at which an adapter is expected.
const EXPECTED_SLACK: Duration = Duration::from_millis(250);
/// When to come back for an adapter that nobody is loading.
const NOT_LOADED_RETRY: Duration = Duration::from_millis(1_500);
/// When to come back while no server takes work.
const NO_SERVER_RETRY: Duration = Duration::from_millis(500);
/// What this daemon found out by itself outweighs the list for this long.
const FOUND_HOLDS: Duration = Duration::from_millis(700);

impl RequestPath {
    /// A server for the next try.
    pub(super) async fn choose(&self, job: &Job<'_>) -> Result<Choice, Refused> {
        if job.model().is_none() {
            return self.choose_plain(job);
        }
        match job.adapter() {
            None => self.choose_base(job),
            Some(key) => self.choose_adapter(job, &key).await,
        }
    }

    fn choose_plain(&self, job: &Job<'_>) -> Result<Choice, Refused> {
        let view = self.view.borrow();
        let open = view.open_backends(&job.service.name);
        self.best(job, open).ok_or_else(no_server)
    }

    fn choose_base(&self, job: &Job<'_>) -> Result<Choice, Refused> {
        let view = self.view.borrow();
        let model = job.model().map(|model| model.model.clone()).unwrap_or_default();
        let open = view.open_backends(&job.service.name);
        let holding = open.filter(|backend| backend.model(&model).is_some());
        self.best(job, holding).ok_or_else(no_server)
    }

    fn best<'a>(
        &self,
        job: &Job<'_>,
        open: impl Iterator<Item = &'a Rc<Backend>>,
    ) -> Option<Choice> {
        let backend = cheapest(self.clock.now(), &self.loads, &self.hall, &job.tried, open)?;
        Some(Choice { backend, adapter_version: None })
    }

    async fn choose_adapter(&self, job: &Job<'_>, key: &AdapterKey) -> Result<Choice, Refused> {
        if let Some(choice) = self.holder(job, key) {
            if job.sends == 0 {
                self.demand.hit(key);
            }
            return Ok(choice);
        }
        self.demand.miss(key);
        let arrived = job.request.arrived;
        let sign_by = arrived + job.route.objective.mul_f64(SIGN_SHARE);
        let give_up = arrived + patience(&job.route);
        loop {
            let expected = self.view.borrow().holdings.expected(self.clock.now(), key);
            let until = match expected {
                Some(at) => (at + EXPECTED_SLACK).min(give_up),
                None => sign_by.min(give_up),
            };
            let now = self.clock.now();
            if now >= until {
                return Err(Refused::new(RefusalReason::NotLoaded, Some(NOT_LOADED_RETRY)));
            }
            let changed = self.changed.notified();
            let _ = actix_rt::time::timeout(until.since(now), changed).await;
            if let Some(choice) = self.holder(job, key) {
                return Ok(choice);
            }
        }
    }

    /// The cheapest server that holds the adapter at a version still allowed.
    fn holder(&self, job: &Job<'_>, key: &AdapterKey) -> Option<Choice> {
        let now = self.clock.now();
        let view = self.view.borrow();
        let named = view.named_version(key);
        let in_grace = named.is_some_and(|named| now.since(named.learned_at) < VERSION_GRACE);
        let newest = named.map_or(1, |named| named.version);
        let allowed = |version: u64| version >= newest || in_grace;
        let holders = view.holdings.holders(now, key);
        let usable = holders.into_iter().filter(|(_, version)| allowed(*version));
        let candidates = usable.filter_map(|(id, version)| {
            let backend = view.backend(&id)?;
            let open = !backend.draining && backend.service == job.service.name;
            let fresh = open && !job.tried.contains(&backend.id);
            fresh.then(|| (backend.clone(), version))
        });
        let best = candidates.min_by(|(a, _), (b, _)| {
            let a = cost(now, &self.loads, &self.hall, a);
            a.total_cmp(&cost(now, &self.loads, &self.hall, b))
        })?;
        let (backend, version) = best;
        let current = named.is_some() && version >= newest;
        Some(Choice { backend, adapter_version: current.then_some(version) })
    }

    /// True if a server is left that was not tried.
    pub(super) fn has_untried(&self, job: &Job<'_>) -> bool {
        match job.adapter() {
            Some(_) if job.model().is_some() => true,
            _ => {
                let view = self.view.borrow();
                let mut open = view.open_backends(&job.service.name);
                open.any(|backend| !job.tried.contains(&backend.id))
            }
        }
    }

    /// A server that turned a request for an adapter away does not hold it, or not that version.
    pub(super) fn note_turned_away(&self, job: &Job<'_>, server: &Rc<str>, status: u16) {
        let Some(key) = job.adapter().filter(|_| status == 421) else { return };
        let until: Time = self.clock.now() + FOUND_HOLDS;
        let mut view = self.view.borrow_mut();
        view.holdings.notice(&key, server, Presence::Absent, until);
    }
}

/// How long a request may wait for its adapter before its caller gives up.
fn patience(route: &Route) -> Duration {
    let gaps = route.gap_objective.unwrap_or_default() * 8;
    let silence = SILENCE_FLOOR.max(route.objective * 4).max(gaps);
    silence.mul_f64(SILENCE_SHARE).min(route.timeout / 2)
}

fn no_server() -> Refused {
    Refused::new(RefusalReason::NoServer, Some(NO_SERVER_RETRY))
}
