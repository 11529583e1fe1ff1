//! Kinds of messages.

/// Kinds of messages, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Heartbeats and loads.
    Heartbeat,
    /// Holdings and requests for them.
    Holdings,
    /// Reservations, answers, releases and takeovers.
    Reserve,
    /// Requests, grants and returns of load permits.
    Permit,
    /// Claims of idempotency keys.
    Key,
    /// Settings fetched over TCP.
    Settings,
}

impl Kind {
    /// The kind as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Holdings => "holdings",
            Self::Reserve => "reserve",
            Self::Permit => "permit",
            Self::Key => "key",
            Self::Settings => "settings",
        }
    }
}
