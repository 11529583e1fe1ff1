//! Handles completion requests.

use super::answer::Answer;
use super::callers::refuse;
use super::core::Core;
use super::key::ClaimedKey;
use super::prompt::Prompt;
use super::reservation::Reservation;
use super::resolve::resolve;
use super::sink::Sink;
use crate::engine::{Call, ChunkCheck, ChunkStream, Endpoint, OpenError, ResumeError};
use crate::http::{self, Meta, Reply, headers, read_body};
use crate::reserve::Spec;
use crate::router::Wanted;
use crate::types::{AdapterVersion, EngineName, InFlightGuard, Reason, Refusal, Run, Time};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{HttpMessage, Request, StatusCode};
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::channel;

/// Largest pause between two parts of a caller's body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Chunks buffered for a slow caller before backpressure applies to its stream.
const CHUNK_BUFFER: usize = 64;
/// Largest number of attempts to resume a broken stream.
const MAX_RESUMES: u32 = 3;
/// Pause before the first attempt to resume; grows with each further attempt.
const RESUME_PAUSE: Duration = Duration::from_millis(100);
/// Service of requests that do not name one.
const DEFAULT_SERVICE: &str = "default";

/// A validated request. Adapter and version are resolved once and do not change.
struct Completion {
    core: Rc<Core>,
    endpoint: Endpoint,
    prompt: Prompt,
    adapter: AdapterVersion,
    wanted: Wanted,
    deadline: Time,
    arrived: Time,
    waited: Rc<Cell<Duration>>,
    at_most_once: bool,
    /// Service and idempotency key, until the key is claimed.
    key: Option<(String, String)>,
    claimed_key: Option<ClaimedKey>,
    _in_flight: InFlightGuard,
}

/// Answers `POST /v1/chat/completions` and `/v1/completions`.
pub async fn complete(core: Rc<Core>, endpoint: Endpoint, mut request: Request) -> Reply {
    let in_flight = core.in_flight.enter();
    match Completion::prepare(&core, endpoint, &mut request, in_flight).await {
        Ok(completion) => completion.answer().await,
        Err(refusal) => refuse(&core, &refusal),
    }
}

impl Completion {
    async fn prepare(
        core: &Rc<Core>,
        endpoint: Endpoint,
        request: &mut Request,
        in_flight: InFlightGuard,
    ) -> Result<Self, Refusal> {
        let arrived = core.now();
        let meta = Meta::parse(request.headers())?;
        let service = meta.service.clone().unwrap_or_else(|| DEFAULT_SERVICE.to_owned());
        let settings = core.effective(Some(&service));
        let body = read_body(request, settings.body_limit(), BODY_READ_TIMEOUT).await?;
        let prompt = Prompt::parse(endpoint, &body)?;
        let wanted = resolve(core, &prompt, &meta, &service)?;
        let deadline = arrived + meta.deadline.unwrap_or_else(|| settings.deadline());
        // Its deadline bounds the start of a completion only.
        core.check_stop(None)?;
        core.retries.borrow_mut().record_request();
        Ok(Self {
            core: core.clone(),
            endpoint,
            prompt,
            adapter: wanted.adapter.clone(),
            wanted,
            deadline,
            arrived,
            waited: Rc::default(),
            at_most_once: meta.repeatable == Some(false) || meta.key.is_some(),
            key: meta.key.map(|key| (service, key)),
            claimed_key: None,
            _in_flight: in_flight,
        })
    }

    async fn answer(self) -> Reply {
        match self.prompt.stream {
            true => self.answer_stream().await,
            false => self.answer_whole().await,
        }
    }

