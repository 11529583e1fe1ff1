//! Serves the connections of callers: accepting, refusals while stopping, metrics and the request log.

use super::caller::{CallerRequest, Refused};
use super::ingress::{ConnectionHost, ReplyWriter, serve_connection};
use super::job::{Progress, RequestOutcome, RequestRecord};
use crate::gateway::admission::OrganisationHash;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::dialect::{Dialect, ModelRequest};
use crate::gateway::fleet::config::{CallerLimits, RouteKind};
use crate::gateway::fleet::versions::VersionFields;
use crate::http1::framing::Framing;
use crate::types::{Clock, InFlightGuard};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Counts and logs a request on drop, also if its caller disconnects before the end.
struct RequestAccounting<'a> {
    daemon: &'a GatewayDaemon,
    request: &'a CallerRequest,
    progress: Progress,
    record: Option<RequestRecord>,
}

impl GatewayDaemon {
    /// Accepts connections of callers forever.
    pub async fn accept_callers(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let daemon = self.clone();
                    actix_rt::spawn(async move { serve_connection(&*daemon, stream).await });
                }
                Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }
}

impl ConnectionHost for GatewayDaemon {
    fn limits(&self) -> CallerLimits {
        let view = self.handler.view.borrow();
        view.config().map(|config| config.limits.clone()).unwrap_or_default()
    }

    fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    fn dialect(&self) -> &dyn Dialect {
        &*self.dialect
    }

    fn is_stopping(&self) -> bool {
        self.stopping()
    }

    fn begin_receiving(&self) -> InFlightGuard {
        self.receiving.enter()
    }

    async fn idle_connections_closing(&self) {
        self.shutdown.until_idle_closes().await;
    }

    async fn serve(&self, request: CallerRequest, sink: &mut ReplyWriter<'_>) {
        let _in_flight = self.in_flight.enter();
        let mut accounting = RequestAccounting {
            daemon: self,
            request: &request,
            progress: Progress::default(),
            record: None,
        };
        let record = self.handler.serve(&request, sink, &accounting.progress).await;
        if let RequestOutcome::Refused(refused) = &record.end {
            let _ = sink.refuse(refused).await;
        }
        accounting.record = Some(record);
    }
}

impl Drop for RequestAccounting<'_> {
    fn drop(&mut self) {
        let daemon = self.daemon;
        let took = daemon.now().since(self.request.arrived);
        let kind = self.kind();
        let end = self.end();
        daemon.metrics.requests.with_label_values(&[kind, end]).inc();
        daemon.metrics.duration.with_label_values(&[kind]).observe(took.as_secs_f64());
        if let Some(organisation) = &*self.progress.organisation.borrow() {
            daemon.metrics.count_organisation(organisation, end);
        }
        if self.progress.version.get().is_some_and(|version| version.is_older()) {
            daemon.metrics.older_versions.inc();
        }
        let Some(record) = &self.record else {
            self.log_caller_gone(took);
            return;
        };
        daemon.metrics.resends.inc_by(record.sends.saturating_sub(1).into());
        self.log(record, end, took);
    }
}

