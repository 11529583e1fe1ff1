//! Schedules which servers to announce to other daemons, and when. Announcements are repeated
//! because datagrams get lost.

use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::fleet::recipients::Recipients;
use crate::types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay before each announcement of a change, counted from the one before, or from when the change
/// became known. On a link that loses one datagram in forty, all three are lost once in 64,000
/// times.
const ANNOUNCEMENT_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(400), Duration::from_millis(1_200)];
/// Minimum time between two announcements of the same server, however often its state changes.
const MIN_INTERVAL: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy)]
struct Pending {
    due_at: Time,
    times: usize,
}

/// The servers to announce, by the hashes of their incarnations.
#[derive(Debug, Clone, Default)]
pub struct AnnouncementQueue(BTreeMap<u32, Pending>);

impl AnnouncementQueue {
    /// Schedules announcements of a server from now on.
    pub fn add(&mut self, now: Time, server: u32) {
        let pending = self.0.entry(server).or_insert(Pending { due_at: now, times: 0 });
        // A pending announcement will carry the latest state anyway; a recent one is followed by
        // another after a while.
        pending.due_at = if pending.times == 0 { pending.due_at } else { now + MIN_INTERVAL };
        pending.times = 0;
    }

    /// Returns the daemons that announcements are due for, each with the servers to announce.
    pub fn due_by_address(
        &mut self,
        now: Time,
        daemons: &Daemons,
        me: &DaemonInfo,
    ) -> BTreeMap<SocketAddr, Vec<u32>> {
        let mut by_address: BTreeMap<SocketAddr, Vec<u32>> = BTreeMap::new();
        for server in self.due(now) {
            for to in Recipients::All.addresses(daemons, me, server.into()) {
                by_address.entry(to).or_default().push(server);
            }
        }
        by_address
    }

    /// Returns the servers whose announcements are due.
    pub fn due(&mut self, now: Time) -> Vec<u32> {
        let mut due = Vec::new();
        for (server, pending) in &mut self.0 {
            if now >= pending.due_at {
                due.push(*server);
                pending.times += 1;
                let next = ANNOUNCEMENT_DELAYS.get(pending.times).copied().unwrap_or_default();
                pending.due_at = now + next;
            }
        }
        self.0.retain(|_, pending| pending.times < ANNOUNCEMENT_DELAYS.len());
        due
    }
}
