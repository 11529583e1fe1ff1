//! Tests of the engine owner's state machine.

use portrack::owner::{
    Answer, Ask, End, EngineOwner, Event, Lock, OrderKind, OrderResult, Output, Report, Running,
    Tuning, Verdict,
};
use portrack::types::{
    AdapterVersion, Class, Fence, FenceMaker, Instance, Reason, ReservationId, Time,
};

/// A time at which the quarantine after a takeover has ended, so that unloads are allowed.
const AFTER_QUARANTINE: Time = Time(20_000);

fn adapter(name: &str) -> AdapterVersion {
    format!("{name}@v1").parse().unwrap()
}

fn entry() -> Instance {
    Instance { node: "n1".parse().unwrap(), incarnation: 1 }
}

fn ask(id: u128, name: &str) -> Ask {
    let class = Class::Interactive;
    Ask { id: ReservationId(id), attempt: 1, adapter: adapter(name), class, wait_ms: 10_000 }
}

fn report(at: Time, fence: u64, loaded: &[&str]) -> Report {
    Report {
        asked_at: at,
        epoch: 1,
        fence: Fence(fence),
        lease_at: None,
        leaving: false,
        loaded: loaded.iter().map(|name| adapter(name)).collect(),
        loading: Vec::new(),
        running: Vec::new(),
        slots: 2,
        batch: 2,
    }
}

fn running(id: u128, name: &str) -> Running {
    Running { id: ReservationId(id), adapter: adapter(name) }
}

fn new_owner() -> EngineOwner {
    let (engine, fences) = ("e1".parse().unwrap(), FenceMaker::new(&entry(), Time(0)));
    EngineOwner::new(engine, Lock::Fence, Tuning::default(), fences, Time(0))
}

/// An owner that has held the engine under fence 1 for a long time.
fn owner(loaded: &[&str]) -> EngineOwner {
    let mut owner = new_owner();
    owner.on(Time(0), Event::Report(report(Time(0), 0, loaded)));
    owner.on(Time(1), Event::FenceRaised(Fence(1)));
    owner.on(AFTER_QUARANTINE, Event::Report(report(AFTER_QUARANTINE, 1, loaded)));
    owner
}

fn reserve(owner: &mut EngineOwner, now: Time, ask: Ask) -> Vec<Output> {
    owner.on(now, Event::Reserve { from: entry(), ask })
}

fn verdicts(outputs: &[Output]) -> Vec<Verdict> {
    let answers = outputs.iter().filter_map(|output| match output {
        Output::Answer { answer: Answer { verdict, .. }, .. } => Some(verdict.clone()),
        _ => None,
    });
    answers.collect()
}

fn orders(outputs: &[Output]) -> Vec<(OrderKind, AdapterVersion)> {
    let orders = outputs.iter().filter_map(|output| match output {
        Output::Order(order) => Some((order.kind, order.adapter.clone())),
        _ => None,
    });
    orders.collect()
}

fn granted() -> Verdict {
    Verdict::Granted(Fence(1))
}

#[test]
fn requests_for_a_loaded_adapter_are_granted_and_repeated_asks_are_idempotent() {
    let mut owner = owner(&["ana"]);
    assert_eq!(verdicts(&reserve(&mut owner, AFTER_QUARANTINE, ask(1, "ana"))), [granted()]);
    assert_eq!(verdicts(&reserve(&mut owner, AFTER_QUARANTINE, ask(1, "ana"))), [granted()]);
    assert_eq!(owner.pin_count(), 1);
}

