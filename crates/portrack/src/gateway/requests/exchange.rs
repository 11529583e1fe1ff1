//! Sends a request to a server and reads the response.

use super::caller::CallerRequest;
use crate::gateway::connections::connection::{BodyChunk, ExchangeError};
use crate::gateway::connections::pool::{AcquireError, PooledConnection};
use crate::gateway::connections::response::ResponseHead;
use crate::gateway::dialect::{Dialect, ForwardMeta};
use crate::http1::body::BodyDecoder;
use crate::http1::bounds::MAX_SKIPPED_BYTES;
use crate::http1::collected::CollectedBody;
use crate::http1::framing::Framing;
use actix_http::Method;
use std::io::Write as _;

/// Maximum number of responses to other requests that are skipped before the connection is closed.
const MAX_FOREIGN_RESPONSES: usize = 2;

const WRITE_TO_MEMORY: &str = "writing to memory cannot fail";

/// Outcome of sending a request to a server.
#[derive(Debug)]
pub enum SendOutcome {
    /// The server responds.
    Answer(Box<ServerResponse>),
    /// The server certainly did not run the request.
    NotRun(NotRunReason),
    /// The server may have run the request.
    MayHaveRun(ExchangeError),
}

/// Reason why a request was certainly not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotRunReason {
    /// All connections of this daemon's share are in use.
    NoConnection,
    /// Before the request was sent, it became known that the server must not get requests any more.
    Closed,
    /// Before the request was sent, it became known that the server has a rate limit, and the request has no
    /// recent grant.
    Ungranted,
    /// Before the request was sent, it became known that the server asked this node to back off.
    Resting,
    /// Before the request was sent again, the permit for that expired.
    RetryExpired,
    /// Before the request was sent, it became known that the request is quarantined.
    HeldBack,
    /// Before the request was sent, this daemon began to stop, and its answer might come too late.
    Stopping,
    /// The server could not be reached, also not from another daemon.
    Unreachable(ExchangeError),
    /// The server could not be reached from here; it may be well.
    NoPath(ExchangeError),
    /// The server rejected it with this status.
    TurnedAway(u16),
}

/// A response that is being received.
#[derive(Debug)]
pub struct ServerResponse {
    /// The head.
    pub head: ResponseHead,
    body: BodyDecoder,
    pooled: PooledConnection,
    fully_sent: bool,
}

impl ServerResponse {
    /// The next chunk of the body, or its end.
    pub async fn next_chunk(&mut self) -> Result<BodyChunk, ExchangeError> {
        self.pooled.read_chunk(&mut self.body).await
    }

    /// The body up to its end.
    pub async fn collect(&mut self) -> Result<CollectedBody, ExchangeError> {
        let mut body = self.pooled.body_memory().collector();
        loop {
            match self.next_chunk().await? {
                BodyChunk::Part(part) if body.push(&part) => {}
                BodyChunk::Part(_) => {
                    return Err(ExchangeError::Lost { why: "response body too large".into() });
                }
                BodyChunk::End(end) => return Ok(body.finish(end)),
            }
        }
    }

    /// Reads the body to its end and drops it, so that the connection can be used again. A long one is not worth it.
    pub async fn skip(mut self) {
        if !self.head.close && skip_body(&mut self.pooled, &mut self.body).await {
            self.finish();
        }
    }

    /// Returns the connection to the pool after the complete response.
    pub fn finish(mut self) {
        let connection = self.pooled.connection();
        connection.response_complete();
        if self.head.close || !self.fully_sent || connection.has_leftover() {
            return;
        }
        connection.mark_idle(self.head.keep_alive);
        self.pooled.release();
    }
}

/// Serialises a request for the server.
pub fn request_bytes(
    dialect: &dyn Dialect,
    request: &CallerRequest,
    meta: &ForwardMeta<'_>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(512 + request.body.len());
    write!(out, "{} {} HTTP/1.1\r\n", request.method, request.target).expect(WRITE_TO_MEMORY);
    for (name, value) in &request.headers {
        let withheld = meta.withholds_key && dialect.is_credential(name.as_str());
        if withheld || dialect.is_set_by_us(name.as_str()) {
            continue;
        }
        write!(out, "{name}: ").expect(WRITE_TO_MEMORY);
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    dialect.write_forward(meta, &mut out);
    if !request.body.is_empty() || request.method == Method::POST {
        write!(out, "content-length: {}\r\n", request.body.len()).expect(WRITE_TO_MEMORY);
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
    out
}

/// A request to send to a server.
#[derive(Debug, Clone, Copy)]
pub struct OutgoingRequest<'a> {
    /// The request id, which the response repeats.
    pub request_id: &'a str,
    /// The serialised request.
    pub bytes: &'a [u8],
}

/// Sends a request on the connection that `acquiring` gives and reads the head of the response. `may_send`
/// is checked once the connection has been acquired; `on_head` is called with the head, also if the server
/// rejects the request.
pub async fn send_request(
    dialect: &dyn Dialect,
    acquiring: impl Future<Output = Result<PooledConnection, AcquireError>>,
    outgoing: OutgoingRequest<'_>,
    may_send: impl Fn() -> Result<(), NotRunReason>,
    on_head: impl Fn(&ResponseHead),
) -> SendOutcome {
    let OutgoingRequest { request_id, bytes } = outgoing;
    let mut pooled = match acquiring.await {
        Ok(pooled) => pooled,
        Err(AcquireError::Full) => return SendOutcome::NotRun(NotRunReason::NoConnection),
        Err(AcquireError::Unreachable(error)) => {
            return SendOutcome::NotRun(NotRunReason::Unreachable(error));
        }
        Err(AcquireError::NoPath(error)) => {
            return SendOutcome::NotRun(NotRunReason::NoPath(error));
        }
    };
    if let Err(why) = may_send() {
        return SendOutcome::NotRun(why);
    }
    let fully_sent = match pooled.connection().send(bytes).await {
        Ok(fully_sent) => fully_sent,
        Err(error) => return SendOutcome::MayHaveRun(error),
    };
    for _ in 0..=MAX_FOREIGN_RESPONSES {
        let head = match pooled.read_head(dialect).await {
            Ok(head) => head,
            Err(error) => return SendOutcome::MayHaveRun(error),
        };
        let mut body = BodyDecoder::new(head.framing);
        let foreign = head.meta.request_id.as_deref().is_some_and(|id| id != request_id);
        if !foreign {
            on_head(&head);
            return classify(ServerResponse { head, body, pooled, fully_sent }).await;
        }
        if !skip_body(&mut pooled, &mut body).await {
            break;
        }
    }
    SendOutcome::MayHaveRun(ExchangeError::Lost { why: "responses to other requests".into() })
}

/// Reads a body to its end and drops it. Returns false if it is long, or not complete.
async fn skip_body(pooled: &mut PooledConnection, body: &mut BodyDecoder) -> bool {
    let mut skipped = 0;
    loop {
        match pooled.read_chunk(body).await {
            Ok(BodyChunk::End(_)) => return true,
            Ok(BodyChunk::Part(part)) => skipped += part.len(),
            Err(_) => return false,
        }
        if skipped > MAX_SKIPPED_BYTES {
            return false;
        }
    }
}

async fn classify(response: ServerResponse) -> SendOutcome {
    let status = response.head.status.as_u16();
    let not_run = response.head.meta.not_run || status == 421;
    if not_run && matches!(status, 421 | 429 | 503) {
        if response.head.framing != Framing::UntilClose {
            response.skip().await;
        }
        return SendOutcome::NotRun(NotRunReason::TurnedAway(status));
    }
    SendOutcome::Answer(Box::new(response))
}
