//! Completion calls to an engine.

use crate::types::{AdapterVersion, Class, Fence, ReservationId};
use bytes::Bytes;

/// The OpenAI-style endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Endpoint {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl Endpoint {
    /// The URL path.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// A completion call as it is sent to the engine.
#[derive(Debug, Clone)]
pub struct Call {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The reservation, which is the request's id at the engine.
    pub id: ReservationId,
    /// The adapter version to run.
    pub adapter: AdapterVersion,
    /// The urgency class.
    pub class: Class,
    /// The fence of the grant.
    pub fence: Fence,
    /// The JSON body, with `model` and `stream` as the engine needs them.
    pub body: Bytes,
}
