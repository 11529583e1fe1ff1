//! Which nodes are told what.

use super::mark::RequestMark;
use crate::gateway::fleet::daemons::{DaemonAt, Daemons};
use std::net::SocketAddr;

/// Up to so many daemons all count the ends under each request.
const ALL_COUNT: usize = 24;
/// In larger fleets so many daemons of each data hall do: a hall that is cut off counts by itself, and one
/// of them may be gone.
const COUNT_IN_HALL: usize = 2;

/// Whom something concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// The nodes that count the ends under a request.
    Counters,
    /// All nodes. In large fleets each data hall hears from those that count there.
    All,
}

impl Audience {
    /// Where it is, `me` not among it.
    pub fn addresses(self, daemons: &Daemons, me: &DaemonAt, mark: RequestMark) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = match self {
            _ if all_count(daemons) => daemons.all().map(|daemon| daemon.address).collect(),
            Self::Counters => counters(daemons, mark),
            Self::All => {
                let hall = daemons.all().filter(|daemon| daemon.hall == me.hall);
                let hall = hall.map(|daemon| daemon.address);
                hall.chain(counters(daemons, mark)).collect()
            }
        };
        all.retain(|address| *address != me.address);
        all.sort();
        all.dedup();
        all
    }
}

fn all_count(daemons: &Daemons) -> bool {
    daemons.count() <= ALL_COUNT
}

fn counters(daemons: &Daemons, mark: RequestMark) -> Vec<SocketAddr> {
    daemons.of_each_hall(mark.duty(), COUNT_IN_HALL)
}

/// True if a daemon has to pass on what it hears of a request: it counts, and not all do.
pub fn passes_on(daemons: &Daemons, me: &DaemonAt, mark: RequestMark) -> bool {
    !all_count(daemons) && counters(daemons, mark).contains(&me.address)
}

/// True if a daemon keeps the store's record of a request: one is enough.
pub fn records(daemons: &Daemons, me: &DaemonAt, mark: RequestMark) -> bool {
    daemons.first(mark.duty(), |_| true) == Some(me.address)
}
