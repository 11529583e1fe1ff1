//! Which loads the hall has been told of, so that a heartbeat carries only news.

use crate::owner::Load;
use crate::types::EngineName;
use std::collections::BTreeMap;

/// One heartbeat in this many carries every load, for those who missed some.
const FULL_EVERY: u32 = 5;

#[derive(Debug, Clone, Default)]
pub(super) struct Told {
    beats: u32,
    rough: BTreeMap<EngineName, Rough>,
}

/// A load as far as a choice between engines depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Rough {
    holdings: u32,
    free: u32,
    queued: u32,
    spare: bool,
}

impl Rough {
    fn of(load: &Load) -> Self {
        let magnitude = |n: u16| u16::BITS - n.leading_zeros();
        Self {
            holdings: load.holdings,
            free: magnitude(load.free),
            queued: magnitude(load.queued),
            spare: load.spare_slots > 0,
        }
    }
}

impl Told {
    /// The loads that the next heartbeat must carry: those whose magnitude has changed, and now
    /// and then all.
    pub(super) fn news(&mut self, loads: &[Load]) -> Vec<Load> {
        self.beats = self.beats.wrapping_add(1);
        let full = self.beats.is_multiple_of(FULL_EVERY);
        let rough: BTreeMap<EngineName, Rough> =
            loads.iter().map(|load| (load.engine.clone(), Rough::of(load))).collect();
        let before = std::mem::replace(&mut self.rough, rough);
        let is_news = |load: &&Load| full || before.get(&load.engine) != Some(&Rough::of(load));
        loads.iter().filter(is_news).cloned().collect()
    }
}
