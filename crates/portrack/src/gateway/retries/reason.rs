//! Why a request is sent to a server again.

/// How the previous send of a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The server rejected it without running it.
    Rejected,
    /// The connection broke before a response.
    Lost,
    /// The server did not respond in time.
    Slow,
    /// The server responded with a failure.
    Failed,
    /// The response was invalid.
    Invalid,
    /// The response was interrupted.
    Interrupted,
}

impl RetryReason {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Rejected => "rejected",
            Self::Lost => "lost",
            Self::Slow => "slow",
            Self::Failed => "failed",
            Self::Invalid => "invalid",
            Self::Interrupted => "interrupted",
        }
    }
}
