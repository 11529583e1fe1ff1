//! Requests that take a stream up again.

use super::origin::{Origin, StreamKey};
use super::origin_table::KnownOrigin;
use super::resolver::OriginSource;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::config::RouteKind;
use crate::gateway::requests::caller::{RefusalReason, Refused};
use crate::gateway::requests::handler::RequestHandler;
use crate::gateway::requests::job::Job;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// In logs and metrics, a stream whose origin nobody knows.
const UNKNOWN: &str = "unknown";
/// In logs and metrics, a stream that no server may go on with.
const NO_SERVER: &str = "no_server";
/// Retry delay if nobody knows where a stream began: whoever does may be unreachable for a moment.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);
/// Retry delay if no server of a stream's software version is left, until one may have restarted.
const NO_SOFTWARE_RETRY: Duration = Duration::from_millis(1_000);

/// The origin of a stream that is taken up again.
struct FoundOrigin {
    origin: Rc<Origin>,
    source: OriginSource,
    /// Time since the stream began, if that is known.
    age: Option<Duration>,
}

impl RequestHandler {
    /// Finds out where the stream that a request takes up again began, so that it goes on only at
    /// servers of that version. Any other request is left as it is.
    pub(in crate::gateway) async fn resume(&self, job: &mut Job<'_>) -> Result<(), Refused> {
        if job.route.kind != RouteKind::Stream || job.request.last_event.is_none() {
            return Ok(());
        }
        let found = self.find_origin(job).await;
        match &found {
            None => {
                self.record_taken_up(job, None, UNKNOWN);
                Err(Refused::new(RefusalReason::UnknownOrigin, Some(UNKNOWN_RETRY)))
            }
            Some(found) if !self.can_go_on(job, &found.origin) => {
                self.record_taken_up(job, Some(found), NO_SERVER);
                Err(Refused::new(RefusalReason::NoSoftware, Some(NO_SOFTWARE_RETRY)))
            }
            Some(found) => {
                self.record_taken_up(job, Some(found), found.source.name());
                self.fix_origin(job, found.origin.clone());
                Ok(())
            }
        }
    }

    /// Logs and counts a stream that is taken up again.
    fn record_taken_up(&self, job: &Job<'_>, found: Option<&FoundOrigin>, outcome: &str) {
        self.origins.count(outcome);
        let age = found.and_then(|found| found.age);
        log::info!(
            request = &*job.request.meta.id,
            resumes = job.request.meta.resumes.as_deref().unwrap_or_default(),
            service = found.map_or("", |found| &*found.origin.service),
            software = found.map_or("", |found| &*found.origin.software),
            source = found.map_or("", |found| found.source.name()),
            age_ms = age.map_or(-1, |age| age.as_millis() as i64),
            outcome = outcome;
            "stream_taken_up"
        );
    }

    async fn find_origin(&self, job: &Job<'_>) -> Option<FoundOrigin> {
        if let Some(attempt) = &job.request.meta.resumes {
            match self.origins.find(job.stream_key(attempt)).await {
                Some((KnownOrigin::At(origin, age), source)) => {
                    return Some(FoundOrigin { origin, source, age: Some(age) });
                }
                Some((KnownOrigin::Conflicting, _)) => return None,
                None => {}
            }
        }
        let origin = Rc::new(self.sole_origin(job)?);
        Some(FoundOrigin { origin, source: OriginSource::SoleVersion, age: None })
    }

    /// The only origin that the stream of a request can have, if there is just one.
    fn sole_origin(&self, job: &Job<'_>) -> Option<Origin> {
        let [target] = &job.route.targets[..] else { return None };
        let now = self.clock.now();
        let view = self.view.borrow();
        let servers = view.backends().filter(|backend| backend.service == target.service);
        let listed: BTreeSet<Rc<str>> = servers.map(|backend| backend.software.clone()).collect();
        let registry = self.origins.registry.borrow();
        registry.sole_origin(now, &target.service, self.proof.age(now), &listed)
    }

    /// Whether some server may go on with a stream, under the route in force.
    fn can_go_on(&self, job: &Job<'_>, origin: &Origin) -> bool {
        let mut targets = job.route.targets.iter();
        let is_routed = targets.any(|target| target.service == origin.service);
        let view = self.view.borrow();
        is_routed && view.open_backends(&origin.service).any(|backend| origin.permits(backend))
    }

    fn fix_origin(&self, job: &mut Job<'_>, origin: Rc<Origin>) {
        let service = self.view.borrow().service(&origin.service).cloned();
        if let Some(service) = service {
            job.service = service;
        }
        let _ = job.origin.set(origin);
    }

    /// Records that the first event of a request's stream is about to be sent to its caller. From now
    /// on the stream goes on only at servers of the same software version.
    pub(in crate::gateway) fn record_first_event(&self, job: &Job<'_>, backend: &Backend) {
        job.progress.record_first_event(&backend.software);
        if job.origin.get().is_some() {
            return;
        }
        let origin = Rc::new(Origin::of(backend));
        self.origins.began(job.stream_key(&job.request.meta.id), &origin);
        let _ = job.origin.set(origin);
    }

    /// Whether a server's software version may serve a request: the one that began its stream, or one
    /// at which streams may begin.
    pub(in crate::gateway) fn permits_software(&self, job: &Job<'_>, backend: &Backend) -> bool {
        if let Some(origin) = job.origin.get() {
            return origin.permits(backend);
        }
        let begins_stream = job.route.kind == RouteKind::Stream && job.route.resumable;
        let may_begin =
            || self.origins.registry.borrow().may_begin(&backend.service, &backend.software);
        !begins_stream || may_begin()
    }
}

impl Job<'_> {
    /// The key of the stream that an attempt of this request's caller began.
    fn stream_key(&self, attempt: &str) -> StreamKey {
        StreamKey::of(&self.fingerprint_input(), attempt)
    }
}
