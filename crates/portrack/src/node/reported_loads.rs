//! Tracks the loads last reported to the hall, so that a heartbeat carries only changes.

use crate::owner::Load;
use crate::types::EngineName;
use std::collections::BTreeMap;

/// One heartbeat in this many carries every load, for members that missed a datagram.
const FULL_EVERY: u32 = 5;

#[derive(Debug, Clone, Default)]
pub(super) struct ReportedLoads {
    heartbeats: u32,
    coarse: BTreeMap<EngineName, CoarseLoad>,
}

/// A load reduced to what the choice between engines depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CoarseLoad {
    holdings: u32,
    free: u32,
    queued: u32,
    spare: bool,
}

impl CoarseLoad {
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

impl ReportedLoads {
    /// Returns the loads that the next heartbeat must carry: those whose magnitude has changed, or
    /// all in every `FULL_EVERY`th heartbeat.
    pub(super) fn changed_loads(&mut self, loads: &[Load]) -> Vec<Load> {
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let full = self.heartbeats.is_multiple_of(FULL_EVERY);
        let coarse: BTreeMap<EngineName, CoarseLoad> =
            loads.iter().map(|load| (load.engine.clone(), CoarseLoad::of(load))).collect();
        let before = std::mem::replace(&mut self.coarse, coarse);
        let must_send =
            |load: &&Load| full || before.get(&load.engine) != Some(&CoarseLoad::of(load));
        loads.iter().filter(must_send).cloned().collect()
    }
}
