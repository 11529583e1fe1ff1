//! What a caller sent, and how answers go back to it.

use crate::gateway::dialect::RequestMeta;
use crate::types::Time;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use std::future::Future;
use std::time::Duration;

/// A request that was read whole.
#[derive(Debug)]
pub struct CallerRequest {
    /// When its head had arrived.
    pub arrived: Time,
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: String,
    /// The host asked for.
    pub host: String,
    /// The headers to hand on, in order.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
    /// What the platform's headers say.
    pub meta: RequestMeta,
    /// The last event the caller has of a stream.
    pub last_event: Option<String>,
}

impl CallerRequest {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// The head of an answer to a caller.
#[derive(Debug)]
pub struct ReplyHead {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The length of the body; a stream if left out.
    pub length: Option<u64>,
}

/// The caller's connection is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

/// Takes one answer to a caller.
pub trait ReplySink {
    /// Begins the answer.
    fn head(&mut self, head: ReplyHead) -> impl Future<Output = Result<(), CallerGone>>;
    /// Goes on with the body.
    fn part(&mut self, part: Bytes) -> impl Future<Output = Result<(), CallerGone>>;
    /// Ends the answer as a whole one.
    fn finish(&mut self) -> impl Future<Output = Result<(), CallerGone>>;
}

/// How the gateway itself ends a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused {
    /// The status.
    pub status: StatusCode,
    /// Why, for logs and the answer's body.
    pub reason: RefusalReason,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

/// Why the gateway ends a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfig,
    /// No route leads anywhere.
    NoRoute,
    /// The route's service has no server that takes work.
    NoServer,
    /// No server that takes work is left in the regions in which it may be served.
    NoAllowedServer,
    /// The adapter is not loaded, and will not be in time.
    NotLoaded,
    /// Every server turned it away.
    Busy,
    /// The caller's time or the route's is over before it was sent.
    Expired,
    /// The retry budget is spent.
    Budget,
    /// A server may have run it, and its answer is lost.
    Lost,
    /// A server may still be running it at the end of its time.
    TimedOut,
    /// The headers cannot be read.
    BadRequest,
    /// The daemon is being stopped and could not finish it.
    Stopping,
    /// It shows no key.
    MissingKey,
    /// It shows several keys.
    MultipleKeys,
    /// What it shows is no key.
    MalformedKey,
    /// No organisation holds its key.
    UnknownKey,
    /// Its key was taken away.
    RevokedKey,
    /// What is known of keys and routes may be out of date.
    NoProof,
    /// Its organisation has used up its quota.
    Quota,
    /// Servers ended under it, one after the other.
    Quarantined,
}

impl RefusalReason {
    /// The name in logs, metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::NoServer => "no_server",
            Self::NoAllowedServer => "no_allowed_server",
            Self::NotLoaded => "not_loaded",
            Self::Busy => "busy",
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
    /// A refusal; `retry_after` only where the request has not run.
    pub fn new(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self { status: reason.status(), reason, retry_after }
    }
}
