//! HTTP/1.1 responses as they arrive from other systems: the grammar of heads, and bodies.
//!
//! Every response that is read passes through here, whatever client reads it. What does not follow the grammar is no
//! response: nothing of it is used, and its connection is closed.

pub mod body;
pub mod bounds;
pub mod checked;
pub mod collected;
mod error;
mod field;
pub mod framing;
pub mod head;

pub use error::{MalformedResponses, ResponseError};
