//! Selects the nodes that are notified, for instance of a request whose server ended while running
//! it, or of a server that advertises a limit.

use super::daemons::{DaemonInfo, Daemons};
use std::net::SocketAddr;

/// In fleets of up to this size every daemon is assigned to every key.
const MAX_DAEMONS_ALL_ASSIGNED: usize = 24;
/// In larger fleets this many daemons of each data hall are assigned to a key: a hall that is cut
/// off keeps working on its own, and one of the two may be down.
const ASSIGNED_PER_HALL: usize = 2;
/// This many daemons write a record one after the other, as some may not reach the store.
const MAX_RECORD_WRITERS: usize = 4;

/// The nodes that a message goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipients {
    /// The nodes assigned to the key.
    Assigned,
    /// All nodes. In large fleets the assigned nodes forward it within their own data hall.
    All,
}

impl Recipients {
    /// Returns the addresses of the recipients for a routing key, without `me`.
    pub fn addresses(
        self,
        daemons: &Daemons,
        me: &DaemonInfo,
        routing_key: u64,
    ) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = match self {
            _ if all_are_assigned(daemons) => daemons.all().map(|daemon| daemon.address).collect(),
            Self::Assigned => assigned(daemons, routing_key),
            Self::All => {
                let hall = daemons.all().filter(|daemon| daemon.hall == me.hall);
                let hall = hall.map(|daemon| daemon.address);
                hall.chain(assigned(daemons, routing_key)).collect()
            }
        };
        all.retain(|address| *address != me.address);
        all.sort();
        all.dedup();
        all
    }
}

fn all_are_assigned(daemons: &Daemons) -> bool {
    daemons.count() <= MAX_DAEMONS_ALL_ASSIGNED
}

fn assigned(daemons: &Daemons, routing_key: u64) -> Vec<SocketAddr> {
    daemons.of_each_hall(routing_key, ASSIGNED_PER_HALL)
}

/// Returns true if a daemon is assigned to a key.
pub fn is_assigned(daemons: &Daemons, me: &DaemonInfo, routing_key: u64) -> bool {
    all_are_assigned(daemons) || assigned(daemons, routing_key).contains(&me.address)
}

/// Returns true if a daemon is the first one of its hall that is assigned to a key, and not all daemons are.
pub fn is_first_of_hall(daemons: &Daemons, me: &DaemonInfo, routing_key: u64) -> bool {
    !all_are_assigned(daemons) && daemons.of_each_hall(routing_key, 1).contains(&me.address)
}

/// Returns true if a daemon has to forward what it receives about a key: it is assigned to the key,
/// and not all daemons are.
pub fn must_forward(daemons: &Daemons, me: &DaemonInfo, routing_key: u64) -> bool {
    !all_are_assigned(daemons) && is_assigned(daemons, me, routing_key)
}

/// Returns true if a daemon is the one that writes the store's record for a key.
pub fn writes_record(daemons: &Daemons, me: &DaemonInfo, routing_key: u64) -> bool {
    record_turn(daemons, me, routing_key) == Some(0)
}

/// Returns the turn of a daemon in writing the store's record for a key, 0 for the first one; `None` if others
/// write it.
pub fn record_turn(daemons: &Daemons, me: &DaemonInfo, routing_key: u64) -> Option<u32> {
    let rank = daemons.rank(routing_key, me.address)?;
    (rank < MAX_RECORD_WRITERS).then_some(rank as u32)
}
