//! Refusals and failures of requests.

use super::Run;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The body or a header is too large.
    TooLarge,
    /// No adapter with that name and version exists.
    UnknownAdapter,
    /// No rule allows the adapter to serve this request here.
    NotAllowed,
    /// No such path or service exists.
    NotFound,
    /// This node has no settings yet.
    NoSettings,
    /// No backend server can take the request now.
    NoBackend,
    /// A queue is full.
    QueueFull,
    /// The request could not start before its deadline.
    Deadline,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The node is stopping.
    Stopping,
    /// The same idempotency key is in use or already answered.
    DuplicateKey,
    /// The key memory is incomplete, so it is unknown whether the idempotency key was used.
    KeyMemory,
    /// The backend server refused the request.
    BackendRefused,
    /// The connection to the backend server was lost before the response was complete.
    BackendLost,
}

impl Reason {
    /// The reason as written in problem details, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
            Self::UnknownAdapter => "unknown-adapter",
            Self::NotAllowed => "not-allowed",
            Self::NotFound => "not-found",
            Self::NoSettings => "no-settings",
            Self::NoBackend => "no-backend",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::LoadFailed => "load-failed",
            Self::Stopping => "stopping",
            Self::DuplicateKey => "duplicate-key",
            Self::KeyMemory => "key-memory",
            Self::BackendRefused => "backend-refused",
            Self::BackendLost => "backend-lost",
        }
    }
}

/// Final result of a request that did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether the request may have run.
    pub run: Run,
    /// Suggested delay before a retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
    /// Explanation for the caller, in one sentence.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of a request that certainly did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, run: Run::No, retry_after: None, detail: detail.into() }
    }

    /// Creates a failure of a request that may have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, run: Run::Unknown, retry_after: None, detail: detail.into() }
    }

    /// Marks the request as possibly run in an earlier attempt.
    pub fn after_a_run(mut self) -> Self {
        self.run = Run::Unknown;
        self
    }

    /// Sets the suggested delay before a retry.
    pub fn after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
