//! One request at one server.

use super::caller::CallerRequest;
use crate::gateway::connections::body::BodyDecoder;
use crate::gateway::connections::connection::ExchangeError;
use crate::gateway::connections::pool::{AcquireError, ConnectionPool, PooledConnection};
use crate::gateway::connections::response::{Framing, ResponseHead};
use crate::gateway::dialect::{Dialect, ForwardMeta};
use crate::gateway::fleet::backend::Backend;
use actix_http::Method;
use bytes::{Bytes, BytesMut};
use std::io::Write as _;
use std::rc::Rc;

/// Answers of other requests that are skipped before a connection is given up.
const FOREIGN_SKIPPED: usize = 2;
/// The longest body of an answer that is collected before it is handed on, in bytes.
const COLLECTED: usize = 8 * 1024 * 1024;

const IN_MEMORY: &str = "writing to memory does not fail";

/// How sending a request to a server went.
#[derive(Debug)]
pub enum SendOutcome {
    /// The server answers.
    Answer(Box<ServerResponse>),
    /// The server certainly did not run it.
    NotRun(NotRunReason),
    /// The server may have run it.
    MayHaveRun(ExchangeError),
}

/// Why a request was certainly not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotRunReason {
    /// This daemon's share of the server's connections is in use.
    NoConnection,
    /// The server is to get nothing any more, as became known before the request was written.
    Closed,
    /// The server names a limit, as became known before the request was written, and no grant of late lets it in.
    Ungranted,
    /// The server wants nothing from this node for a while, as became known before the request was written.
    Resting,
    /// The request is held back, as became known before it was written.
    HeldBack,
    /// The server could not be reached.
    Unreachable(ExchangeError),
    /// The server turned it away with this status.
    TurnedAway(u16),
}

/// An answer under way.
#[derive(Debug)]
pub struct ServerResponse {
    /// Its head.
    pub head: ResponseHead,
    body: BodyDecoder,
    lent: PooledConnection,
    sent_whole: bool,
}

impl ServerResponse {
    /// The next part of the body; `None` at its end.
    pub async fn part(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        self.lent.connection().read_chunk(&mut self.body).await
    }

    /// The whole body.
    pub async fn collect(&mut self) -> Result<Bytes, ExchangeError> {
        let mut whole = BytesMut::new();
        while let Some(part) = self.part().await? {
            whole.extend_from_slice(&part);
            if whole.len() > COLLECTED {
                return Err(ExchangeError::Lost { why: "answer too large".into() });
            }
        }
        Ok(whole.freeze())
    }

    /// Gives the connection back after the whole answer.
    pub fn finish(mut self) {
        let connection = self.lent.connection();
        connection.response_complete();
        if self.head.close || !self.sent_whole || connection.has_leftover() {
            return;
        }
        connection.mark_idle(self.head.keep_alive);
        self.lent.release();
    }
}

/// The request as the server gets it.
pub fn request_bytes(
    dialect: &dyn Dialect,
    request: &CallerRequest,
    meta: &ForwardMeta<'_>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(512 + request.body.len());
    write!(out, "{} {} HTTP/1.1\r\n", request.method, request.target).expect(IN_MEMORY);
    for (name, value) in &request.headers {
        let withheld = meta.withholds_key && dialect.is_credential(name.as_str());
        if withheld || dialect.is_set_by_us(name.as_str()) {
            continue;
        }
        write!(out, "{name}: ").expect(IN_MEMORY);
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    dialect.write_forward(meta, &mut out);
    if !request.body.is_empty() || request.method == Method::POST {
        write!(out, "content-length: {}\r\n", request.body.len()).expect(IN_MEMORY);
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
    out
}

/// A request on its way to a server.
#[derive(Debug, Clone, Copy)]
pub struct OutgoingRequest<'a> {
    /// Its id, which its answer repeats.
    pub request_id: &'a str,
    /// Its bytes.
    pub bytes: &'a [u8],
    /// Connections to the server that this daemon may have open.
    pub most_connections: usize,
}

/// Sends a request and reads the head of its answer. `may_send` is asked once the connection is there; `heard` is told
/// of the head, also where the server turns the request away.
pub async fn send_request(
    dialect: &dyn Dialect,
    pool: &Rc<ConnectionPool>,
    backend: &Backend,
    outgoing: OutgoingRequest<'_>,
    may_send: impl Fn() -> Result<(), NotRunReason>,
    heard: impl Fn(&ResponseHead),
) -> SendOutcome {
    let OutgoingRequest { request_id, bytes, most_connections } = outgoing;
    let lent = pool.acquire(&backend.id, backend.address, most_connections).await;
    let mut lent = match lent {
        Ok(lent) => lent,
        Err(AcquireError::Full) => return SendOutcome::NotRun(NotRunReason::NoConnection),
        Err(AcquireError::Unreachable(error)) => {
            return SendOutcome::NotRun(NotRunReason::Unreachable(error));
        }
    };
    if let Err(why) = may_send() {
        return SendOutcome::NotRun(why);
    }
    let sent_whole = match lent.connection().send(bytes).await {
        Ok(whole) => whole,
        Err(error) => return SendOutcome::MayHaveRun(error),
    };
    for _ in 0..=FOREIGN_SKIPPED {
        let head = match lent.connection().read_head(dialect).await {
            Ok(head) => head,
            Err(error) => return SendOutcome::MayHaveRun(error),
        };
        let mut body = BodyDecoder::new(head.framing);
        let foreign = head.meta.request_id.as_deref().is_some_and(|id| id != request_id);
        if !foreign {
            heard(&head);
            return classify(ServerResponse { head, body, lent, sent_whole }).await;
        }
        while let Ok(Some(_)) = lent.connection().read_chunk(&mut body).await {}
    }
    SendOutcome::MayHaveRun(ExchangeError::Lost { why: "answers of other requests".into() })
}

async fn classify(mut exchange: ServerResponse) -> SendOutcome {
    let status = exchange.head.status.as_u16();
    let not_run = exchange.head.meta.not_run || status == 421;
    if not_run && matches!(status, 421 | 429 | 503) {
        if exchange.head.framing != Framing::UntilClose && exchange.collect().await.is_ok() {
            exchange.finish();
        }
        return SendOutcome::NotRun(NotRunReason::TurnedAway(status));
    }
    SendOutcome::Answer(Box::new(exchange))
}