#[test]
fn one_load_serves_all_waiting_requests() {
    let mut owner = owner(&[]);
    let outputs = reserve(&mut owner, AFTER_QUARANTINE, ask(1, "ana"));
    assert!(outputs.iter().any(|output| matches!(output, Output::AskPermit { .. })));
    let outputs = reserve(&mut owner, AFTER_QUARANTINE, ask(2, "ana"));
    assert!(!outputs.iter().any(|output| matches!(output, Output::AskPermit { .. })));
    let outputs = owner.on(AFTER_QUARANTINE, Event::Permit(adapter("ana")));
    assert_eq!(orders(&outputs), [(OrderKind::Load, adapter("ana"))]);
    let id = owner.load_order(&adapter("ana")).unwrap();
    let outputs = owner.on(AFTER_QUARANTINE, Event::OrderDone { id, result: OrderResult::Done });
    assert_eq!(verdicts(&outputs), [granted(), granted()]);
}

#[test]
fn adapters_in_use_are_not_unloaded() {
    let mut owner = owner(&["ana", "bea"]);
    reserve(&mut owner, AFTER_QUARANTINE, ask(1, "ana"));
    reserve(&mut owner, AFTER_QUARANTINE, ask(2, "bea"));
    reserve(&mut owner, AFTER_QUARANTINE, ask(3, "cyd"));
    assert_eq!(orders(&owner.on(AFTER_QUARANTINE, Event::Permit(adapter("cyd")))), []);
    let later = Time(AFTER_QUARANTINE.0 + 1_000);
    let outputs = owner.on(later, Event::Release { id: ReservationId(1), end: End::Ended });
    assert_eq!(orders(&outputs), [], "unloaded before a report showed it idle");
    let shown = Time(later.0 + 600);
    let mut fresh = report(shown, 1, &["ana", "bea"]);
    fresh.running = vec![running(2, "bea")];
    let outputs = owner.on(shown, Event::Report(fresh));
    assert_eq!(orders(&outputs), [(OrderKind::Unload, adapter("ana"))]);
}

#[test]
fn an_unsure_release_keeps_the_pin_until_a_report_shows_the_end() {
    let mut owner = owner(&["ana"]);
    reserve(&mut owner, AFTER_QUARANTINE, ask(1, "ana"));
    owner.on(AFTER_QUARANTINE, Event::Release { id: ReservationId(1), end: End::Unsure });
    assert_eq!(owner.pin_count(), 1);
    let mut fresh = report(Time(AFTER_QUARANTINE.0 + 5_000), 1, &["ana"]);
    fresh.running = vec![running(1, "ana")];
    owner.on(fresh.asked_at, Event::Report(fresh));
    assert_eq!(owner.pin_count(), 1);
    let gone = report(Time(AFTER_QUARANTINE.0 + 6_000), 1, &["ana"]);
    owner.on(gone.asked_at, Event::Report(gone));
    assert_eq!(owner.pin_count(), 0);
}

#[test]
fn no_grant_without_a_fresh_report() {
    let mut owner = owner(&["ana"]);
    let late = Time(AFTER_QUARANTINE.0 + 10_000);
    let outputs = reserve(&mut owner, late, ask(1, "ana"));
    assert_eq!(verdicts(&outputs), [Verdict::Queued]);
    assert!(outputs.contains(&Output::Poll), "a fresh report is requested at once");
    let outputs = owner.on(late, Event::Report(report(late, 1, &["ana"])));
    assert_eq!(verdicts(&outputs), [granted()]);
}

#[test]
fn a_fence_raised_after_a_pause_does_not_validate_an_old_report() {
    let mut owner = new_owner();
    owner.on(Time(5_000), Event::Report(report(Time(0), 0, &["ana"])));
    owner.on(Time(5_001), Event::FenceRaised(Fence(1)));
    let outputs = reserve(&mut owner, Time(5_001), ask(1, "ana"));
    assert_eq!(verdicts(&outputs), [Verdict::Queued]);
    let mut leaving = report(Time(5_001), 1, &["ana"]);
    leaving.leaving = true;
    let outputs = owner.on(Time(5_002), Event::Report(leaving));
    let refused = Verdict::Refused { reason: Reason::NoBackend, retry_ms: 0 };
    assert_eq!(verdicts(&outputs), [refused]);
}

