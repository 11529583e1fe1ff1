//! Whether a request that got no answer can have reached the other side.

use awc::error::{ConnectError, SendRequestError};

/// True only if not a byte was handed to a connection. `Disconnected` is no such case: the client
/// library also says it when the server closes after it has read the request.
pub fn certainly_not_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(error) => {
            !matches!(error, ConnectError::Disconnected | ConnectError::H2(_))
        }
        _ => false,
    }
}