    /// Streams the response. The head is sent only with the first chunk, so that an earlier refusal
    /// can still be sent as a refusal.
    async fn answer_stream(self) -> Reply {
        let (core, waited) = (self.core.clone(), self.waited.clone());
        let (sender, mut receiver) = channel::<Result<Bytes, std::io::Error>>(CHUNK_BUFFER);
        let (refused, refusal) = tokio::sync::oneshot::channel();
        actix_rt::spawn(async move {
            let mut sink = Sink::Stream { sender, forwarded: false };
            if let Err(refusal) = self.run(&mut sink).await {
                sink.fail(refusal, refused).await;
            }
        });
        match receiver.recv().await {
            Some(first) => {
                let rest = futures_util::stream::unfold(receiver, |mut receiver| async move {
                    Some((receiver.recv().await?, receiver))
                });
                let first = futures_util::stream::once(async { first });
                let reply = http::events(futures_util::StreamExt::chain(first, rest));
                with_wait(reply, waited.get())
            }
            None => match refusal.await {
                Ok(refusal) => refuse(&core, &refusal),
                Err(_) => refuse(&core, &lost()),
            },
        }
    }

    async fn answer_whole(self) -> Reply {
        let (core, waited) = (self.core.clone(), self.waited.clone());
        let mut sink = Sink::Whole(Answer::new(self.endpoint));
        match (self.run(&mut sink).await, sink) {
            (Ok(()), Sink::Whole(answer)) => {
                with_wait(http::json(StatusCode::OK, &answer.finish()), waited.get())
            }
            (Err(refusal), _) => refuse(&core, &refusal),
            (Ok(()), Sink::Stream { .. }) => refuse(&core, &lost()),
        }
    }

    /// Runs the request and settles its idempotency key.
    async fn run(mut self, sink: &mut Sink) -> Result<(), Refusal> {
        let result = self.attempts(sink).await;
        let end = match &result {
            Ok(()) => "done",
            Err(refusal) if refusal.run == Run::No => "refused",
            Err(_) => "failed",
        };
        self.core.metrics.requests.with_label_values(&[end]).inc();
        if let Some(key) = self.claimed_key.take() {
            key.settle(&self.core, result.as_ref().err().map(|refusal| refusal.run));
        }
        result
    }

    /// Tries engines until one completes, as long as the request may be repeated.
    async fn attempts(&mut self, sink: &mut Sink) -> Result<(), Refusal> {
        let mut lost_before = false;
        loop {
            let spec = Spec { wanted: self.wanted.clone(), deadline: self.deadline };
            let mut reservation = Reservation::request(&self.core, spec);
            let (engine, error) = match self.attempt(&mut reservation, sink).await {
                Ok(AttemptOutcome::Whole) => return Ok(()),
                Ok(AttemptOutcome::Lost(engine, error)) => (engine, error),
                Err(refusal) if lost_before => return Err(refusal.after_a_run()),
                Err(refusal) => return Err(refusal),
            };
            lost_before = true;
            reservation.cancel().await;
            sink.restart(self.endpoint);
            let may_repeat = !self.at_most_once && !sink.forwarded();
            if !may_repeat || !self.core.retries.borrow_mut().take() {
                return Err(error);
            }
            self.core.metrics.retries.with_label_values(&["engine"]).inc();
            self.wanted.tried.push(engine);
        }
    }