#[test]
fn a_new_owner_unloads_nothing_during_the_quarantine() {
    let mut owner = new_owner();
    owner.on(Time(0), Event::Report(report(Time(0), 0, &["ana", "bea"])));
    owner.on(Time(1), Event::FenceRaised(Fence(1)));
    let quarantine = Tuning::default().quarantine().as_millis() as u64;
    let mut ordered = Vec::new();
    for now in (100..=quarantine + 1_000).step_by(100) {
        let report = report(Time(now), 1, &["ana", "bea"]);
        let mut outputs = owner.on(Time(now), Event::Report(report));
        outputs.extend(reserve(&mut owner, Time(now), ask(1, "cyd")));
        outputs.extend(owner.on(Time(now), Event::Permit(adapter("cyd"))));
        if !orders(&outputs).is_empty() {
            ordered.push(now);
        }
    }
    let first = ordered.first().expect("an adapter is unloaded after the quarantine");
    assert!(*first > quarantine, "unloaded at {first} ms, during the quarantine");
}

#[test]
fn an_owner_by_lease_unloads_nothing_until_all_members_have_confirmed() {
    let (engine, fences) = ("e1".parse().unwrap(), FenceMaker::new(&entry(), Time(0)));
    let mut owner = EngineOwner::new(engine, Lock::Lease, Tuning::default(), fences, Time(0));
    let held = |at: Time| Report { lease_at: Some(at), ..report(at, 1, &["ana", "bea"]) };
    owner.on(Time(0), Event::Report(held(Time(0))));
    owner.on(Time(1), Event::FenceRaised(Fence(1)));
    owner.on(AFTER_QUARANTINE, Event::Report(held(AFTER_QUARANTINE)));
    reserve(&mut owner, AFTER_QUARANTINE, ask(1, "cyd"));
    assert_eq!(orders(&owner.on(AFTER_QUARANTINE, Event::Permit(adapter("cyd")))), []);
    owner.on(AFTER_QUARANTINE, Event::Cleared);
    let early = Time(AFTER_QUARANTINE.0 + 1_900);
    assert_eq!(orders(&owner.on(early, Event::Report(held(early)))), []);
    reserve(&mut owner, early, ask(1, "cyd"));
    let late = Time(AFTER_QUARANTINE.0 + 2_000);
    let outputs = owner.on(late, Event::Report(held(late)));
    assert_eq!(orders(&outputs).len(), 1);
}

#[test]
fn a_higher_fence_ends_the_ownership() {
    let mut owner = owner(&["ana"]);
    reserve(&mut owner, AFTER_QUARANTINE, ask(1, "cyd"));
    let now = Time(AFTER_QUARANTINE.0 + 100);
    let outputs = owner.on(now, Event::Report(report(now, 2, &["ana"])));
    assert!(matches!(verdicts(&outputs)[..], [Verdict::Refused { .. }]));
    assert!(!owner.is_serving());
    assert_eq!(verdicts(&reserve(&mut owner, now, ask(2, "ana"))), [Verdict::Queued]);
}

#[test]
fn an_owner_that_loses_its_engine_returns_the_permits_of_its_loads() {
    let mut owner = owner(&[]);
    reserve(&mut owner, AFTER_QUARANTINE, ask(1, "ana"));
    owner.on(AFTER_QUARANTINE, Event::Permit(adapter("ana")));
    let id = owner.load_order(&adapter("ana")).unwrap();
    let fenced = Event::OrderDone { id, result: OrderResult::Fenced(Fence(9)) };
    let outputs = owner.on(AFTER_QUARANTINE, fenced);
    assert!(outputs.contains(&Output::PermitDone(adapter("ana"))));
}

#[test]
fn slots_are_cleared_when_the_engine_restarts_empty() {
    let mut owner = owner(&["ana", "bea"]);
    let mut empty = report(Time(AFTER_QUARANTINE.0 + 100), 0, &[]);
    empty.epoch = 2;
    let outputs = owner.on(empty.asked_at, Event::Report(empty.clone()));
    assert!(matches!(outputs[..], [Output::RaiseFence(fence)] if fence > Fence(1)));
    owner.on(empty.asked_at, Event::FenceRaised(Fence(2)));
    assert!(owner.holdings().ready.is_empty());
}

