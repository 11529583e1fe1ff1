//! The ways.

/// How nodes agree on what a server gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Loads are told each 300 ms; the less busy of two servers is taken.
    Late,
    /// A node is leased some of what a server may get, for 100 ms.
    Leases,
    /// Each request is granted.
    Grants,
}

/// How long a lease lasts, in milliseconds, and the prompt tokens of one at least.
pub const LEASE_MS: u64 = 100;
pub const LEASE_TOKENS: u32 = 2_000;

impl Way {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Late, Self::Leases, Self::Grants];

    /// The name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Late => "loads told late",
            Self::Leases => "leases of 100 ms",
            Self::Grants => "a grant a request",
        }
    }
}
