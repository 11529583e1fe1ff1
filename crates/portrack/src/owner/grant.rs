//! Reservations: requests, grants, refusals and releases.

use super::{Answer, Ask, End, EngineOwner, Output, Pin, SlotState, Verdict, WaitingRequest};
use crate::types::{AdapterVersion, Class, Instance, Reason, ReservationId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum interval between polls that are triggered by a request waiting for a fresh report.
const URGENT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Retry hint for requests refused because the engine is busy, in milliseconds.
const BUSY_RETRY_MS: u32 = 1_000;
/// A request is queued only if its remaining time covers this many times the expected wait for its
/// load; otherwise it is refused at once instead of after a useless wait.
const LOAD_WAIT_MARGIN: f64 = 1.2;

impl EngineOwner {
    pub(super) fn reserve(&mut self, now: Time, from: Instance, ask: &Ask, out: &mut Vec<Output>) {
        if self.repeat_grant(now, &from, ask, out) || self.repeat_queued(now, ask, out) {
            return;
        }
        self.demand.note(&ask.adapter, now);
        if let Some((reason, retry_ms)) = self.refusal_for(now, ask) {
            let verdict = Verdict::Refused { reason, retry_ms };
            let answer = Answer { id: ask.id, attempt: ask.attempt, verdict };
            out.push(Output::Answer { to: from, answer });
            return;
        }
        let (id, attempt) = (ask.id, ask.attempt);
        let until = now + Duration::from_millis(u64::from(ask.wait_ms));
        let ask = ask.clone();
        self.queue.push(WaitingRequest {
            from: from.clone(),
            ask,
            since: now,
            until,
            renewed: now,
        });
        self.grant_waiting(now, out);
        if !self.may_grant(now) {
            self.poll(now, URGENT_POLL_INTERVAL, out);
        }
        if self.queue.find(id).is_some() {
            let answer = Answer { id, attempt, verdict: Verdict::Queued };
            out.push(Output::Answer { to: from, answer });
        }
    }

    fn repeat_grant(
        &mut self,
        now: Time,
        from: &Instance,
        ask: &Ask,
        out: &mut Vec<Output>,
    ) -> bool {
        let usable = self.may_grant(now) && self.is_ready(&ask.adapter);
        let fence = self.fence;
        let Some(pin) = self.pins.get_mut(&ask.id) else {
            return false;
        };
        if usable && pin.adapter == ask.adapter {
            pin.granted_at = now;
            pin.holder = Some(from.clone());
            let answer =
                Answer { id: ask.id, attempt: ask.attempt, verdict: Verdict::Granted(fence) };
            out.push(Output::Answer { to: from.clone(), answer });
        }
        true
    }

    fn repeat_queued(&mut self, now: Time, ask: &Ask, out: &mut Vec<Output>) -> bool {
        let Some(waiting) = self.queue.find(ask.id) else {
            return false;
        };
        waiting.renewed = now;
        waiting.ask.attempt = waiting.ask.attempt.max(ask.attempt);
        let answer = Answer { id: ask.id, attempt: ask.attempt, verdict: Verdict::Queued };
        out.push(Output::Answer { to: waiting.from.clone(), answer });
        true
    }

    /// The reason to refuse a request, if any, with a retry hint in milliseconds.
    fn refusal_for(&self, now: Time, ask: &Ask) -> Option<(Reason, u32)> {
        if self.leaving {
            return Some((Reason::NoBackend, 0));
        }
        if let Some(backoff) = self.backoffs.get(&ask.adapter)
            && now < backoff.until
        {
            let wait = backoff.until.since(now).as_millis();
            return Some((Reason::LoadFailed, u32::try_from(wait).unwrap_or(u32::MAX)));
        }
        let queue_full = self.queue.len(ask.class) >= self.tuning.queue_len;
        if queue_full && !self.could_grant(now, &ask.adapter) {
            return Some((Reason::QueueFull, BUSY_RETRY_MS));
        }
        let least = self.min_start_delay(now, &ask.adapter);
        let load_wait = self.expected_load_wait(now, &ask.adapter);
        if Duration::from_millis(u64::from(ask.wait_ms))
            < least + load_wait.mul_f64(LOAD_WAIT_MARGIN)
        {
            return Some((Reason::Deadline, retry_ms(least + load_wait)));
        }
        None
    }

    /// Expected time until the load of an adapter without a slot begins. Loads start in order of
    /// their oldest waiting request.
    fn expected_load_wait(&self, now: Time, adapter: &AdapterVersion) -> Duration {
        if self.slots.contains_key(adapter) {
            return Duration::ZERO;
        }
        let mine = self.wanted_loads.get(adapter);
        if mine.is_some_and(|want| want.permitted) {
            return Duration::ZERO;
        }
        let since = mine.map_or(now, |want| want.since);
        let ahead = self.wanted_loads.values().filter(|want| want.since < since).count();
        let least = self.tuning.min_hold / u32::try_from(self.slot_count().max(1)).unwrap_or(1);
        self.load_wait.expected(now, ahead, least)
    }

    fn could_grant(&self, now: Time, adapter: &AdapterVersion) -> bool {
        self.may_grant(now) && self.is_ready(adapter) && self.pins.len() < self.batch()
    }

    /// Minimum time before a new request for the adapter can start.
    fn min_start_delay(&self, now: Time, adapter: &AdapterVersion) -> Duration {
        let Some(slot) = self.slots.get(adapter) else {
            return self.load_time.expected();
        };
        match slot.state {
            SlotState::Loading(_) => {
                self.load_time.expected().saturating_sub(now.since(slot.since))
            }
            _ => Duration::ZERO,
        }
    }

    pub(super) fn is_ready(&self, adapter: &AdapterVersion) -> bool {
        self.slots.get(adapter).is_some_and(|slot| slot.state == SlotState::Ready)
    }

    /// Grants waiting requests while the batch has room.
    pub(super) fn grant_waiting(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.may_grant(now) {
            return;
        }
        while self.pins.len() < self.batch() {
            let slots = &self.slots;
            let ready = |a: &AdapterVersion| {
                slots.get(a).is_some_and(|slot| slot.state == SlotState::Ready)
            };
            let Some(waiting) = self.queue.next(self.tuning.background_every, ready) else {
                return;
            };
            self.grant(now, waiting, out);
        }
    }

    fn grant(&mut self, now: Time, waiting: WaitingRequest, out: &mut Vec<Output>) {
        let WaitingRequest { from, ask, .. } = waiting;
        if let Some(slot) = self.slots.get_mut(&ask.adapter) {
            slot.for_waiting = false;
        }
        let pin = Pin { adapter: ask.adapter, holder: Some(from.clone()), granted_at: now };
        self.pins.insert(ask.id, pin);
        let verdict = Verdict::Granted(self.fence);
        let answer = Answer { id: ask.id, attempt: ask.attempt, verdict };
        out.push(Output::Answer { to: from, answer });
    }

    pub(super) fn release(
        &mut self,
        now: Time,
        id: ReservationId,
        end: End,
        out: &mut Vec<Output>,
    ) {
        self.queue.remove(id);
        match end {
            End::Ended => self.unpin(now, id),
            End::Missing => self.on_adapter_missing(now, id, out),
            End::Unsure => {
                if let Some(pin) = self.pins.get_mut(&id) {
                    pin.holder = None;
                    pin.granted_at = now;
                }
            }
        }
    }

    /// Handles an engine that no longer has the adapter: stops granting it until a fresh report
    /// shows which adapters are loaded.
    fn on_adapter_missing(&mut self, now: Time, id: ReservationId, out: &mut Vec<Output>) {
        let adapter = self.pins.get(&id).map(|pin| pin.adapter.clone());
        self.unpin(now, id);
        let slot = adapter.and_then(|adapter| self.slots.get_mut(&adapter));
        if let Some(slot) = slot.filter(|slot| slot.state == SlotState::Ready) {
            slot.state = SlotState::Unsure(now);
            self.bump_holdings();
            self.poll(now, URGENT_POLL_INTERVAL, out);
        }
    }

    pub(super) fn unpin(&mut self, now: Time, id: ReservationId) {
        let Some(pin) = self.pins.remove(&id) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&pin.adapter) {
            slot.idle_since = now;
        }
    }

    /// Refuses waiting requests whose remaining time is too short for the expected wait and load
    /// of their adapter, and drops those that their entry node no longer renews.
    pub(super) fn expire_waiting(&mut self, now: Time, out: &mut Vec<Output>) {
        let ttl = self.tuning.waiter_ttl;
        self.queue.remove_where(|w| now.since(w.renewed) >= ttl);
        let load = self.load_time.expected();
        let needed: BTreeMap<AdapterVersion, Duration> = self
            .wanted_loads
            .keys()
            .map(|adapter| (adapter.clone(), load + self.expected_load_wait(now, adapter)))
            .collect();
        let cannot_start = |w: &WaitingRequest| {
            let needed = needed.get(&w.ask.adapter).copied().unwrap_or_default();
            now + needed >= w.until
        };
        for waiting in self.queue.remove_where(cannot_start) {
            out.push(Self::refuse(waiting, Reason::Deadline, BUSY_RETRY_MS));
        }
    }

    pub(super) fn refuse(waiting: WaitingRequest, reason: Reason, retry_ms: u32) -> Output {
        let verdict = Verdict::Refused { reason, retry_ms };
        let answer = Answer { id: waiting.ask.id, attempt: waiting.ask.attempt, verdict };
        Output::Answer { to: waiting.from, answer }
    }

    /// Number of waiting requests in a class.
    pub fn queued(&self, class: Class) -> usize {
        self.queue.len(class)
    }
}

fn retry_ms(wait: Duration) -> u32 {
    u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
}
