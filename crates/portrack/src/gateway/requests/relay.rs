//! Forwards responses of servers to the caller.

use super::caller::{ReplyHead, ReplySink};
use super::completeness::{Incomplete, ServerAfterClose, check_events, check_server};
use super::events::EventSplitter;
use super::exchange::ServerResponse;
use super::job::Job;
use crate::gateway::connections::connection::{BodyChunk, ExchangeError};
use crate::gateway::connections::response::ResponseHead;
use crate::gateway::fleet::config::{Route, RouteKind};
use crate::http1::bounds::MAX_EVENT_BYTES;
use actix_http::StatusCode;
use actix_http::header::CONTENT_TYPE;

/// Outcome of forwarding a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The caller has received the complete response.
    Complete(u16),
    /// The server failed the request, which may be sent to another one.
    Failed(u16),
    /// The response is not acceptable.
    Invalid(String),
    /// The response was interrupted.
    Interrupted(ExchangeError),
    /// The caller has disconnected.
    CallerGone,
}

/// What a relay tells and asks while it forwards a response.
pub struct RelayHooks<C, B, L> {
    /// Called for each chunk that arrives.
    pub on_chunk: C,
    /// Called before events of a resumable stream are sent to the caller.
    pub before_events: B,
    /// Looks at the server after it has closed the connection, as a crash may have closed it.
    pub look_after_close: L,
}

/// One reply to a caller, possibly assembled from the responses of several servers.
#[derive(Debug)]
pub struct Relay {
    started: bool,
    events: EventSplitter,
    /// The stream may go on at another server after the last event that was forwarded.
    resumable: bool,
    /// Bytes of response bodies received from servers since the last [`Self::take_received_bytes`].
    received_bytes: usize,
}

impl Relay {
    /// Creates a relay for a request on a route.
    pub fn new(route: &Route) -> Self {
        let resumable = route.kind == RouteKind::Stream && route.resumable;
        let events = match resumable {
            true => EventSplitter::complete_only(),
            false => EventSplitter::default(),
        };
        Self { started: false, events, resumable, received_bytes: 0 }
    }

    /// Whether the head of a reply has been sent to the caller.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Takes the number of bytes received since the last call.
    pub fn take_received_bytes(&mut self) -> usize {
        std::mem::take(&mut self.received_bytes)
    }

    /// Whether the last stream of events ended inside one.
    pub fn is_event_cut(&self) -> bool {
        !self.events.is_between_events()
    }

    /// The id of the last forwarded event.
    pub fn last_event(&self) -> Option<&str> {
        self.events.last_id()
    }

    /// Forwards a response.
    pub async fn forward(
        &mut self,
        job: &Job<'_>,
        response: ServerResponse,
        sink: &mut impl ReplySink,
        hooks: &RelayHooks<impl Fn(), impl Fn(), impl AsyncFn() -> ServerAfterClose>,
    ) -> RelayOutcome {
        let status = response.head.status;
        if status.is_success() && !response.head.meta.signed {
            return RelayOutcome::Invalid("unsigned response".into());
        }
        if self.started && !status.is_success() {
            return RelayOutcome::Invalid(format!("status {status} while resuming"));
        }
        if implies_not_run(status) && !job.route.repeatable() {
            return RelayOutcome::Invalid(format!(
                "status {status} without confirmation that the request was not run"
            ));
        }
        let may_retry = job.route.repeatable() && job.possible_runs < job.route.attempts;
        if status.is_server_error() && may_retry {
            response.skip().await;
            return RelayOutcome::Failed(status.as_u16());
        }
        if job.route.kind == RouteKind::Stream && status.is_success() {
            let continues = job.last_event.is_some();
            return self.forward_stream(response, sink, continues, hooks).await;
        }
        self.forward_collected(response, sink, &hooks.look_after_close).await
    }

    async fn forward_collected(
        &mut self,
        mut response: ServerResponse,
        sink: &mut impl ReplySink,
        look_after_close: &impl AsyncFn() -> ServerAfterClose,
    ) -> RelayOutcome {
        let collected = match response.collect().await {
            Ok(collected) => collected,
            Err(error) => return RelayOutcome::Interrupted(error),
        };
        if let Err(why) = check_server(collected.end, look_after_close).await {
            return interrupted(why);
        }
        let body = collected.bytes.clone();
        self.received_bytes += body.len();
        let status = response.head.status.as_u16();
        let head = reply_head(&response.head, Some(body.len() as u64));
        response.finish();
        self.started = true;
        let written = async {
            sink.head(head).await?;
            sink.chunk(body).await?;
            sink.finish().await
        };
        match written.await {
            Ok(()) => RelayOutcome::Complete(status),
            Err(_) => RelayOutcome::CallerGone,
        }
    }

    async fn forward_stream(
        &mut self,
        mut response: ServerResponse,
        sink: &mut impl ReplySink,
        continues: bool,
        hooks: &RelayHooks<impl Fn(), impl Fn(), impl AsyncFn() -> ServerAfterClose>,
    ) -> RelayOutcome {
        let status = response.head.status.as_u16();
        if !self.started {
            let head = reply_head(&response.head, None);
            self.started = true;
            if sink.head(head).await.is_err() {
                return RelayOutcome::CallerGone;
            }
        }
        self.events.begin_response();
        let end = loop {
            let chunk = match response.next_chunk().await {
                Ok(BodyChunk::Part(chunk)) => chunk,
                Ok(BodyChunk::End(end)) => break end,
                Err(error) => return RelayOutcome::Interrupted(error),
            };
            (hooks.on_chunk)();
            self.received_bytes += chunk.len();
            let part = self.events.push(chunk);
            if self.events.held_bytes() > MAX_EVENT_BYTES {
                return interrupted(Incomplete::EventTooLong);
            }
            let Some(part) = part else { continue };
            if self.resumable {
                (hooks.before_events)();
            }
            if sink.chunk(part).await.is_err() {
                return RelayOutcome::CallerGone;
            }
        };
        if is_event_stream(&response.head)
            && let Err(why) = check_events(end, &self.events, continues)
        {
            return interrupted(why);
        }
        if let Err(why) = check_server(end, &hooks.look_after_close).await {
            return interrupted(why);
        }
        response.finish();
        let rest = self.events.take_rest();
        if !rest.is_empty() && sink.chunk(rest).await.is_err() {
            return RelayOutcome::CallerGone;
        }
        match sink.finish().await {
            Ok(()) => RelayOutcome::Complete(status),
            Err(_) => RelayOutcome::CallerGone,
        }
    }
}

fn interrupted(why: Incomplete) -> RelayOutcome {
    RelayOutcome::Interrupted(ExchangeError::Lost { why: why.to_string() })
}

/// Statuses from which a caller may conclude that its request was not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Whether a response is a stream of events; some servers do not state its type.
fn is_event_stream(head: &ResponseHead) -> bool {
    let mut types = head.headers.iter().filter(|(name, _)| *name == CONTENT_TYPE);
    types.all(|(_, value)| value.as_bytes().starts_with(b"text/event-stream"))
}

fn reply_head(head: &ResponseHead, length: Option<u64>) -> ReplyHead {
    ReplyHead { status: head.status, headers: head.headers.clone(), length }
}
