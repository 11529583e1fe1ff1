//! When an evacuated data hall gets nothing any more, after random series of evacuations, late and
//! doubled news and restarts, against a plain model that knows when the store said what.
//!
//! Requests went on to the servers of evacuated halls for as long as the evacuation lasted: nobody read
//! the key. What may be sent there has to follow from the age of the evidence: the news may have been on
//! its way for as long as the bound allows.

use crate::support::{MODEL, backend, config, key, ms};
use portrack::Time;
use portrack::gateway::{
    EvacuatedHalls, FreshnessProof, LoadRequestAnswer, Mirror, MirrorChange, MirrorItem, Planner,
    ServerReport,
};
use portrack::store::StoreEra;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::rc::Rc;
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(5);
/// The latest that anything may be sent after the store's word: two seconds are kept for the way.
const LATEST: Duration = Duration::from_secs(3);
const HALLS: [&str; 3] = ["a", "b", "c"];

#[derive(Debug, Clone)]
enum Event {
    /// The operators evacuate a hall, or write the key once more.
    Evacuate(usize),
    /// They take it back.
    TakeBack(usize),
    /// The daemon asks the store, or another daemon asks on its behalf.
    Ask,
    /// An answer comes, of any question so far.
    Answer(usize),
    /// The process starts again.
    Restart,
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..HALLS.len()).prop_map(Event::Evacuate),
        2 => (0..HALLS.len()).prop_map(Event::TakeBack),
        4 => Just(Event::Ask),
        5 => (0..6_usize).prop_map(Event::Answer),
        1 => Just(Event::Restart),
        4 => (0..2_500_u64).prop_map(Event::Wait),
    ]
}

/// The store: each hall's key with the revision of its last change, and since when it is evacuated.
#[derive(Default)]
struct Store {
    revision: u64,
    keys: [Option<MirrorItem>; 3],
    since: [Option<Time>; 3],
    taken_back_at: [Time; 3],
}

impl Store {
    fn set(&mut self, now: Time, hall: usize, evacuated: bool) {
        self.revision += 1;
        let value = evacuated.then(|| b"\xff no body".to_vec());
        let key = HALLS[hall].to_owned();
        self.keys[hall] = Some(MirrorItem { key, revision: self.revision, value });
        if evacuated {
            self.since[hall].get_or_insert(now);
        } else {
            self.since[hall] = None;
            self.taken_back_at[hall] = now;
        }
    }
}

/// What the store told at some time.
#[derive(Clone)]
struct Answer {
    asked_at: Time,
    items: Vec<MirrorItem>,
}

/// The part of a daemon that knows of evacuations.
#[derive(Default)]
struct Daemon {
    mirror: Mirror,
    proof: FreshnessProof,
    halls: EvacuatedHalls,
}

impl Daemon {
    fn hear(&mut self, now: Time, answer: Answer) {
        for change in self.mirror.apply_items(StoreEra::NONE, answer.items) {
            match change {
                MirrorChange::Put(held) => {
                    let hall: Rc<str> = held.key.as_str().into();
                    if self.halls.evacuate(&hall) {
                        self.halls.date(&hall, now, &self.proof, WITHIN);
                    }
                }
                MirrorChange::Removed(hall) => {
                    self.halls.reinstate(&hall);
                }
            }
        }
        self.proof.renew(answer.asked_at);
    }

