//! How far away a member is.

/// Nearer members are heard more often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// The same data hall: full mesh.
    Hall,
    /// Another hall of the same region: full mesh at a slower pace.
    Region,
    /// Another region: a few peers of each hall.
    Far,
}
