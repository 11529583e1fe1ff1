//! Judges a play as the users do: windows that slide, and what a quota allows in order of arrival.

use crate::quotas::demand::Request;
use crate::quotas::{ORGANISATIONS, QUOTAS};

/// The users' window, in milliseconds, and what they allow in it beyond the quota.
const WINDOW_MS: u64 = 8_000;
const OVERAGE: f64 = 0.1;
pub(crate) const SLACK: f64 = 11_000.0;
/// Requests are gathered in parts of this, in milliseconds.
const PART_MS: u64 = 50;

/// What a way let in and refused.
#[derive(Debug, Default)]
pub struct Judge {
    admitted: [Vec<f64>; ORGANISATIONS],
    levels: [Option<(f64, u64)>; ORGANISATIONS],
    /// What the quota allows of what was asked, and what was let in, second by second.
    seconds: [Vec<(f64, f64)>; ORGANISATIONS],
}

impl Judge {
    /// Takes in what became of a request.
    pub fn request(&mut self, now: u64, request: &Request, admitted: bool) {
        let Request { organisation, units, .. } = *request;
        let quota = &QUOTAS[organisation];
        let (level, at) = self.levels[organisation].unwrap_or((quota.burst, now));
        let level = level + quota.per_second * (now - at) as f64 / 1_000.0;
        let mut level = level.min(quota.burst);
        let second = (now / 1_000) as usize;
        let seconds = &mut self.seconds[organisation];
        seconds.resize(seconds.len().max(second + 1), (0.0, 0.0));
        if level >= units {
            level -= units;
            seconds[second].0 += units;
        }
        seconds[second].1 += if admitted { units } else { 0.0 };
        self.levels[organisation] = Some((level, now));
        let parts = &mut self.admitted[organisation];
        let part = (now / PART_MS) as usize;
        parts.resize(parts.len().max(part + 1), 0.0);
        parts[part] += if admitted { units } else { 0.0 };
    }

    /// The most that was let in within a window, over what may be.
    pub fn worst_window(&self) -> f64 {
        let worst = |organisation: usize| {
            let quota = &QUOTAS[organisation];
            let allowed = quota.per_second * WINDOW_MS as f64 / 1_000.0 + quota.burst;
            let allowed = allowed * (1.0 + OVERAGE) + SLACK;
            let parts = &self.admitted[organisation];
            let length = (WINDOW_MS / PART_MS) as usize;
            let sums = (0..parts.len())
                .map(|from| -> f64 { parts[from..parts.len().min(from + length)].iter().sum() });
            sums.fold(0.0, f64::max) / allowed
        };
        (0..ORGANISATIONS).map(worst).fold(0.0, f64::max)
    }

    /// Of what the quotas allow, the share that was not let in, for the organisation that lost most.
    pub fn refused_inside(&self) -> f64 {
        let lost = |seconds: &Vec<(f64, f64)>| {
            let owed: f64 = seconds.iter().map(|(owed, _)| owed).sum();
            let lost: f64 = seconds.iter().map(|(owed, admitted)| (owed - admitted).max(0.0)).sum();
            lost / owed.max(1.0)
        };
        self.seconds.iter().map(lost).fold(0.0, f64::max)
    }
}
