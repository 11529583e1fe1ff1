//! Which daemons give out the slots of a small service.
//!
//! Each region's servers of the service have a dispatcher of that region; where there is one region,
//! one dispatcher has them all.

use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::regions::locality::{Locality, REGION_ROUND_TRIP};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A dispatcher to ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatcherRoute {
    /// Where it hears datagrams.
    pub dispatcher: SocketAddr,
    /// How long a question and its answer are on their way, beyond the time within a region.
    pub extra_round_trip: Duration,
}

/// The dispatchers of a service in the order in which a request asks them: its own region's first, then
/// those of other regions, each only where `halls`, those of the servers that could serve the request,
/// has one of theirs. `fits` tells which daemons may be asked at all.
pub fn dispatchers_for(
    duty: u64,
    locality: &Locality,
    daemons: &Daemons,
    halls: &[Rc<str>],
    fits: impl Fn(&DaemonInfo) -> bool,
) -> Vec<DispatcherRoute> {
    let regions = locality.regions();
    if !regions.is_multi_region() {
        let only = daemons.first(duty, fits);
        return only
            .map(|dispatcher| DispatcherRoute { dispatcher, extra_round_trip: Duration::ZERO })
            .into_iter()
            .collect();
    }
    let of_servers: BTreeSet<&Rc<str>> =
        halls.iter().map(|hall| regions.responsible_region(hall)).collect();
    let mut order: Vec<&Rc<str>> = of_servers.into_iter().collect();
    order.sort_by_key(|region| *region != regions.own());
    let asked = order.into_iter().filter_map(|region| {
        let extra_round_trip =
            if region == regions.own() { Duration::ZERO } else { REGION_ROUND_TRIP };
        let there = |daemon: &DaemonInfo| regions.of(&daemon.hall) == Some(region) && fits(daemon);
        daemons
            .first(duty, there)
            .map(|dispatcher| DispatcherRoute { dispatcher, extra_round_trip })
    });
    asked.collect()
}