    /// Waits for a grant, opens the stream at that engine and forwards it.
    async fn attempt(
        &mut self,
        reservation: &mut Reservation,
        sink: &mut Sink,
    ) -> Result<AttemptOutcome, Refusal> {
        loop {
            let grant = reservation.granted().await?;
            if let Err(refusal) = self.claim_key().await {
                reservation.finish(true);
                return Err(refusal);
            }
            let Some(server) = self.core.server(&grant.engine) else {
                reservation.not_run();
                continue;
            };
            let call = Call {
                endpoint: self.endpoint,
                id: grant.id,
                adapter: self.adapter.clone(),
                class: self.wanted.class,
                fence: grant.fence,
                body: self.prompt.for_engine(&self.adapter),
            };
            if self.core.now() >= grant.start_by {
                reservation.not_run();
                continue;
            }
            match self.core.engines.open(&server.address, &call).await {
                Ok(stream) => {
                    let waited = self.core.now().since(self.arrived);
                    self.core.metrics.start_wait.observe(waited.as_secs_f64());
                    self.waited.set(waited);
                    let passed = self.forward_chunks(stream, &server.address, sink).await;
                    return Ok(match passed {
                        StreamOutcome::Whole => {
                            reservation.finish(true);
                            AttemptOutcome::Whole
                        }
                        StreamOutcome::CallerGone => {
                            reservation.cancel().await;
                            AttemptOutcome::Whole
                        }
                        StreamOutcome::Broken => AttemptOutcome::Lost(grant.engine, lost()),
                    });
                }
                Err(OpenError::Missing) => {
                    self.core.metrics.retries.with_label_values(&["missing"]).inc();
                    reservation.missing();
                }
                Err(OpenError::NotRun { why }) => {
                    log::info!(engine = grant.engine.as_str(), why = why.as_str(); "not-run");
                    self.core.metrics.retries.with_label_values(&["not-run"]).inc();
                    reservation.not_run();
                }
                Err(OpenError::Rejected { why }) => {
                    reservation.finish(true);
                    return Err(Refusal::not_run(Reason::BackendRefused, why));
                }
                Err(OpenError::Unknown { why }) => {
                    let refusal = Refusal::unknown(Reason::BackendLost, why);
                    return Ok(AttemptOutcome::Lost(grant.engine, refusal));
                }
            }
        }
    }

    /// Claims the key only after the reservation is granted, so that it is used soon after.
    async fn claim_key(&mut self) -> Result<(), Refusal> {
        if let Some((service, key)) = self.key.take() {
            self.claimed_key = Some(ClaimedKey::claim(&self.core, &service, &key).await?);
        }
        match &self.claimed_key {
            Some(key) => key.check(&self.core),
            None => Ok(()),
        }
    }

    /// Forwards chunks. A broken stream is resumed only at the same engine.
    async fn forward_chunks(
        &self,
        mut stream: ChunkStream,
        address: &str,
        sink: &mut Sink,
    ) -> StreamOutcome {
        let mut resumes = 0;
        loop {
            match stream.next().await {
                Ok(chunk) if chunk.is_end() => {
                    self.core.metrics.chunks_dropped.inc_by(stream.dropped());
                    return if sink.end().await {
                        StreamOutcome::Whole
                    } else {
                        StreamOutcome::CallerGone
                    };
                }
                Ok(chunk) => {
                    if !sink.push(chunk).await {
                        return StreamOutcome::CallerGone;
                    }
                }
                Err(_) => {
                    self.core.metrics.chunks_dropped.inc_by(stream.dropped());
                    let resumed = self.resume(address, stream.into_check(), &mut resumes).await;
                    let Some(resumed) = resumed else { return StreamOutcome::Broken };
                    stream = resumed;
                }
            }
        }
    }

    /// Reopens the stream where it broke, unless the engine no longer knows the request.
    async fn resume(
        &self,
        address: &str,
        check: ChunkCheck,
        resumes: &mut u32,
    ) -> Option<ChunkStream> {
        while *resumes < MAX_RESUMES {
            *resumes += 1;
            self.core.metrics.retries.with_label_values(&["resume"]).inc();
            actix_rt::time::sleep(RESUME_PAUSE * *resumes).await;
            match self.core.engines.resume(address, check.clone()).await {
                Ok(stream) => return Some(stream),
                Err(ResumeError::Gone) => return None,
                Err(ResumeError::Lost) => {}
            }
        }
        None
    }
}

/// The outcome of one attempt.
enum AttemptOutcome {
    Whole,
    Lost(EngineName, Refusal),
}

/// How the forwarding of a stream ended.
enum StreamOutcome {
    Whole,
    CallerGone,
    Broken,
}

/// Adds the header with the time from arrival to start.
fn with_wait(mut reply: Reply, waited: Duration) -> Reply {
    let name = HeaderName::from_static(headers::WAIT);
    let value = HeaderValue::from(waited.as_millis() as u64);
    reply.headers_mut().insert(name, value);
    reply
}

fn lost() -> Refusal {
    Refusal::unknown(Reason::BackendLost, "the engine was lost before the answer was whole")
}
