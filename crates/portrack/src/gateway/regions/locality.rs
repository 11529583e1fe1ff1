//! The location of this daemon and the network cost to servers.

use crate::gateway::fleet::regions::Regions;
use std::rc::Rc;
use std::time::Duration;

/// Network round trip between two regions, before the first part of a response.
pub const REGION_ROUND_TRIP: Duration = Duration::from_millis(40);
/// Delay that a request queued at a server causes for the next one.
const QUEUED_REQUEST_DELAY: Duration = Duration::from_millis(20);
/// Cost of a server in another data hall of the region, in queued requests.
const OTHER_HALL_COST: f64 = 1.0;
/// Cost of transferring a request and its response between regions, in queued requests: traffic
/// between regions is billed by volume and shares one link.
const REGION_TRANSFER_COST: f64 = 2.0;

/// A daemon's data hall and the regions.
#[derive(Debug, Clone, Default)]
pub struct Locality {
    hall: Rc<str>,
    regions: Regions,
}

impl Locality {
    /// Creates the locality of a daemon in this hall; `regions` are relative to it.
    pub fn new(hall: &str, regions: Regions) -> Self {
        Self { hall: hall.into(), regions }
    }

    /// Returns the regions.
    pub fn regions(&self) -> &Regions {
        &self.regions
    }

    /// Returns true for a hall in another region; never if there is only one region.
    pub fn is_remote(&self, hall: &str) -> bool {
        self.regions.is_multi_region() && !self.regions.is_own(hall)
    }

    /// Returns the network cost of a request to a server in a hall, in requests queued there.
    pub fn network_cost(&self, hall: &str) -> f64 {
        if *self.hall == *hall {
            return 0.0;
        }
        if !self.is_remote(hall) {
            return OTHER_HALL_COST;
        }
        let latency = REGION_ROUND_TRIP.as_secs_f64() / QUEUED_REQUEST_DELAY.as_secs_f64();
        OTHER_HALL_COST + latency + REGION_TRANSFER_COST
    }
}
