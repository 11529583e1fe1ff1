//! Requests of callers, and the replies to them.

use crate::gateway::dialect::RequestMeta;
use crate::types::Time;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use std::future::Future;
use std::time::Duration;

/// A completely received request.
#[derive(Debug)]
pub struct CallerRequest {
    /// The time at which its head was complete.
    pub arrived: Time,
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: String,
    /// The requested host.
    pub host: String,
    /// The headers to forward, in order.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
    /// The platform's headers.
    pub meta: RequestMeta,
    /// The id of the last event that the caller has received of a stream.
    pub last_event: Option<String>,
}

impl CallerRequest {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Head of a reply to a caller.
#[derive(Debug)]
pub struct ReplyHead {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The length of the body; a stream of unknown length if `None`.
    pub length: Option<u64>,
}

/// The caller has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

/// Receives one reply to a caller.
pub trait ReplySink {
    /// Starts the reply.
    fn head(&mut self, head: ReplyHead) -> impl Future<Output = Result<(), CallerGone>>;
    /// Continues the body.
    fn chunk(&mut self, chunk: Bytes) -> impl Future<Output = Result<(), CallerGone>>;
    /// Completes the reply.
    fn finish(&mut self) -> impl Future<Output = Result<(), CallerGone>>;
}

/// A refusal of a request by the gateway itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused {
    /// The status.
    pub status: StatusCode,
    /// The reason, for logs and the body of the reply.
    pub reason: RefusalReason,
    /// The time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// Reason why the gateway refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// There is no configuration yet.
    NoConfig,
    /// No route matches.
    NoRoute,
    /// The route's service has no server that accepts requests.
    NoServer,
    /// No server that accepts requests is left in the regions in which the request may be served.
    NoAllowedServer,
    /// The adapter is not loaded and will not be in time.
    NotLoaded,
    /// All servers have rejected it.
    Busy,
    /// This node could not reach the servers that could have served it.
    Unreachable,
    /// The deadline of the caller or the route passed before it was sent.
    Expired,
    /// The retry budget is exhausted.
    Budget,
    /// A server may have run it, but the response is lost.
    Lost,
    /// A server may still be running it at its deadline.
    TimedOut,
    /// The request is malformed, too large, or was not received in time.
    BadRequest,
    /// The daemon is stopping and could not finish it in time.
    Stopping,
    /// It has no key.
    MissingKey,
    /// It has several keys.
    MultipleKeys,
    /// Its credential is not a key.
    MalformedKey,
    /// Its key belongs to no organisation.
    UnknownKey,
    /// Its key was revoked.
    RevokedKey,
    /// The keys and routes known here may be out of date.
    NoProof,
    /// The quota of its organisation is exhausted.
    Quota,
    /// Several server processes ended while they ran it.
    Quarantined,
    /// Several server processes ended while they ran requests with a part of its prompt.
    QuarantinedPart,
    /// It takes a stream up again, and nobody knows which software version began that.
    UnknownOrigin,
    /// It takes a stream up again, and no server of the software version that began it is left.
    NoSoftware,
}

impl RefusalReason {
    /// The name in logs, metrics and replies.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::NoServer => "no_server",
            Self::NoAllowedServer => "no_allowed_server",
            Self::NotLoaded => "not_loaded",
            Self::Busy => "busy",
            Self::Unreachable => "unreachable",
            Self::Expired => "expired",
            Self::Budget => "budget",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
            Self::BadRequest => "bad_request",
            Self::Stopping => "stopping",
            Self::MissingKey => "missing_key",
            Self::MultipleKeys => "doubled_key",
            Self::MalformedKey => "malformed_key",
            Self::UnknownKey => "unknown_key",
            Self::RevokedKey => "revoked_key",
            Self::NoProof => "no_proof",
            Self::Quota => "quota",
            Self::Quarantined => "quarantined",
            Self::QuarantinedPart => "quarantined_part",
            Self::UnknownOrigin => "unknown_origin",
            Self::NoSoftware => "no_software",
        }
    }

    /// The status that tells the caller whether the request may have run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::MissingKey
            | Self::MultipleKeys
            | Self::MalformedKey
            | Self::UnknownKey
            | Self::RevokedKey => StatusCode::UNAUTHORIZED,
            Self::Quota => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl Refused {
    /// Creates a refusal; `retry_after` must only be set if the request has not run.
    pub fn new(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self { status: reason.status(), reason, retry_after }
    }
}
