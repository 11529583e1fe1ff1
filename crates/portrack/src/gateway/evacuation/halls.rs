//! Tracks which data halls are evacuated and until when requests may still be sent there.

use crate::gateway::admission::FreshnessProof;
use crate::types::Time;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Share of the evacuation bound after which a hall closes, counted from the last moment at which
/// the store did not report the evacuation. The rest covers a store whose watches are silent for a
/// second, transit, and the time until a server reads a queued request.
const CLOSE_AFTER_SHARE: f64 = 0.6;

/// An evacuated hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evacuation {
    /// When this daemon learned of the evacuation.
    pub learned_at: Time,
    /// From this time on, nothing is sent there.
    pub closes_at: Time,
    /// Whether the closing was reported by `newly_closed`.
    closing_reported: bool,
}

/// The evacuated halls.
#[derive(Debug, Clone, Default)]
pub struct EvacuatedHalls {
    halls: BTreeMap<Rc<str>, Evacuation>,
}

impl EvacuatedHalls {
    /// Marks a hall as evacuated; returns true if it was not. The hall is closed at once, as the
    /// age of the evacuation is not known yet.
    pub fn evacuate(&mut self, hall: &Rc<str>) -> bool {
        if self.halls.contains_key(hall) {
            return false;
        }
        let at = Time::default();
        let closed = Evacuation { learned_at: at, closes_at: at, closing_reported: false };
        self.halls.insert(hall.clone(), closed);
        true
    }

    /// Sets the closing time of a hall that was just marked as evacuated. The `proof` held before
    /// shows a moment at which the store did not report the evacuation yet. Nothing may arrive
    /// later than `within` after the store's acknowledgement.
    pub fn set_closing_time(
        &mut self,
        hall: &str,
        now: Time,
        proof: &FreshnessProof,
        within: Duration,
    ) {
        let Some(evacuation) = self.halls.get_mut(hall) else { return };
        let span = within.mul_f64(CLOSE_AFTER_SHARE);
        let left = proof.age(now).map_or(Duration::ZERO, |age| span.saturating_sub(age));
        evacuation.learned_at = now;
        evacuation.closes_at = now + left;
    }

    /// Marks a hall as no longer evacuated.
    pub fn reinstate(&mut self, hall: &str) -> Option<Evacuation> {
        self.halls.remove(hall)
    }

    /// Returns true if a hall is evacuated.
    pub fn has(&self, hall: &str) -> bool {
        self.halls.contains_key(hall)
    }

    /// Returns true if a hall is evacuated but may still get requests that only its servers can
    /// serve.
    pub fn is_closing(&self, now: Time, hall: &str) -> bool {
        self.halls.get(hall).is_some_and(|evacuation| now < evacuation.closes_at)
    }

    /// Iterates over the evacuated halls.
    pub fn all(&self) -> impl Iterator<Item = (&Rc<str>, &Evacuation)> {
        self.halls.iter()
    }

    /// Returns the halls that have closed since the last call.
    pub fn newly_closed(&mut self, now: Time) -> Vec<(Rc<str>, Evacuation)> {
        let is_due =
            |evacuation: &Evacuation| !evacuation.closing_reported && now >= evacuation.closes_at;
        let due = self.halls.iter_mut().filter(|(_, evacuation)| is_due(evacuation));
        let closed = due.map(|(hall, evacuation)| {
            evacuation.closing_reported = true;
            (hall.clone(), *evacuation)
        });
        closed.collect()
    }
}