#[test]
fn an_equal_fence_after_an_engine_restart_is_raised_again() {
    let mut owner = owner(&["ana"]);
    let mut restarted = report(Time(AFTER_QUARANTINE.0 + 100), 1, &["ana"]);
    restarted.epoch = 2;
    let outputs = owner.on(restarted.asked_at, Event::Report(restarted));
    assert!(matches!(outputs[..], [Output::RaiseFence(_)]));
    assert!(!owner.is_serving());
}

#[test]
fn fences_of_different_daemons_differ() {
    let other = Instance { node: "n2".parse().unwrap(), incarnation: 1 };
    let fence = |me: &Instance| FenceMaker::new(me, Time(0)).above(Fence(0), Time(500));
    assert_ne!(fence(&entry()), fence(&other));
    assert!(fence(&other) > Fence(500));
}

#[test]
fn a_failed_load_refuses_waiting_requests_and_backs_off() {
    let mut owner = owner(&[]);
    reserve(&mut owner, AFTER_QUARANTINE, ask(1, "ana"));
    owner.on(AFTER_QUARANTINE, Event::Permit(adapter("ana")));
    let id = owner.load_order(&adapter("ana")).unwrap();
    let outputs = owner.on(AFTER_QUARANTINE, Event::OrderDone { id, result: OrderResult::Failed });
    let refused = Verdict::Refused { reason: Reason::LoadFailed, retry_ms: 500 };
    assert_eq!(verdicts(&outputs), std::slice::from_ref(&refused));
    assert_eq!(verdicts(&reserve(&mut owner, AFTER_QUARANTINE, ask(2, "ana"))), [refused]);
}

#[test]
fn a_load_with_an_unknown_result_is_resolved_by_the_next_report() {
    let mut owner = owner(&[]);
    reserve(&mut owner, AFTER_QUARANTINE, ask(1, "ana"));
    owner.on(AFTER_QUARANTINE, Event::Permit(adapter("ana")));
    let id = owner.load_order(&adapter("ana")).unwrap();
    owner.on(AFTER_QUARANTINE, Event::OrderDone { id, result: OrderResult::Unknown });
    let later = Time(AFTER_QUARANTINE.0 + 600);
    let outputs = owner.on(later, Event::Report(report(later, 1, &["ana"])));
    assert_eq!(verdicts(&outputs), [granted()]);
}

#[test]
fn a_missing_adapter_is_granted_again_only_after_a_fresh_report() {
    let mut owner = owner(&["ana"]);
    reserve(&mut owner, AFTER_QUARANTINE, ask(1, "ana"));
    let missing = Event::Release { id: ReservationId(1), end: End::Missing };
    let outputs = owner.on(AFTER_QUARANTINE, missing);
    assert!(outputs.contains(&Output::Poll));
    assert_eq!(verdicts(&reserve(&mut owner, AFTER_QUARANTINE, ask(2, "ana"))), [Verdict::Queued]);
    let later = Time(AFTER_QUARANTINE.0 + 600);
    let outputs = owner.on(later, Event::Report(report(later, 1, &[])));
    assert!(outputs.iter().any(|output| matches!(output, Output::AskPermit { .. })));
}

#[test]
fn a_full_queue_refuses_at_once() {
    let mut owner = owner(&[]);
    let limit = Tuning::default().queue_len as u128;
    for id in 0..limit {
        assert_eq!(
            verdicts(&reserve(&mut owner, AFTER_QUARANTINE, ask(id, "ana"))),
            [Verdict::Queued]
        );
    }
    let outputs = reserve(&mut owner, AFTER_QUARANTINE, ask(limit, "ana"));
    assert!(matches!(verdicts(&outputs)[..], [Verdict::Refused { reason: Reason::QueueFull, .. }]));
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut owner = owner(&[]);
    let urgent = Ask { wait_ms: 100, ..ask(1, "ana") };
    let outputs = reserve(&mut owner, AFTER_QUARANTINE, urgent);
    assert!(matches!(verdicts(&outputs)[..], [Verdict::Refused { reason: Reason::Deadline, .. }]));
}

