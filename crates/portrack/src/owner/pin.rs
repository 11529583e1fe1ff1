//! Pins, which keep an adapter loaded while a request uses it.

use crate::types::{AdapterVersion, Instance, Time};

/// Pin of one request, held from its grant until the request has certainly ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pin {
    /// The pinned adapter.
    pub adapter: AdapterVersion,
    /// The entry node it was granted to; `None` if it is known only from the engine's reports.
    pub holder: Option<Instance>,
    /// Time of the latest grant, or of the report that first showed the request.
    pub granted_at: Time,
}
