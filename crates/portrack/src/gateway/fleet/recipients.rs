//! Which nodes are told of a duty: of a request that servers ended under, of a server that names a limit.

use super::daemons::{DaemonInfo, Daemons};
use std::net::SocketAddr;

/// Up to so many daemons all take part in every duty.
const ALL_HAVE_PART: usize = 24;
/// In larger fleets so many daemons of each data hall do: a hall that is cut off goes on by itself, and one
/// of them may be gone.
const PART_IN_HALL: usize = 2;

/// Whom something concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipients {
    /// The nodes that have part in the duty.
    Assigned,
    /// All nodes. In large fleets each data hall hears from its sharers.
    All,
}

impl Recipients {
    /// Where it is, `me` not among it.
    pub fn addresses(self, daemons: &Daemons, me: &DaemonInfo, duty: u64) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = match self {
            _ if all_have_part(daemons) => daemons.all().map(|daemon| daemon.address).collect(),
            Self::Assigned => sharers(daemons, duty),
            Self::All => {
                let hall = daemons.all().filter(|daemon| daemon.hall == me.hall);
                let hall = hall.map(|daemon| daemon.address);
                hall.chain(sharers(daemons, duty)).collect()
            }
        };
        all.retain(|address| *address != me.address);
        all.sort();
        all.dedup();
        all
    }
}

fn all_have_part(daemons: &Daemons) -> bool {
    daemons.count() <= ALL_HAVE_PART
}

fn sharers(daemons: &Daemons, duty: u64) -> Vec<SocketAddr> {
    daemons.of_each_hall(duty, PART_IN_HALL)
}

/// True if a daemon has to pass on what it hears of a duty: it has part in it, and not all do.
pub fn must_forward(daemons: &Daemons, me: &DaemonInfo, duty: u64) -> bool {
    !all_have_part(daemons) && sharers(daemons, duty).contains(&me.address)
}

/// True if a daemon is the one that keeps the store's record of a duty.
pub fn writes_record(daemons: &Daemons, me: &DaemonInfo, duty: u64) -> bool {
    daemons.first(duty, |_| true) == Some(me.address)
}
