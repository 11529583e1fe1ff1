//! Heartbeat intervals and failure detection timeouts.

use super::Scope;
use std::time::Duration;

/// Heartbeat intervals and the number of missed intervals after which a member is suspected or
/// considered dead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeats within the hall.
    pub hall_every: Duration,
    /// Interval between heartbeats to other halls.
    pub remote_every: Duration,
    /// Missed heartbeat intervals after which a member is suspected.
    pub suspect_after: u32,
    /// Missed heartbeat intervals after which a suspect is dead if other members miss it too.
    pub dead_after: u32,
    /// Missed heartbeat intervals after which a suspect is dead without confirmation by others.
    pub dead_unconfirmed_after: u32,
    /// Number of peers in each hall of another region.
    pub far_peers: usize,
}

impl Timing {
    /// Heartbeat interval for members of a scope.
    pub fn interval(&self, scope: Scope) -> Duration {
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
            dead_unconfirmed_after: 12,
            far_peers: 2,
        }
    }
}
