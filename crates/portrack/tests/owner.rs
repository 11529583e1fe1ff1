//! The owner of an engine, event by event.

use portrack::owner::{
    Answer, Ask, End, EngineOwner, Event, Lock, OrderKind, OrderResult, Output, Report, Running,
    Tuning, Verdict,
};
use portrack::types::{
    AdapterVersion, Class, Fence, FenceMaker, Instance, Reason, ReservationId, Time,
};

/// Late enough after a takeover for unloads.
const SETTLED: Time = Time(20_000);

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

/// An owner that has held the engine under fence 1 for long.
fn owner(loaded: &[&str]) -> EngineOwner {
    let mut owner = new_owner();
    owner.on(Time(0), Event::Report(report(Time(0), 0, loaded)));
    owner.on(Time(1), Event::FenceRaised(Fence(1)));
    owner.on(SETTLED, Event::Report(report(SETTLED, 1, loaded)));
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
fn a_loaded_adapter_is_granted_at_once_and_again_when_asked_again() {
    let mut owner = owner(&["ana"]);
    assert_eq!(verdicts(&reserve(&mut owner, SETTLED, ask(1, "ana"))), [granted()]);
    assert_eq!(verdicts(&reserve(&mut owner, SETTLED, ask(1, "ana"))), [granted()]);
    assert_eq!(owner.pin_count(), 1);
}

#[test]
fn one_load_serves_all_who_wait() {
    let mut owner = owner(&[]);
    let outputs = reserve(&mut owner, SETTLED, ask(1, "ana"));
    assert!(outputs.iter().any(|output| matches!(output, Output::AskPermit { .. })));
    let outputs = reserve(&mut owner, SETTLED, ask(2, "ana"));
    assert!(!outputs.iter().any(|output| matches!(output, Output::AskPermit { .. })));
    let outputs = owner.on(SETTLED, Event::Permit(adapter("ana")));
    assert_eq!(orders(&outputs), [(OrderKind::Load, adapter("ana"))]);
    let id = owner.load_order(&adapter("ana")).unwrap();
    let outputs = owner.on(SETTLED, Event::OrderDone { id, result: OrderResult::Done });
    assert_eq!(verdicts(&outputs), [granted(), granted()]);
}

#[test]
fn nothing_in_use_makes_room() {
    let mut owner = owner(&["ana", "bea"]);
    reserve(&mut owner, SETTLED, ask(1, "ana"));
    reserve(&mut owner, SETTLED, ask(2, "bea"));
    reserve(&mut owner, SETTLED, ask(3, "cyd"));
    assert_eq!(orders(&owner.on(SETTLED, Event::Permit(adapter("cyd")))), []);
    let later = Time(SETTLED.0 + 1_000);
    let outputs = owner.on(later, Event::Release { id: ReservationId(1), end: End::Ended });
    assert_eq!(orders(&outputs), [], "no report has shown it idle");
    let shown = Time(later.0 + 600);
    let mut fresh = report(shown, 1, &["ana", "bea"]);
    fresh.running = vec![running(2, "bea")];
    let outputs = owner.on(shown, Event::Report(fresh));
    assert_eq!(orders(&outputs), [(OrderKind::Unload, adapter("ana"))]);
}

#[test]
fn a_release_that_is_not_sure_keeps_the_pin_until_the_engine_says_otherwise() {
    let mut owner = owner(&["ana"]);
    reserve(&mut owner, SETTLED, ask(1, "ana"));
    owner.on(SETTLED, Event::Release { id: ReservationId(1), end: End::Unsure });
    assert_eq!(owner.pin_count(), 1);
    let mut fresh = report(Time(SETTLED.0 + 5_000), 1, &["ana"]);
    fresh.running = vec![running(1, "ana")];
    owner.on(fresh.asked_at, Event::Report(fresh));
    assert_eq!(owner.pin_count(), 1);
    let gone = report(Time(SETTLED.0 + 6_000), 1, &["ana"]);
    owner.on(gone.asked_at, Event::Report(gone));
    assert_eq!(owner.pin_count(), 0);
}

#[test]
fn no_grant_without_a_fresh_report() {
    let mut owner = owner(&["ana"]);
    let late = Time(SETTLED.0 + 10_000);
    let outputs = reserve(&mut owner, late, ask(1, "ana"));
    assert_eq!(verdicts(&outputs), [Verdict::Queued]);
    assert!(outputs.contains(&Output::Poll), "a fresh report is asked for at once");
    let outputs = owner.on(late, Event::Report(report(late, 1, &["ana"])));
    assert_eq!(verdicts(&outputs), [granted()]);
}

#[test]
fn a_fence_raised_after_a_pause_does_not_make_an_old_report_good() {
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
fn a_new_owner_unloads_nothing_before_the_quarantine_is_over() {
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
    let first = ordered.first().expect("room is made at last");
    assert!(*first > quarantine, "an unload at {first} ms");
}

#[test]
fn an_owner_by_lease_unloads_nothing_before_the_members_have_answered() {
    let (engine, fences) = ("e1".parse().unwrap(), FenceMaker::new(&entry(), Time(0)));
    let mut owner = EngineOwner::new(engine, Lock::Lease, Tuning::default(), fences, Time(0));
    let held = |at: Time| Report { lease_at: Some(at), ..report(at, 1, &["ana", "bea"]) };
    owner.on(Time(0), Event::Report(held(Time(0))));
    owner.on(Time(1), Event::FenceRaised(Fence(1)));
    owner.on(SETTLED, Event::Report(held(SETTLED)));
    reserve(&mut owner, SETTLED, ask(1, "cyd"));
    assert_eq!(orders(&owner.on(SETTLED, Event::Permit(adapter("cyd")))), []);
    owner.on(SETTLED, Event::Cleared);
    let early = Time(SETTLED.0 + 1_900);
    assert_eq!(orders(&owner.on(early, Event::Report(held(early)))), []);
    reserve(&mut owner, early, ask(1, "cyd"));
    let late = Time(SETTLED.0 + 2_000);
    let outputs = owner.on(late, Event::Report(held(late)));
    assert_eq!(orders(&outputs).len(), 1);
}

#[test]
fn a_higher_fence_ends_the_ownership() {
    let mut owner = owner(&["ana"]);
    reserve(&mut owner, SETTLED, ask(1, "cyd"));
    let now = Time(SETTLED.0 + 100);
    let outputs = owner.on(now, Event::Report(report(now, 2, &["ana"])));
    assert!(matches!(verdicts(&outputs)[..], [Verdict::Refused { .. }]));
    assert!(!owner.is_serving());
    assert_eq!(verdicts(&reserve(&mut owner, now, ask(2, "ana"))), [Verdict::Queued]);
}

#[test]
fn an_owner_that_loses_its_engine_gives_back_the_permits_of_its_loads() {
    let mut owner = owner(&[]);
    reserve(&mut owner, SETTLED, ask(1, "ana"));
    owner.on(SETTLED, Event::Permit(adapter("ana")));
    let id = owner.load_order(&adapter("ana")).unwrap();
    let fenced = Event::OrderDone { id, result: OrderResult::Fenced(Fence(9)) };
    let outputs = owner.on(SETTLED, fenced);
    assert!(outputs.contains(&Output::PermitDone(adapter("ana"))));
}

#[test]
fn an_engine_that_restarted_empty_loses_its_slots() {
    let mut owner = owner(&["ana", "bea"]);
    let mut empty = report(Time(SETTLED.0 + 100), 0, &[]);
    empty.epoch = 2;
    let outputs = owner.on(empty.asked_at, Event::Report(empty.clone()));
    assert!(matches!(outputs[..], [Output::RaiseFence(fence)] if fence > Fence(1)));
    owner.on(empty.asked_at, Event::FenceRaised(Fence(2)));
    assert!(owner.holdings().ready.is_empty());
}

#[test]
fn the_same_fence_after_a_restart_is_another_owners() {
    let mut owner = owner(&["ana"]);
    let mut restarted = report(Time(SETTLED.0 + 100), 1, &["ana"]);
    restarted.epoch = 2;
    let outputs = owner.on(restarted.asked_at, Event::Report(restarted));
    assert!(matches!(outputs[..], [Output::RaiseFence(_)]));
    assert!(!owner.is_serving());
}

#[test]
fn daemons_never_make_the_same_fence() {
    let other = Instance { node: "n2".parse().unwrap(), incarnation: 1 };
    let fence = |me: &Instance| FenceMaker::new(me, Time(0)).above(Fence(0), Time(500));
    assert_ne!(fence(&entry()), fence(&other));
    assert!(fence(&other) > Fence(500));
}

#[test]
fn a_failed_load_sends_those_who_wait_elsewhere_and_backs_off() {
    let mut owner = owner(&[]);
    reserve(&mut owner, SETTLED, ask(1, "ana"));
    owner.on(SETTLED, Event::Permit(adapter("ana")));
    let id = owner.load_order(&adapter("ana")).unwrap();
    let outputs = owner.on(SETTLED, Event::OrderDone { id, result: OrderResult::Failed });
    let refused = Verdict::Refused { reason: Reason::LoadFailed, retry_ms: 500 };
    assert_eq!(verdicts(&outputs), std::slice::from_ref(&refused));
    assert_eq!(verdicts(&reserve(&mut owner, SETTLED, ask(2, "ana"))), [refused]);
}

#[test]
fn a_lost_answer_to_a_load_is_settled_by_the_next_report() {
    let mut owner = owner(&[]);
    reserve(&mut owner, SETTLED, ask(1, "ana"));
    owner.on(SETTLED, Event::Permit(adapter("ana")));
    let id = owner.load_order(&adapter("ana")).unwrap();
    owner.on(SETTLED, Event::OrderDone { id, result: OrderResult::Unknown });
    let later = Time(SETTLED.0 + 600);
    let outputs = owner.on(later, Event::Report(report(later, 1, &["ana"])));
    assert_eq!(verdicts(&outputs), [granted()]);
}

#[test]
fn a_missing_adapter_is_granted_again_only_after_a_fresh_report() {
    let mut owner = owner(&["ana"]);
    reserve(&mut owner, SETTLED, ask(1, "ana"));
    let missing = Event::Release { id: ReservationId(1), end: End::Missing };
    let outputs = owner.on(SETTLED, missing);
    assert!(outputs.contains(&Output::Poll));
    assert_eq!(verdicts(&reserve(&mut owner, SETTLED, ask(2, "ana"))), [Verdict::Queued]);
    let later = Time(SETTLED.0 + 600);
    let outputs = owner.on(later, Event::Report(report(later, 1, &[])));
    assert!(outputs.iter().any(|output| matches!(output, Output::AskPermit { .. })));
}

#[test]
fn a_queue_that_is_full_refuses_at_once() {
    let mut owner = owner(&[]);
    let limit = Tuning::default().queue_len as u128;
    for id in 0..limit {
        assert_eq!(verdicts(&reserve(&mut owner, SETTLED, ask(id, "ana"))), [Verdict::Queued]);
    }
    let outputs = reserve(&mut owner, SETTLED, ask(limit, "ana"));
    assert!(matches!(verdicts(&outputs)[..], [Verdict::Refused { reason: Reason::QueueFull, .. }]));
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut owner = owner(&[]);
    let hasty = Ask { wait_ms: 100, ..ask(1, "ana") };
    let outputs = reserve(&mut owner, SETTLED, hasty);
    assert!(matches!(verdicts(&outputs)[..], [Verdict::Refused { reason: Reason::Deadline, .. }]));
}

#[test]
fn a_request_whose_turn_is_expected_too_late_is_refused_at_once() {
    let mut owner = owner(&[]);
    let patient = |id, name: &str| Ask { wait_ms: 8_000, ..ask(id, name) };
    for id in 0..6 {
        let now = Time(SETTLED.0 + id as u64);
        let outputs = reserve(&mut owner, now, patient(id, &format!("a{id}")));
        assert_eq!(verdicts(&outputs), [Verdict::Queued], "a second for each of two slots");
    }
    let now = Time(SETTLED.0 + 10);
    let outputs = reserve(&mut owner, now, patient(9, "late"));
    let [Verdict::Refused { reason, retry_ms }] = verdicts(&outputs)[..] else {
        panic!("refused: {outputs:?}")
    };
    assert_eq!(reason, Reason::Deadline, "six wait before it");
    assert!((6_000..8_000).contains(&retry_ms), "it is told when to come back: {retry_ms}");
    let outputs = reserve(&mut owner, now, Ask { wait_ms: 3_000, ..ask(10, "a0") });
    assert_eq!(verdicts(&outputs), [Verdict::Queued], "that one is first in turn");
}

#[test]
fn a_waiting_request_is_refused_as_soon_as_no_load_can_be_in_time() {
    let mut owner = owner(&[]);
    let asked = Ask { wait_ms: 4_000, ..ask(1, "ana") };
    assert_eq!(verdicts(&reserve(&mut owner, SETTLED, asked)), [Verdict::Queued]);
    let refused = |owner: &mut EngineOwner, at: u64| {
        reserve(owner, Time(SETTLED.0 + at), ask(1, "ana"));
        verdicts(&owner.on(Time(SETTLED.0 + at), Event::Tick)).len()
    };
    assert_eq!(refused(&mut owner, 2_000), 0);
    assert_eq!(refused(&mut owner, 2_600), 1, "a load takes 1.5 s here");
}

#[test]
fn background_work_gets_its_share() {
    let mut owner = owner(&["ana"]);
    reserve(&mut owner, SETTLED, ask(1_000, "ana"));
    reserve(&mut owner, SETTLED, ask(1_001, "ana"));
    for id in 0..16 {
        let class = if id < 8 { Class::Background } else { Class::Interactive };
        reserve(&mut owner, SETTLED, Ask { class, ..ask(id, "ana") });
    }
    let mut background = 0;
    let mut last = 1_000;
    for _ in 0..8 {
        let release = Event::Release { id: ReservationId(last), end: End::Ended };
        let outputs = owner.on(SETTLED, release);
        let granted = outputs.iter().find_map(|output| match output {
            Output::Answer { answer, .. } => Some(answer.id.0),
            _ => None,
        });
        last = granted.expect("a place became free");
        background += u32::from(last < 8);
    }
    assert_eq!(background, 1, "one grant in eight");
}

#[test]
fn a_waiting_request_whose_entry_node_is_gone_is_dropped() {
    let mut owner = owner(&[]);
    reserve(&mut owner, SETTLED, ask(1, "ana"));
    owner.on(Time(SETTLED.0 + 2_000), Event::Tick);
    assert_eq!(owner.waiting_count(), 1);
    owner.on(Time(SETTLED.0 + 2_600), Event::Tick);
    assert_eq!(owner.waiting_count(), 0);
}
