//! A pin keeps an adapter on its engine.

use crate::types::{AdapterVersion, Instance, Time};

/// Held for one request, from its grant until the request is certainly gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pin {
    /// What is kept.
    pub adapter: AdapterVersion,
    /// The entry node it was granted to; none if only the engine told of it.
    pub holder: Option<Instance>,
    /// The latest grant, or the report that first showed it.
    pub granted_at: Time,
}
