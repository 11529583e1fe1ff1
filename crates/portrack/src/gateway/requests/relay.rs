//! Hands a server's answer on to the caller.

use super::caller::{ReplyHead, ReplySink};
use super::events::EventSplitter;
use super::exchange::ServerResponse;
use super::job::Job;
use crate::gateway::connections::connection::ExchangeError;
use crate::gateway::connections::response::ResponseHead;
use crate::gateway::fleet::config::{Route, RouteKind};
use actix_http::StatusCode;

/// How handing an answer on went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayEnd {
    /// The caller has all of it.
    Whole(u16),
    /// The server failed the request, which may be sent elsewhere.
    Failed(u16),
    /// The server's answer is none.
    Unusable(String),
    /// The server's answer broke off.
    BrokenOff(ExchangeError),
    /// The caller is gone.
    CallerGone,
}

/// One answer to a caller, possibly pieced together from several servers.
#[derive(Debug)]
pub struct Relay {
    begun: bool,
    events: Option<EventSplitter>,
    /// Bytes of answers' bodies that servers sent.
    received: usize,
}

impl Relay {
    /// A relay for a request on this route.
    pub fn new(route: &Route) -> Self {
        let resumable = route.kind == RouteKind::Stream && route.resumable;
        Self { begun: false, events: resumable.then(EventSplitter::default), received: 0 }
    }

    /// True if the caller has the head of an answer.
    pub fn begun(&self) -> bool {
        self.begun
    }

    /// Takes the count of bytes that came since the last look.
    pub fn take_received(&mut self) -> usize {
        std::mem::take(&mut self.received)
    }

    /// The id of the last event handed on.
    pub fn last_event(&self) -> Option<&str> {
        self.events.as_ref().and_then(EventSplitter::last_id)
    }

    /// Hands an answer on; `heard` is told of each part that comes.
    pub async fn answer(
        &mut self,
        job: &Job<'_>,
        mut exchange: ServerResponse,
        sink: &mut impl ReplySink,
        heard: impl Fn(),
    ) -> RelayEnd {
        let status = exchange.head.status;
        if status.is_success() && !exchange.head.meta.signed {
            return RelayEnd::Unusable("unsigned answer".into());
        }
        if self.begun && !status.is_success() {
            return RelayEnd::Unusable(format!("status {status} while resuming"));
        }
        if promises_not_run(status) && !job.route.repeatable() {
            return RelayEnd::Unusable(format!(
                "status {status} without a word that it was not run"
            ));
        }
        let again = job.route.repeatable() && job.runs < job.route.attempts;
        if status.is_server_error() && again {
            if exchange.collect().await.is_ok() {
                exchange.finish();
            }
            return RelayEnd::Failed(status.as_u16());
        }
        if job.route.kind == RouteKind::Stream && status.is_success() {
            return self.stream(exchange, sink, heard).await;
        }
        self.whole(exchange, sink).await
    }

    async fn whole(&mut self, mut exchange: ServerResponse, sink: &mut impl ReplySink) -> RelayEnd {
        let body = match exchange.collect().await {
            Ok(body) => body,
            Err(error) => return RelayEnd::BrokenOff(error),
        };
        self.received += body.len();
        let status = exchange.head.status.as_u16();
        let head = reply_head(&exchange.head, Some(body.len() as u64));
        exchange.finish();
        self.begun = true;
        let written = async {
            sink.head(head).await?;
            sink.part(body).await?;
            sink.finish().await
        };
        match written.await {
            Ok(()) => RelayEnd::Whole(status),
            Err(_) => RelayEnd::CallerGone,
        }
    }

    async fn stream(
        &mut self,
        mut exchange: ServerResponse,
        sink: &mut impl ReplySink,
        heard: impl Fn(),
    ) -> RelayEnd {
        let status = exchange.head.status.as_u16();
        if !self.begun {
            let head = reply_head(&exchange.head, None);
            self.begun = true;
            if sink.head(head).await.is_err() {
                return RelayEnd::CallerGone;
            }
        }
        loop {
            let part = match exchange.part().await {
                Ok(Some(part)) => part,
                Ok(None) => break,
                Err(error) => {
                    self.events.as_mut().map(EventSplitter::drop_partial);
                    return RelayEnd::BrokenOff(error);
                }
            };
            heard();
            self.received += part.len();
            let whole = match self.events.as_mut() {
                Some(events) => events.push(&part),
                None => Some(part),
            };
            let Some(whole) = whole else { continue };
            if sink.part(whole).await.is_err() {
                return RelayEnd::CallerGone;
            }
        }
        exchange.finish();
        let rest = self.events.as_mut().map(EventSplitter::rest).unwrap_or_default();
        if !rest.is_empty() && sink.part(rest).await.is_err() {
            return RelayEnd::CallerGone;
        }
        match sink.finish().await {
            Ok(()) => RelayEnd::Whole(status),
            Err(_) => RelayEnd::CallerGone,
        }
    }
}

/// Statuses by which a caller may believe that its request was not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn reply_head(head: &ResponseHead, length: Option<u64>) -> ReplyHead {
    ReplyHead { status: head.status, headers: head.headers.clone(), length }
}
