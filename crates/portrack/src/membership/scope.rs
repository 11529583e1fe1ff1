//! Distance of a member.

/// Distance of a member; nearer members exchange heartbeats more often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// The same data hall: full mesh.
    Hall,
    /// Another hall of the same region: full mesh with a longer interval.
    Region,
    /// Another region: a few peers of each hall.
    Far,
}
