//! The kinds of messages.

/// The kinds of messages, for meters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Heartbeats and further loads.
    Heartbeat,
    /// Holdings and asks for them.
    Holdings,
    /// Reservations, answers and releases.
    Reserve,
    /// Load permits.
    Permit,
    /// Idempotency keys.
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
