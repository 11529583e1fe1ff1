//! Routing requirements of a request.

use crate::types::{AdapterVersion, BaseName, Class, EngineName};

/// What the router needs to know about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// The adapter it runs on.
    pub adapter: AdapterVersion,
    /// The adapter's base model.
    pub base: BaseName,
    /// The hardware generation that a rule restricts it to, if any.
    pub node_class: Option<String>,
    /// Urgency of the request.
    pub class: Class,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Engines already tried.
    pub tried: Vec<EngineName>,
}
