//! What a daemon lets in by itself while no accountant answers.

use super::organisations::Quota;
use super::pace::DecayingRate;
use crate::types::Time;

/// The fleet's use of a quota is taken for no less than this when a daemon's part is worked out.
const LEAST_USE: f64 = 0.1;
/// A daemon that has seen nothing of an organisation gets this of an even share.
const UNSEEN_SHARE: f64 = 0.25;
/// A full share holds what comes in within this, in seconds. The accountants may count a daemon's part for
/// others while it uses it, so this bounds what is let in twice: with three of ten nodes cut off from
/// everybody for the 4 s for which their keys are believed, and an organisation at 7.5 times its usual, a
/// part that was used as it came gave 1.03 of what a window may hold.
const DEPTH_S: f64 = 0.7;
/// While no accountant answers, a share fills at this part of its pace, and at the other one while some
/// does. Where it filled at its whole pace, with one message in twenty lost, nodes used their parts
/// beside what the accountants gave out: 1.02 of what a window may hold.
const BLIND_REFILL: f64 = 0.1;
const ANSWERED_REFILL: f64 = 0.25;

/// One organisation, as a daemon that sends its requests sees it.
///
/// Its part of the limit is its part of what the fleet sends, so all parts together are the limit. It
/// is worked out from what an accountant told last: what a daemon lets in by itself must not make its
/// part grow, or ten daemons let in a quarter more than the limit.
#[derive(Debug, Clone, Copy, Default)]
pub struct FallbackShare {
    pace: DecayingRate,
    /// What the fleet sends as a share of the limit, and what this daemon sent a second, when an
    /// accountant last told the former.
    used: Option<(f64, f64)>,
    /// What is left of the share, in seconds of the daemon's part, and when that was.
    level: Option<(f64, Time)>,
}

impl FallbackShare {
    /// Counts a request that an accountant let in.
    pub fn record_granted(&mut self, now: Time, units: f64) {
        self.pace.count(now, units);
    }

    /// Takes in how much of the limit the fleet uses.
    pub fn update_usage(&mut self, now: Time, used: f64) {
        self.used = Some((used, self.pace.per_second(now)));
        self.refill(now, ANSWERED_REFILL);
    }

    /// Lets in what has come since, at a part of the share's pace.
    fn refill(&mut self, now: Time, pace: f64) -> f64 {
        let (level, at) = self.level.unwrap_or((DEPTH_S, now));
        let level = (level + now.since(at).as_secs_f64() * pace).min(DEPTH_S);
        self.level = Some((level, now));
        level
    }

    /// How much of the limit the fleet uses, as told last.
    pub fn fleet_usage(&self) -> Option<f64> {
        self.used.map(|(used, _)| used)
    }

    fn per_second(&self, quota: &Quota, daemons: usize) -> f64 {
        let even = quota.per_second / daemons.max(1) as f64;
        let (used, own) = self.used.unwrap_or((1.0, 0.0));
        let part = own / used.max(LEAST_USE);
        part.clamp(even * UNSEEN_SHARE, quota.per_second)
    }

    /// True if a request of `units` is let in without an accountant. `daemons` share the quota.
    pub fn admit(&mut self, now: Time, quota: &Quota, units: f64, daemons: usize) -> bool {
        let level = self.refill(now, BLIND_REFILL);
        if level <= 0.0 {
            return false;
        }
        let per_second = self.per_second(quota, daemons);
        self.level = Some((level - units / per_second, now));
        true
    }
}