#[test]
fn a_request_whose_load_would_begin_too_late_is_refused_at_once() {
    let mut owner = owner(&[]);
    let patient = |id, name: &str| Ask { wait_ms: 8_000, ..ask(id, name) };
    for id in 0..6 {
        let now = Time(AFTER_QUARANTINE.0 + id as u64);
        let outputs = reserve(&mut owner, now, patient(id, &format!("a{id}")));
        assert_eq!(
            verdicts(&outputs),
            [Verdict::Queued],
            "loads start one second apart with two slots"
        );
    }
    let now = Time(AFTER_QUARANTINE.0 + 10);
    let outputs = reserve(&mut owner, now, patient(9, "late"));
    let [Verdict::Refused { reason, retry_ms }] = verdicts(&outputs)[..] else {
        panic!("expected a refusal: {outputs:?}")
    };
    assert_eq!(reason, Reason::Deadline, "six adapters wait ahead of it");
    assert!((6_000..8_000).contains(&retry_ms), "unexpected retry hint: {retry_ms}");
    let outputs = reserve(&mut owner, now, Ask { wait_ms: 3_000, ..ask(10, "a0") });
    assert_eq!(verdicts(&outputs), [Verdict::Queued], "its adapter is first in the queue");
}

#[test]
fn a_waiting_request_is_refused_once_a_load_can_no_longer_finish_in_time() {
    let mut owner = owner(&[]);
    let asked = Ask { wait_ms: 4_000, ..ask(1, "ana") };
    assert_eq!(verdicts(&reserve(&mut owner, AFTER_QUARANTINE, asked)), [Verdict::Queued]);
    let refused = |owner: &mut EngineOwner, at: u64| {
        reserve(owner, Time(AFTER_QUARANTINE.0 + at), ask(1, "ana"));
        verdicts(&owner.on(Time(AFTER_QUARANTINE.0 + at), Event::Tick)).len()
    };
    assert_eq!(refused(&mut owner, 2_000), 0);
    assert_eq!(refused(&mut owner, 2_600), 1, "a load is expected to take 1.5 s");
}

#[test]
fn background_requests_get_one_grant_in_eight() {
    let mut owner = owner(&["ana"]);
    reserve(&mut owner, AFTER_QUARANTINE, ask(1_000, "ana"));
    reserve(&mut owner, AFTER_QUARANTINE, ask(1_001, "ana"));
    for id in 0..16 {
        let class = if id < 8 { Class::Background } else { Class::Interactive };
        reserve(&mut owner, AFTER_QUARANTINE, Ask { class, ..ask(id, "ana") });
    }
    let mut background = 0;
    let mut last = 1_000;
    for _ in 0..8 {
        let release = Event::Release { id: ReservationId(last), end: End::Ended };
        let outputs = owner.on(AFTER_QUARANTINE, release);
        let granted = outputs.iter().find_map(|output| match output {
            Output::Answer { answer, .. } => Some(answer.id.0),
            _ => None,
        });
        last = granted.expect("the release frees a place in the batch");
        background += u32::from(last < 8);
    }
    assert_eq!(background, 1, "one grant in eight");
}

#[test]
fn a_waiting_request_that_is_not_renewed_is_dropped() {
    let mut owner = owner(&[]);
    reserve(&mut owner, AFTER_QUARANTINE, ask(1, "ana"));
    owner.on(Time(AFTER_QUARANTINE.0 + 2_000), Event::Tick);
    assert_eq!(owner.waiting_count(), 1);
    owner.on(Time(AFTER_QUARANTINE.0 + 2_600), Event::Tick);
    assert_eq!(owner.waiting_count(), 0);
}
