//! Whether a request without a response may have reached the server.

use awc::error::{ConnectError, SendRequestError};

/// True only if no byte was written to a connection. `Disconnected` does not count: the client
/// library also reports it when the server closes after it has read the request.
pub fn certainly_not_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(error) => {
            !matches!(error, ConnectError::Disconnected | ConnectError::H2(_))
        }
        _ => false,
    }
}
