//! Detects silent regions.

use crate::gateway::fleet::regions::Regions;
use std::rc::Rc;

/// Returns the other regions whose halls are all silent.
pub fn silent_regions(regions: &Regions, silent_halls: &[Rc<str>]) -> Vec<Rc<str>> {
    let others = regions.names().into_iter().filter(|region| *region != regions.own());
    let silent =
        others.filter(|region| regions.halls(region).all(|hall| silent_halls.contains(hall)));
    silent.cloned().collect()
}

/// Logs each region that has become silent and each that is heard again.
pub fn log_silence_changes(regions: &Regions, before: &[Rc<str>], now: &[Rc<str>]) {
    let (before, now) = (silent_regions(regions, before), silent_regions(regions, now));
    for region in now.iter().filter(|region| !before.contains(region)) {
        log::warn!(region = &**region, halls = regions.halls(region).count(); "region_silent");
    }
    for region in before.iter().filter(|region| !now.contains(region)) {
        log::warn!(region = &**region, halls = regions.halls(region).count(); "region_heard");
    }
}
