//! Which data halls are evacuated, and until when their servers may still be sent to.

use crate::gateway::admission::FreshnessProof;
use crate::types::Time;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Of the time within which a hall gets nothing any more, counted from the last moment at which the store
/// did not say so, this share may pass until it is closed. The rest is for a store whose watches hear
/// nothing for a second, for the way, and for the time in which a request waits for its server to read it.
const CLOSED_SHARE: f64 = 0.6;

/// One evacuated hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evacuation {
    /// When this daemon learned of it.
    pub learned_at: Time,
    /// From then on nothing is sent there.
    pub closes_at: Time,
    /// That it is closed was told.
    closing_told: bool,
}

/// The evacuated halls.
#[derive(Debug, Clone, Default)]
pub struct EvacuatedHalls {
    halls: BTreeMap<Rc<str>, Evacuation>,
}

impl EvacuatedHalls {
    /// Takes in that a hall is evacuated; true if that is news. Nobody knows yet how long ago it was, so
    /// the hall is closed at once.
    pub fn evacuate(&mut self, hall: &Rc<str>) -> bool {
        if self.halls.contains_key(hall) {
            return false;
        }
        let at = Time::default();
        let closed = Evacuation { learned_at: at, closes_at: at, closing_told: false };
        self.halls.insert(hall.clone(), closed);
        true
    }

    /// Takes in how old the news of a hall can be that has just come: the `proof` held before it is of a
    /// moment at which the store did not say so yet. Nothing may arrive `within` this time of its word.
    pub fn date(&mut self, hall: &str, now: Time, proof: &FreshnessProof, within: Duration) {
        let Some(evacuation) = self.halls.get_mut(hall) else { return };
        let span = within.mul_f64(CLOSED_SHARE);
        let left = proof.age(now).map_or(Duration::ZERO, |age| span.saturating_sub(age));
        evacuation.learned_at = now;
        evacuation.closes_at = now + left;
    }

    /// Takes in that a hall is not evacuated any more.
    pub fn reinstate(&mut self, hall: &str) -> Option<Evacuation> {
        self.halls.remove(hall)
    }

    /// True if a hall is evacuated.
    pub fn has(&self, hall: &str) -> bool {
        self.halls.contains_key(hall)
    }

    /// True if a hall is evacuated and may still be sent what only its servers can serve.
    pub fn is_closing(&self, now: Time, hall: &str) -> bool {
        self.halls.get(hall).is_some_and(|evacuation| now < evacuation.closes_at)
    }

    /// The evacuated halls.
    pub fn all(&self) -> impl Iterator<Item = (&Rc<str>, &Evacuation)> {
        self.halls.iter()
    }

    /// The halls that have closed since this was last asked.
    pub fn newly_closed(&mut self, now: Time) -> Vec<(Rc<str>, Evacuation)> {
        let is_due =
            |evacuation: &Evacuation| !evacuation.closing_told && now >= evacuation.closes_at;
        let due = self.halls.iter_mut().filter(|(_, evacuation)| is_due(evacuation));
        let told = due.map(|(hall, evacuation)| {
            evacuation.closing_told = true;
            (hall.clone(), *evacuation)
        });
        told.collect()
    }
}
