//! What a daemon lets in by itself while no accountant answers.

use super::organisations::Quota;
use super::pace::Pace;
use crate::types::Time;

/// The fleet's use of a quota is taken for no less than this when a daemon's part is worked out.
const LEAST_USE: f64 = 0.1;
/// A daemon that has seen nothing of an organisation gets this of an even share.
const UNSEEN_SHARE: f64 = 0.25;
/// Of its part, a daemon uses this share: the accountants that it cannot reach may count its part for
/// others. While a sixth of 72 nodes was cut off from everybody and an organisation sent 7.5 times its
/// usual, the most let in within a window fell from 1.03 to below 1 of what may be.
const USED_SHARE: f64 = 0.8;
/// A full share holds what comes in within this, in seconds, and it begins with half of that.
const DEPTH_S: f64 = 1.0;

/// One organisation, as a daemon that sends its requests sees it.
///
/// Its part of the limit is its part of what the fleet sends, so all parts together are the limit. It
/// is worked out from what an accountant told last: what a daemon lets in by itself must not make its
/// part grow, or ten daemons let in a quarter more than the limit.
#[derive(Debug, Clone, Copy, Default)]
pub struct BlindShare {
    pace: Pace,
    /// What the fleet sends as a share of the limit, and what this daemon sent a second, when an
    /// accountant last told the former.
    used: Option<(f64, f64)>,
    level: Option<(f64, Time)>,
}

impl BlindShare {
    /// Counts a request that an accountant let in.
    pub fn granted(&mut self, now: Time, units: f64) {
        self.pace.count(now, units);
    }

    /// Takes in how much of the limit the fleet uses.
    pub fn told(&mut self, now: Time, used: f64) {
        self.used = Some((used, self.pace.per_second(now)));
        self.level = None;
    }

    /// How much of the limit the fleet uses, as told last.
    pub fn used(&self) -> Option<f64> {
        self.used.map(|(used, _)| used)
    }

    fn per_second(&self, quota: &Quota, daemons: usize) -> f64 {
        let even = quota.per_second / daemons.max(1) as f64;
        let (used, own) = self.used.unwrap_or((1.0, 0.0));
        let part = own / used.max(LEAST_USE) * USED_SHARE;
        part.clamp(even * UNSEEN_SHARE, quota.per_second)
    }

    /// True if a request of `units` is let in without an accountant. `daemons` share the quota.
    pub fn admit(&mut self, now: Time, quota: &Quota, units: f64, daemons: usize) -> bool {
        let per_second = self.per_second(quota, daemons);
        let depth = per_second * DEPTH_S;
        let (level, at) = self.level.unwrap_or((depth / 2.0, now));
        let level = (level + per_second * now.since(at).as_secs_f64()).min(depth);
        let admitted = level > 0.0;
        self.level = Some((if admitted { level - units } else { level }, now));
        admitted
    }
}
