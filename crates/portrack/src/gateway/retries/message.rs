//! Messages between daemons about the slack of retry budgets.

use serde::{Deserialize, Serialize};

/// A message to or from the daemon that grants the slack.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryMessage {
    /// Asks for one retry of a service.
    Ask {
        /// The sender's number of this call.
        call: u32,
        /// The service.
        service: String,
    },
    /// Answers a call.
    Answer {
        /// The receiver's number of the call.
        call: u32,
        /// Whether the retry is granted.
        granted: bool,
    },
}
