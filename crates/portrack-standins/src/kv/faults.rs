//! Faults that the key-value service can inject.

use std::time::Duration;

/// A fault of the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every call is answered with an error.
    Down,
    /// Every call is delayed by this time.
    Slow(Duration),
    /// Writes take effect, but their responses are cut off.
    DropWriteResponses,
}