impl RequestAccounting<'_> {
    /// Logs a request whose caller disconnected before the end.
    fn log_caller_gone(&self, took: Duration) {
        let route = self.progress.route.borrow();
        let server = self.progress.server.borrow();
        let version = VersionFields::from(self.progress.version.get());
        log::info!(
            request = &*self.request.meta.id,
            route = route.as_ref().map_or("", |route| &*route.name),
            end = "caller_gone",
            server = server.as_deref().unwrap_or_default(),
            software = self.software().as_ref(),
            began_software = self.first_event_software().as_ref(),
            resumes = self.resumes(),
            after_event = self.after_event(),
            via = self.carrier().as_str(),
            held_version = version.held,
            demanded_version = version.demanded,
            newest_version = version.newest,
            oldest_version = version.oldest,
            newest_ms = version.newest_ms,
            organisation = self.organisation().as_ref(),
            begun = self.progress.begun.get(),
            store_age_ms = self.daemon.store_age_ms(),
            took_ms = took.as_millis() as u64;
            "request"
        );
    }

    /// The software version of the server of the last try; empty if there was none.
    fn software(&self) -> Rc<str> {
        self.progress.software.borrow().clone().unwrap_or_default()
    }

    /// The software version at which this answer began; empty if it has no event.
    fn first_event_software(&self) -> Rc<str> {
        self.progress.first_event_software.borrow().clone().unwrap_or_default()
    }

    /// The attempt that began the stream which the request continues; empty if it names none.
    fn resumes(&self) -> &str {
        self.request.meta.resumes.as_deref().unwrap_or_default()
    }

    /// The event after which the caller continues its stream; empty if it names none.
    fn after_event(&self) -> &str {
        self.request.last_event.as_deref().unwrap_or_default()
    }

    /// The organisation that the request's key belongs to; empty if there is none.
    fn organisation(&self) -> Rc<str> {
        self.progress.organisation.borrow().clone().unwrap_or_default()
    }

    /// The fleet's traffic of the request's organisation in percent of its quota; -1 if unknown.
    fn quota_used_percent(&self) -> i64 {
        let organisation = self.progress.organisation.borrow();
        let hash = organisation.as_ref().map(|name| OrganisationHash::of(name));
        hash.map_or(-1, |hash| self.daemon.handler.quotas.used_percent(hash))
    }

    /// The request's fingerprint; empty unless a server has broken off or the request is held back.
    fn fingerprint(&self) -> String {
        self.progress
            .fingerprint
            .get()
            .map(|fingerprint| fingerprint.to_string())
            .unwrap_or_default()
    }

    /// The ids of the parts of the request's prompt, without the last one, which is its own; empty unless a
    /// server has broken off or the request is held back.
    fn suspect_parts(&self) -> String {
        if self.progress.fingerprint.get().is_none() {
            return String::new();
        }
        let model = self.request.meta.model.as_ref();
        let parts = model.map(ModelRequest::shared_parts).unwrap_or_default();
        let ids: Vec<String> = parts.iter().map(|(id, _)| format!("{id:x}")).collect();
        ids.join(",")
    }

    /// The daemon that the connection of the last try led through; empty if it was direct.
    fn carrier(&self) -> String {
        self.progress.carrier.get().map(|carrier| carrier.to_string()).unwrap_or_default()
    }

    fn kind(&self) -> &'static str {
        let route = self.progress.route.borrow();
        match route.as_ref().map(|route| route.kind) {
            Some(RouteKind::Repeatable) => "repeatable",
            Some(RouteKind::Once) => "once",
            Some(RouteKind::Stream) => "stream",
            None => "none",
        }
    }

    fn end(&self) -> &'static str {
        match self.record.as_ref().map(|record| &record.end) {
            Some(RequestOutcome::Answered(status)) if *status < 400 => "answered",
            Some(RequestOutcome::Answered(_)) => "answered_failure",
            Some(RequestOutcome::Refused(Refused { reason, .. })) => reason.name(),
            Some(RequestOutcome::Broken(_)) => "broken",
            Some(RequestOutcome::CallerGone) | None => "caller_gone",
        }
    }

    fn log(&self, record: &RequestRecord, end: &'static str, took: Duration) {
        let request = self.request;
        let status = match &record.end {
            RequestOutcome::Answered(status) => *status,
            RequestOutcome::Refused(refused) => refused.status.as_u16(),
            RequestOutcome::Broken(_) | RequestOutcome::CallerGone => 0,
        };
        let retry_after = match &record.end {
            RequestOutcome::Refused(refused) => refused.retry_after,
            _ => None,
        };
        let broken = match &record.end {
            RequestOutcome::Broken(why) => why.as_str(),
            _ => "",
        };
        let route = record.route.as_ref().map_or("", |route| &*route.name);
        let model = request.meta.model.as_ref();
        let timings = &self.progress.timings;
        let version = VersionFields::from(self.progress.version.get());
        let adapter = model.and_then(|model| model.adapter.as_deref()).unwrap_or_default();
        log::info!(
            request = &*request.meta.id,
            route = route,
            end = end,
            status = status,
            server = record.server.as_deref().unwrap_or_default(),
            software = self.software().as_ref(),
            began_software = self.first_event_software().as_ref(),
            resumes = self.resumes(),
            after_event = self.after_event(),
            adapter = adapter,
            adapter_state = record.adapter_note.as_str(),
            held_version = version.held,
            demanded_version = version.demanded,
            newest_version = version.newest,
            oldest_version = version.oldest,
            newest_ms = version.newest_ms,
            config = self.daemon.metrics.config_version.get(),
            store_age_ms = self.daemon.store_age_ms(),
            organisation = self.organisation().as_ref(),
            proof_age_ms = self.daemon.proof_age_ms(),
            quota_used_percent = self.quota_used_percent(),
            retry_after_ms = retry_after.map_or(-1, |after| after.as_millis() as i64),
            sends = record.sends,
            failure = record.last_failure.as_str(),
            broken = broken,
            mark = self.fingerprint().as_str(),
            parts = self.suspect_parts().as_str(),
            framing = self.progress.framing.get().map_or("", Framing::name),
            event_cut = self.progress.event_cut.get(),
            prompt_tokens = model.map_or(0, |model| model.prompt_tokens),
            via = self.carrier().as_str(),
            granter = self.progress.grant.granter_name().as_str(),
            grant_wait_ms = self.progress.grant.waited_ms(),
            grant_told_ms = self.progress.grant.told_ms(),
            sent_ms = timings.sent_ms(request.arrived),
            first_ms = timings.first_ms(request.arrived),
            pause_ms = timings.longest_pause().as_millis() as u64,
            took_ms = took.as_millis() as u64;
            "request"
        );
    }
}
