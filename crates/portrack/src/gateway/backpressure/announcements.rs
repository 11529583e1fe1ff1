//! Which servers are to be told of, and when: datagrams are lost.

use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::fleet::recipients::Recipients;
use crate::types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A change is told so long after the one before, counted from when it became known: of a link that loses one datagram in
/// forty all three are lost once in 64,000 times.
const TOLD_AFTER: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(400), Duration::from_millis(1_200)];
/// Between two tellings of one server at least, however often what is told of it changes.
const APART: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy)]
struct Pending {
    due_at: Time,
    times: usize,
}

/// The servers to tell of, by the marks of their lives.
#[derive(Debug, Clone, Default)]
pub struct AnnouncementQueue(BTreeMap<u32, Pending>);

impl AnnouncementQueue {
    /// Has a server told of from now on.
    pub fn add(&mut self, now: Time, server: u32) {
        let pending = self.0.entry(server).or_insert(Pending { due_at: now, times: 0 });
        // What is due already tells the newest; what was told a moment ago is told again after a while.
        pending.due_at = if pending.times == 0 { pending.due_at } else { now + APART };
        pending.times = 0;
    }

    /// The daemons to tell now, each with the servers to tell it of.
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

    /// The servers to tell of now.
    pub fn due(&mut self, now: Time) -> Vec<u32> {
        let mut due = Vec::new();
        for (server, pending) in &mut self.0 {
            if now >= pending.due_at {
                due.push(*server);
                pending.times += 1;
                let next = TOLD_AFTER.get(pending.times).copied().unwrap_or_default();
                pending.due_at = now + next;
            }
        }
        self.0.retain(|_, pending| pending.times < TOLD_AFTER.len());
        due
    }
}
