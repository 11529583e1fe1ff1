//! In which regions one request may be served.

use crate::gateway::fleet::regions::{AllowedRegions, Regions};

/// What binds one request: its route's regions and its organisation's, both where both name some.
#[derive(Debug, Clone, Copy, Default)]
pub struct RegionConstraints<'a> {
    /// The regions that its route allows; any if left out.
    pub route: Option<&'a AllowedRegions>,
    /// The regions that its organisation allows; any if left out.
    pub organisation: Option<&'a AllowedRegions>,
}

impl RegionConstraints<'_> {
    /// True if not every region will do.
    pub fn is_constrained(&self) -> bool {
        self.route.is_some() || self.organisation.is_some()
    }

    /// True if the request may be served in a hall. A hall whose region the settings do not name is in
    /// no allowed region.
    pub fn permits(&self, regions: &Regions, hall: &str) -> bool {
        let permits = |allowed: &AllowedRegions| {
            regions.of(hall).is_some_and(|region| allowed.contains(region))
        };
        self.route.is_none_or(permits) && self.organisation.is_none_or(permits)
    }
}
