//! How a request ends when it does not get its answer.

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
    /// No adapter of that name and version is in force.
    UnknownAdapter,
    /// No rule in force lets the adapter serve this request here.
    NotAllowed,
    /// No path or service of that name.
    NotFound,
    /// This node has no settings yet.
    NoSettings,
    /// No backend server can take it now.
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
    /// Too little is remembered to tell whether the key was used.
    KeyMemory,
    /// The backend server refused it.
    BackendRefused,
    /// The backend server was lost before the answer was whole.
    BackendLost,
}

impl Reason {
    /// The reason as it stands in problem details, logs and metrics.
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

/// A final answer that is no success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it ran.
    pub run: Run,
    /// When to ask again, where that helps.
    pub retry_after: Option<Duration>,
    /// One sentence for a person.
    pub detail: String,
}

impl Refusal {
    /// A refusal of a request that certainly did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, run: Run::No, retry_after: None, detail: detail.into() }
    }

    /// A failure after which the request may have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, run: Run::Unknown, retry_after: None, detail: detail.into() }
    }

    /// The same refusal of a request that may have run in an earlier try.
    pub fn after_a_run(mut self) -> Self {
        self.run = Run::Unknown;
        self
    }

    /// The same refusal with a time to come back.
    pub fn after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
