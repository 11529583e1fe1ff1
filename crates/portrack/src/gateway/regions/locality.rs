//! Where this daemon is, and what the way to a server costs.

use crate::gateway::fleet::regions::Regions;
use std::rc::Rc;
use std::time::Duration;

/// There and back between two regions, before the first part of an answer comes.
pub const REGION_ROUND_TRIP: Duration = Duration::from_millis(40);
/// What a request waiting at a server costs the next one.
const REQUEST_WAITING: Duration = Duration::from_millis(20);
/// What a server in another data hall of the region costs, in requests waiting.
const OTHER_HALL: f64 = 1.0;
/// The bytes of a request and its answer between regions, in requests waiting: they are paid for by
/// volume, and share one line with everything else.
const REGION_BYTES: f64 = 2.0;

/// A daemon's data hall, with the regions around it.
#[derive(Debug, Clone, Default)]
pub struct Locality {
    hall: Rc<str>,
    regions: Regions,
}

impl Locality {
    /// A daemon in this hall; `regions` are seen from there.
    pub fn new(hall: &str, regions: Regions) -> Self {
        Self { hall: hall.into(), regions }
    }

    /// The regions.
    pub fn regions(&self) -> &Regions {
        &self.regions
    }

    /// True for a hall in another region; never where there is only one.
    pub fn is_remote(&self, hall: &str) -> bool {
        self.regions.is_multi_region() && !self.regions.is_own(hall)
    }

    /// What the way to a server in a hall costs a request, in requests waiting there.
    pub fn network_cost(&self, hall: &str) -> f64 {
        if *self.hall == *hall {
            return 0.0;
        }
        if !self.is_remote(hall) {
            return OTHER_HALL;
        }
        let time = REGION_ROUND_TRIP.as_secs_f64() / REQUEST_WAITING.as_secs_f64();
        OTHER_HALL + time + REGION_BYTES
    }
}
