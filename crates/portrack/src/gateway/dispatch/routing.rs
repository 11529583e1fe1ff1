//! Selects the daemons that dispatch the requests of a small service.
//!
//! The servers of each region have a dispatcher in that region; with a single region, one dispatcher
//! is responsible for all servers.

use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::regions::locality::{Locality, REGION_ROUND_TRIP};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A dispatcher and the network delay to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatcherRoute {
    /// The dispatcher's datagram address.
    pub dispatcher: SocketAddr,
    /// Round-trip time in addition to the one within a region.
    pub extra_round_trip: Duration,
}

/// The dispatchers of a service in the order in which a request asks them: the own region's first, then
/// those of other regions. Regions are included only if one of `halls`, the data halls of the servers
/// that could serve the request, belongs to them. `is_eligible` filters the daemons.
pub fn dispatchers_for(
    routing_key: u64,
    locality: &Locality,
    daemons: &Daemons,
    halls: &[Rc<str>],
    is_eligible: impl Fn(&DaemonInfo) -> bool,
) -> Vec<DispatcherRoute> {
    let regions = locality.regions();
    if !regions.is_multi_region() {
        let dispatcher = daemons.first(routing_key, is_eligible);
        return dispatcher
            .map(|dispatcher| DispatcherRoute { dispatcher, extra_round_trip: Duration::ZERO })
            .into_iter()
            .collect();
    }
    let server_regions: BTreeSet<&Rc<str>> =
        halls.iter().map(|hall| regions.responsible_region(hall)).collect();
    let mut ordered_regions: Vec<&Rc<str>> = server_regions.into_iter().collect();
    ordered_regions.sort_by_key(|region| *region != regions.own());
    let routes = ordered_regions.into_iter().filter_map(|region| {
        let extra_round_trip =
            if region == regions.own() { Duration::ZERO } else { REGION_ROUND_TRIP };
        let in_region =
            |daemon: &DaemonInfo| regions.of(&daemon.hall) == Some(region) && is_eligible(daemon);
        daemons
            .first(routing_key, in_region)
            .map(|dispatcher| DispatcherRoute { dispatcher, extra_round_trip })
    });
    routes.collect()
}
