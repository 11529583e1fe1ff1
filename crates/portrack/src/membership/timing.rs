//! Paces and patience of the membership.

use super::Scope;
use std::time::Duration;

/// How often heartbeats go out and how long silence is borne.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Between heartbeats in the hall.
    pub hall_every: Duration,
    /// Between heartbeats to other halls.
    pub remote_every: Duration,
    /// Silence, in paces, after which a member is suspected.
    pub suspect_after: u32,
    /// Silence, in paces, after which a suspect is dead if others miss it too.
    pub dead_after: u32,
    /// Silence, in paces, after which a suspect is dead whatever others say.
    pub alone_after: u32,
    /// Peers of each hall of another region.
    pub far_peers: usize,
}

impl Timing {
    /// The pace toward members of a scope.
    pub fn pace(&self, scope: Scope) -> Duration {
        match scope {
            Scope::Hall => self.hall_every,
            Scope::Region | Scope::Far => self.remote_every,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            hall_every: Duration::from_secs(1),
            remote_every: Duration::from_secs(5),
            suspect_after: 3,
            dead_after: 5,
            alone_after: 12,
            far_peers: 2,
        }
    }
}