    /// The daemon has proof of a moment, or of a later one.
    fn knows(&self, now: Time, moment: Time) -> bool {
        moment <= now && self.proof.is_within(now, now.since(moment))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, rng_seed: RngSeed::Fixed(20_261_203), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn nothing_is_sent_to_a_hall_later_than_its_bound_whatever_news_comes_when(
        events in proptest::collection::vec(event(), 1..60),
    ) {
        let mut now = Time(10_000);
        let mut store = Store::default();
        let mut answers: Vec<Answer> = Vec::new();
        let mut daemon = Daemon::default();
        let mut closed = [false; 3];
        for event in events {
            match event {
                Event::Evacuate(hall) => store.set(now, hall, true),
                Event::TakeBack(hall) => store.set(now, hall, false),
                Event::Ask => {
                    let items = store.keys.iter().flatten().cloned().collect();
                    answers.push(Answer { asked_at: now, items });
                }
                Event::Answer(back) => {
                    if let Some(at) = answers.len().checked_sub(1 + back) {
                        daemon.hear(now, answers[at].clone());
                    }
                }
                Event::Restart => {
                    daemon = Daemon::default();
                    answers.clear();
                    closed = [false; 3];
                }
                Event::Wait(span) => now = now + ms(span),
            }
            for (at, hall) in HALLS.iter().enumerate() {
                let (has, leaving) = (daemon.halls.has(hall), daemon.halls.is_closing(now, hall));
                if let Some(since) = store.since[at] {
                    // Proof of the very millisecond may be of before the change.
                    let told = daemon.knows(now, since + ms(1));
                    prop_assert!(has || !told, "{hall} is open though the store's word is known");
                    let late = now.since(since) >= LATEST;
                    prop_assert!(!leaving || !late, "{hall} is still sent to");
                } else {
                    let told = daemon.knows(now, store.taken_back_at[at] + ms(1));
                    prop_assert!(!has || !told, "{hall} is closed though it was taken back");
                }
                prop_assert!(!(closed[at] && leaving), "{hall} was closed and is left again");
                closed[at] = has && !leaving;
            }
        }
    }
}

#[test]
fn a_hall_closes_by_the_age_of_the_evidence_and_not_by_its_arrival() {
    let hall: Rc<str> = "a".into();
    let dated = |proof: &FreshnessProof| {
        let mut halls = EvacuatedHalls::default();
        assert!(halls.evacuate(&hall));
        assert!(!halls.is_closing(Time(0), &hall), "nothing is known of its age");
        halls.date(&hall, Time(20_000), proof, WITHIN);
        halls
    };
    let proof = FreshnessProof::default();
    assert!(!dated(&proof).is_closing(Time(20_000), &hall), "a daemon that has just started");
    proof.renew(Time(18_500));
    let mut halls = dated(&proof);
    assert!(halls.is_closing(Time(21_499), &hall));
    assert!(!halls.is_closing(Time(21_500), &hall), "3 s after the last moment without it");
    assert!(!halls.evacuate(&hall), "the key is written once more");
    assert!(!halls.is_closing(Time(21_500), &hall));
    assert_eq!(halls.newly_closed(Time(21_500)).len(), 1);
    assert_eq!(halls.newly_closed(Time(21_600)).len(), 0, "told once");
    assert!(halls.reinstate(&hall).is_some());
    assert!(!halls.has(&hall));
}

/// Daemons that had not heard of the evacuation yet had adapters loaded in the hall.
#[test]
fn nothing_is_loaded_at_a_server_of_an_evacuated_hall() {
    let id: Rc<str> = "s1".into();
    let mut planner = Planner::default();
    planner.set_config(Time(0), config(4, 20.0));
    planner.update_server(Time(0), &backend("s1", &[]));
    let report = ServerReport {
        born: None,
        orders_taken: 0,
        models: vec![MODEL.into()],
        held: Vec::new(),
        pending: Vec::new(),
        requests: 0,
    };
    planner.reported(Time(0), "s1", &report);
    let wish = |planner: &mut Planner, at| planner.request_load(Time(at), &id, &key("a1"), 1, 1);
    assert!(matches!(wish(&mut planner, 10), LoadRequestAnswer::Coming(_)));
    planner.set_evacuated("s1", true);
    assert!(
        planner.plan(Time(20), std::slice::from_ref(&id)).0.is_empty(),
        "not what was wished for before"
    );
    assert_eq!(wish(&mut planner, 30), LoadRequestAnswer::Refused);
    planner.update_server(Time(40), &backend("s1", &[]));
    assert_eq!(
        wish(&mut planner, 50),
        LoadRequestAnswer::Refused,
        "its entry has changed meanwhile"
    );
    planner.set_evacuated("s1", false);
    assert!(matches!(wish(&mut planner, 60), LoadRequestAnswer::Coming(_)));
    assert_eq!(planner.plan(Time(70), std::slice::from_ref(&id)).0.len(), 1);
}
