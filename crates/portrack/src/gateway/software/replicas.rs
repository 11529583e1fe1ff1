//! Selects the daemons that keep the origin of a stream, and those that are asked for it.

use super::origin::StreamKey;
use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::fleet::regions::Regions;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// In fleets of up to this size, all daemons are asked.
const MAX_DAEMONS_ALL_ASKED: usize = 12;
/// Daemons of each data hall that are asked in larger fleets: one of the two may have joined after
/// the stream began.
const ASKED_PER_HALL: usize = 2;
/// With fewer data halls in a region, two daemons of each keep an origin instead of one.
const HALLS_WITH_ONE_REPLICA: usize = 4;

/// The daemons that keep the origin of a stream that begins at `me`, without `me`: some of each data
/// hall of its region.
pub fn keepers(
    daemons: &Daemons,
    me: &DaemonInfo,
    regions: &Regions,
    key: StreamKey,
) -> Vec<SocketAddr> {
    let local = daemons.only(|daemon| remembers(daemon) && regions.is_own(&daemon.hall));
    let halls: BTreeSet<&str> = local.all().map(|daemon| &*daemon.hall).collect();
    let per_hall = if halls.len() < HALLS_WITH_ONE_REPLICA { 2 } else { 1 };
    without(me, local.of_each_hall(key.routing_key(), per_hall))
}

/// The daemons that may keep the origin of a stream that began anywhere, without `me`.
pub fn asked(daemons: &Daemons, me: &DaemonInfo, key: StreamKey) -> Vec<SocketAddr> {
    let capable = daemons.only(remembers);
    let all = match capable.count() <= MAX_DAEMONS_ALL_ASKED {
        true => capable.all().map(|daemon| daemon.address).collect(),
        false => capable.of_each_hall(key.routing_key(), ASKED_PER_HALL),
    };
    without(me, all)
}

fn remembers(daemon: &DaemonInfo) -> bool {
    daemon.capabilities.remembers_streams()
}

fn without(me: &DaemonInfo, mut all: Vec<SocketAddr>) -> Vec<SocketAddr> {
    all.retain(|address| *address != me.address);
    all
}
