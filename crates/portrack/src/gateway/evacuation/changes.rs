//! Handles the evacuation and reinstatement of a data hall in a daemon.

use super::halls::Evacuation;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::fleet::view::ViewChange;
use crate::types::Time;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

impl GatewayDaemon {
    /// Applies a change of the fleet view to evacuated halls.
    pub(in crate::gateway) fn apply_evacuation_change(
        &self,
        now: Time,
        change: &ViewChange,
        source: &str,
    ) {
        match change {
            ViewChange::HallEvacuated(hall) => self.hall_evacuated(now, hall, source),
            ViewChange::HallRestored(hall, evacuation) => {
                self.hall_reinstated(now, hall, *evacuation, source);
            }
            ViewChange::Backend(id) => {
                let view = self.handler.view.borrow();
                let evacuated = view.backend(id).is_some_and(|backend| view.is_evacuated(backend));
                self.order_executor.planner.borrow_mut().set_evacuated(id, evacuated);
            }
            _ => {}
        }
    }

    fn hall_evacuated(&self, now: Time, hall: &Rc<str>, source: &str) {
        let within = Duration::from_millis(self.settings.bounds.evacuate_within_ms);
        // The proof is renewed only after the store change that came with it has been applied.
        self.handler.view.borrow_mut().evacuated.set_closing_time(
            hall,
            now,
            &self.handler.proof,
            within,
        );
        self.set_evacuated(hall, true);
        let (age_ms, running) = (self.proof_age_ms(), self.own_requests_in(hall));
        log::info!(
            hall = &**hall, source = source, age_ms = age_ms, running = running;
            "hall_evacuated"
        );
    }

    fn hall_reinstated(&self, now: Time, hall: &Rc<str>, evacuation: Evacuation, source: &str) {
        self.set_evacuated(hall, false);
        let view = self.handler.view.borrow();
        let mut coldness = self.handler.coldness.borrow_mut();
        view.backends_of(hall).for_each(|backend| coldness.assume_cold(now, &backend.id));
        drop(coldness);
        self.update_cold_servers(now);
        let evacuated_ms = now.since(evacuation.learned_at).as_millis() as u64;
        log::info!(
            hall = &**hall, source = source, evacuated_ms = evacuated_ms;
            "hall_taken_back"
        );
    }

    fn set_evacuated(&self, hall: &str, evacuated: bool) {
        let view = self.handler.view.borrow();
        let mut planner = self.order_executor.planner.borrow_mut();
        view.backends_of(hall).for_each(|backend| planner.set_evacuated(&backend.id, evacuated));
        self.metrics.evacuated_halls.set(view.evacuated.all().count() as i64);
    }

    /// Counts this daemon's requests that run at the servers of a hall.
    fn own_requests_in(&self, hall: &str) -> u32 {
        let view = self.handler.view.borrow();
        let hashes: HashSet<u32> =
            view.backends_of(hall).map(|backend| backend.incarnation_hash()).collect();
        let own = self.handler.loads.own_work().into_iter();
        own.filter(|(hash, _)| hashes.contains(hash)).map(|(_, work)| work.requests).sum()
    }

    /// Logs halls that have closed and updates the number of requests running in evacuated halls.
    pub(in crate::gateway) fn update_evacuated(&self, now: Time) {
        let closed = self.handler.view.borrow_mut().evacuated.newly_closed(now);
        for (hall, evacuation) in closed {
            let left_ms = evacuation.closes_at.since(evacuation.learned_at).as_millis() as u64;
            let running = self.own_requests_in(&hall);
            log::info!(hall = &*hall, left_ms = left_ms, running = running; "hall_closed");
        }
        let halls: Vec<Rc<str>> = {
            let view = self.handler.view.borrow();
            view.evacuated.all().map(|(hall, _)| hall.clone()).collect()
        };
        let running: u32 = halls.iter().map(|hall| self.own_requests_in(hall)).sum();
        self.metrics.evacuated_running.set(running.into());
    }
}
