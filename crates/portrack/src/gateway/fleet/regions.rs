//! Assigns data halls to regions.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The regions in which requests may be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowedRegions(BTreeSet<Rc<str>>);

impl AllowedRegions {
    /// Allows these regions and no others.
    pub fn new(regions: impl IntoIterator<Item = Rc<str>>) -> Self {
        Self(regions.into_iter().collect())
    }

    /// Returns true if a region is allowed.
    pub fn contains(&self, region: &str) -> bool {
        self.0.contains(region)
    }
}

/// The region of each data hall, seen from one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    own: Rc<str>,
    halls: BTreeMap<Rc<str>, Rc<str>>,
    /// The settings name more than one region.
    many: bool,
}

impl Regions {
    /// Creates the table for `halls`, seen from the hall `own`.
    pub fn new(own: &str, halls: &BTreeMap<String, String>) -> Self {
        let halls: BTreeMap<Rc<str>, Rc<str>> = halls
            .iter()
            .map(|(hall, region)| (hall.as_str().into(), region.as_str().into()))
            .collect();
        let own = halls.get(own).cloned().unwrap_or_default();
        let many = halls.values().collect::<BTreeSet<_>>().len() > 1;
        Self { own, halls, many }
    }

    /// The region of this daemon's hall; empty if the settings name none.
    pub fn own(&self) -> &Rc<str> {
        &self.own
    }

    /// The region of a hall; `None` if the settings do not name it.
    pub fn of(&self, hall: &str) -> Option<&Rc<str>> {
        self.halls.get(hall)
    }

    /// Returns true if a hall is in this daemon's region. A hall without a region is, unless other
    /// halls have one: its servers may be anywhere then.
    pub fn is_own(&self, hall: &str) -> bool {
        match self.of(hall) {
            Some(region) => *region == self.own,
            None => self.halls.is_empty(),
        }
    }

    /// Returns true if there is more than one region.
    pub fn is_multi_region(&self) -> bool {
        self.many
    }

    /// All region names, sorted.
    pub fn names(&self) -> BTreeSet<&Rc<str>> {
        self.halls.values().collect()
    }

    /// The halls of a region.
    pub fn halls<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a Rc<str>> + 'a {
        self.halls.iter().filter(move |(_, of)| ***of == *region).map(|(hall, _)| hall)
    }

    /// The region whose daemons do the tasks for the servers of a hall: its own, or the first by
    /// name for a hall that the settings do not name, so that all daemons agree.
    pub fn responsible_region(&self, hall: &str) -> &Rc<str> {
        self.of(hall).or_else(|| self.names().first().copied()).unwrap_or(&self.own)
    }
}
