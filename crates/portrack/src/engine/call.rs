//! A completion call to an engine.

use crate::types::{AdapterVersion, Class, Fence, ReservationId};
use bytes::Bytes;

/// Which of the OpenAI-style calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Endpoint {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl Endpoint {
    /// The path.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// Everything that goes to the engine.
#[derive(Debug, Clone)]
pub struct Call {
    /// Which call.
    pub endpoint: Endpoint,
    /// The reservation, which is the request's id at the engine.
    pub id: ReservationId,
    /// What it runs on.
    pub adapter: AdapterVersion,
    /// How urgent it is.
    pub class: Class,
    /// The fence of the grant.
    pub fence: Fence,
    /// The JSON body, with `model` and `stream` as the engine needs them.
    pub body: Bytes,
}
