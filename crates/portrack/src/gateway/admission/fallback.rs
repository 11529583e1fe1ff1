//! A daemon's own share of a quota, used while no accountant answers.

use super::organisations::Quota;
use super::rate::DecayingRate;
use crate::types::Time;

/// Lower bound of the fleet's quota usage when a daemon's share is computed.
const MIN_FLEET_USAGE: f64 = 0.1;
/// Share of an even split that a daemon gets if it has not seen any request of the organisation.
const INITIAL_SHARE: f64 = 0.25;
/// Capacity of a share, in seconds of its refill. The accountants may give a daemon's share to others
/// while the daemon uses it, so this bounds what is admitted twice: with three of ten nodes isolated
/// for the 4 s for which their keys are accepted, and an organisation at 7.5 times its usual rate, a
/// share without this bound admitted 1.03 times what a window may hold.
const BURST_SECONDS: f64 = 0.7;
/// Refill rates of a share, relative to the daemon's part of the quota, while no accountant answers and
/// while one does. At the full rate, and with one message in twenty lost, nodes used their shares in
/// addition to what the accountants granted: 1.02 times what a window may hold.
const UNANSWERED_REFILL_RATE: f64 = 0.1;
const ANSWERED_REFILL_RATE: f64 = 0.25;

/// A daemon's share of the quota of one organisation.
///
/// The share of the quota is the daemon's share of the fleet's traffic, so all shares add up to the
/// quota. It is computed from the last report of an accountant: requests that the daemon admits by
/// itself must not raise its share, or ten daemons admit a quarter more than the quota.
#[derive(Debug, Clone, Copy, Default)]
pub struct FallbackShare {
    rate: DecayingRate,
    /// The fleet's usage as a share of the quota, as last reported by an accountant, and this daemon's
    /// units per second at that time.
    used: Option<(f64, f64)>,
    /// What is left of the share, in seconds of its refill, and when that was computed.
    level: Option<(f64, Time)>,
}

impl FallbackShare {
    /// Counts a request that an accountant granted.
    pub fn record_granted(&mut self, now: Time, units: f64) {
        self.rate.count(now, units);
    }

    /// Updates the fleet's usage of the quota from a report.
    pub fn update_usage(&mut self, now: Time, used: f64) {
        self.used = Some((used, self.rate.per_second(now)));
        self.refill(now, ANSWERED_REFILL_RATE);
    }

    /// Refills the share for the time since the last call, at the given relative rate.
    fn refill(&mut self, now: Time, rate: f64) -> f64 {
        let (level, at) = self.level.unwrap_or((BURST_SECONDS, now));
        let level = (level + now.since(at).as_secs_f64() * rate).min(BURST_SECONDS);
        self.level = Some((level, now));
        level
    }

    /// The fleet's usage as a share of the quota, as last reported.
    pub fn fleet_usage(&self) -> Option<f64> {
        self.used.map(|(used, _)| used)
    }

    fn per_second(&self, quota: &Quota, daemons: usize) -> f64 {
        let even = quota.per_second / daemons.max(1) as f64;
        let (used, own) = self.used.unwrap_or((1.0, 0.0));
        let part = own / used.max(MIN_FLEET_USAGE);
        part.clamp(even * INITIAL_SHARE, quota.per_second)
    }

    /// Admits a request of `units` without an accountant, if the share allows it. `daemons` is the
    /// number of daemons that share the quota.
    pub fn admit(&mut self, now: Time, quota: &Quota, units: f64, daemons: usize) -> bool {
        let level = self.refill(now, UNANSWERED_REFILL_RATE);
        if level <= 0.0 {
            return false;
        }
        let per_second = self.per_second(quota, daemons);
        self.level = Some((level - units / per_second, now));
        true
    }
}
