//! Decides whether a response that has ended is complete.

use super::events::EventSplitter;
use crate::http1::body::BodyEnd;
use snafu::Snafu;

/// Why a response that has ended is not known to be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Incomplete {
    /// The connection was closed within an event.
    #[snafu(display("closed within an event"))]
    WithinEvent,
    /// The connection was closed before the first event.
    #[snafu(display("closed before the first event"))]
    NoEvent,
    /// An event that is forwarded as a whole is too long.
    #[snafu(display("event too long"))]
    EventTooLong,
    /// The connection was closed, and the server is not known to run on.
    #[snafu(display("closed by a server that has ended"))]
    ServerEnded,
}

/// Checks the events of a stream that has ended. One that ends with its connection is complete only after an event:
/// servers that crash close their connections too.
pub fn check_events(
    end: BodyEnd,
    events: &EventSplitter,
    continues: bool,
) -> Result<(), Incomplete> {
    match end {
        BodyEnd::Stated => Ok(()),
        BodyEnd::Closed if !events.is_between_events() => Err(Incomplete::WithinEvent),
        // A stream that is resumed after its last event has no further one.
        BodyEnd::Closed if !events.has_events() && !continues => Err(Incomplete::NoEvent),
        BodyEnd::Closed => Ok(()),
    }
}

/// What is known of a server a moment after it has closed a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerAfterClose {
    /// It listens: it closed the connection itself.
    Runs,
    /// It cannot be reached, and it was to end as planned, after its last answer.
    EndedAsPlanned,
    /// It cannot be reached.
    NotSeen,
}

/// Checks a response of any kind that has ended. A close counts as its end only if the server closed the connection by
/// itself: the operating system closes those of a process that was killed in the same way.
pub async fn check_server(
    end: BodyEnd,
    look: &impl AsyncFn() -> ServerAfterClose,
) -> Result<(), Incomplete> {
    if end == BodyEnd::Stated {
        return Ok(());
    }
    match look().await {
        ServerAfterClose::Runs | ServerAfterClose::EndedAsPlanned => Ok(()),
        ServerAfterClose::NotSeen => Err(Incomplete::ServerEnded),
    }
}
