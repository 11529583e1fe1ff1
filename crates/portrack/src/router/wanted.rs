//! What the router is asked for.

use crate::types::{AdapterVersion, BaseName, Class, EngineName};

/// A request, as far as routing goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// What it runs on.
    pub adapter: AdapterVersion,
    /// The adapter's base model.
    pub base: BaseName,
    /// The hardware generation that a rule holds it to, if any.
    pub node_class: Option<String>,
    /// How urgent it is.
    pub class: Class,
    /// Hash of the beginning of the prompt.
    pub prefix: u64,
    /// Engines already tried.
    pub tried: Vec<EngineName>,
}
