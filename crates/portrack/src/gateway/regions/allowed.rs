//! The regions in which a request may be served.

use crate::gateway::fleet::regions::{AllowedRegions, Regions};

/// The constraints of one request, from its route and its organisation. If both name regions, both
/// apply.
#[derive(Debug, Clone, Copy, Default)]
pub struct RegionConstraints<'a> {
    /// The regions that its route allows; `None` for any.
    pub route: Option<&'a AllowedRegions>,
    /// The regions that its organisation allows; `None` for any.
    pub organisation: Option<&'a AllowedRegions>,
}

impl RegionConstraints<'_> {
    /// Returns true if there is any constraint.
    pub fn is_constrained(&self) -> bool {
        self.route.is_some() || self.organisation.is_some()
    }

    /// Returns true if the request may be served in a hall. A hall without a region in the settings
    /// is in no allowed region.
    pub fn permits(&self, regions: &Regions, hall: &str) -> bool {
        let permits = |allowed: &AllowedRegions| {
            regions.of(hall).is_some_and(|region| allowed.contains(region))
        };
        self.route.is_none_or(permits) && self.organisation.is_none_or(permits)
    }
}
