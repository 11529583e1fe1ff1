//! When requests to an evacuated data hall stop, in random series of evacuations, late and
//! duplicate store changes and restarts, compared with a simple model that knows when the store
//! reported what.
//!
//! Guards against sending requests to evacuated halls. When sending stops must follow from the age
//! of the evidence: a change may have been in transit for as long as the bound allows.

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
/// The latest time after the store's change at which anything may be sent: two seconds are reserved
/// for transit.
const LATEST_SEND: Duration = Duration::from_secs(3);
const HALLS: [&str; 3] = ["a", "b", "c"];

#[derive(Debug, Clone)]
enum Event {
    /// Operators evacuate a hall or write the key again.
    Evacuate(usize),
    /// Operators reinstate a hall.
    Reinstate(usize),
    /// The daemon queries the store, or another daemon does so on its behalf.
    Query,
    /// A reply to any earlier query arrives.
    Reply(usize),
    /// The process restarts.
    Restart,
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..HALLS.len()).prop_map(Event::Evacuate),
        2 => (0..HALLS.len()).prop_map(Event::Reinstate),
        4 => Just(Event::Query),
        5 => (0..6_usize).prop_map(Event::Reply),
        1 => Just(Event::Restart),
        4 => (0..2_500_u64).prop_map(Event::Wait),
    ]
}

/// The store: each hall's key with the revision of its last change, and since when the hall is
/// evacuated.
#[derive(Default)]
struct Store {
    revision: u64,
    keys: [Option<MirrorItem>; 3],
    since: [Option<Time>; 3],
    reinstated_at: [Time; 3],
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
            self.reinstated_at[hall] = now;
        }
    }
}

/// A reply of the store.
#[derive(Clone)]
struct Reply {
    queried_at: Time,
    items: Vec<MirrorItem>,
}

/// The part of a daemon that handles evacuations.
#[derive(Default)]
struct Daemon {
    mirror: Mirror,
    proof: FreshnessProof,
    halls: EvacuatedHalls,
}

impl Daemon {
    fn receive(&mut self, now: Time, reply: Reply) {
        for change in self.mirror.apply_items(StoreEra::NONE, reply.items) {
            match change {
                MirrorChange::Put(held) => {
                    let hall: Rc<str> = held.key.as_str().into();
                    if self.halls.evacuate(&hall) {
                        self.halls.set_closing_time(&hall, now, &self.proof, WITHIN);
                    }
                }
                MirrorChange::Removed(hall) => {
                    self.halls.reinstate(&hall);
                }
            }
        }
        self.proof.renew(reply.queried_at);
    }

    /// Whether the daemon's proof covers this moment.
    fn has_proof_of(&self, now: Time, moment: Time) -> bool {
        moment <= now && self.proof.is_within(now, now.since(moment))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, rng_seed: RngSeed::Fixed(20_261_203), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn nothing_is_sent_to_an_evacuated_hall_after_its_bound(
        events in proptest::collection::vec(event(), 1..60),
    ) {
        let mut now = Time(10_000);
        let mut store = Store::default();
        let mut replies: Vec<Reply> = Vec::new();
        let mut daemon = Daemon::default();
        let mut closed = [false; 3];
        for event in events {
            match event {
                Event::Evacuate(hall) => store.set(now, hall, true),
                Event::Reinstate(hall) => store.set(now, hall, false),
                Event::Query => {
                    let items = store.keys.iter().flatten().cloned().collect();
                    replies.push(Reply { queried_at: now, items });
                }
                Event::Reply(back) => {
                    if let Some(at) = replies.len().checked_sub(1 + back) {
                        daemon.receive(now, replies[at].clone());
                    }
                }
                Event::Restart => {
                    daemon = Daemon::default();
                    replies.clear();
                    closed = [false; 3];
                }
                Event::Wait(span) => now = now + ms(span),
            }
            for (at, hall) in HALLS.iter().enumerate() {
                let (has, closing) = (daemon.halls.has(hall), daemon.halls.is_closing(now, hall));
                if let Some(since) = store.since[at] {
                    // A proof from the same millisecond may predate the change.
                    let known = daemon.has_proof_of(now, since + ms(1));
                    prop_assert!(has || !known, "{hall} is open although the evacuation is known");
                    let late = now.since(since) >= LATEST_SEND;
                    prop_assert!(!closing || !late, "{hall} is still sent to");
                } else {
                    let known = daemon.has_proof_of(now, store.reinstated_at[at] + ms(1));
                    prop_assert!(!has || !known, "{hall} is closed although it was reinstated");
                }
                prop_assert!(!(closed[at] && closing), "{hall} was closed and is closing again");
                closed[at] = has && !closing;
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
        assert!(!halls.is_closing(Time(0), &hall), "the age of the evacuation is unknown");
        halls.set_closing_time(&hall, Time(20_000), proof, WITHIN);
        halls
    };
    let proof = FreshnessProof::default();
    assert!(!dated(&proof).is_closing(Time(20_000), &hall), "a daemon that has just started");
    proof.renew(Time(18_500));
    let mut halls = dated(&proof);
    assert!(halls.is_closing(Time(21_499), &hall));
    assert!(!halls.is_closing(Time(21_500), &hall), "3 s after the last moment without it");
    assert!(!halls.evacuate(&hall), "the key is written again");
    assert!(!halls.is_closing(Time(21_500), &hall));
    assert_eq!(halls.newly_closed(Time(21_500)).len(), 1);
    assert_eq!(halls.newly_closed(Time(21_600)).len(), 0, "reported once");
    assert!(halls.reinstate(&hall).is_some());
    assert!(!halls.has(&hall));
}

/// Guards against loads in an evacuated hall that daemons request before they learn of the
/// evacuation.
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
    let request = |planner: &mut Planner, at| planner.request_load(Time(at), &id, &key("a1"), 1, 1);
    assert!(matches!(request(&mut planner, 10), LoadRequestAnswer::Coming(_)));
    planner.set_evacuated("s1", true);
    assert!(
        planner.plan(Time(20), std::slice::from_ref(&id)).0.is_empty(),
        "earlier load requests are dropped"
    );
    assert_eq!(request(&mut planner, 30), LoadRequestAnswer::Refused);
    planner.update_server(Time(40), &backend("s1", &[]));
    assert_eq!(
        request(&mut planner, 50),
        LoadRequestAnswer::Refused,
        "a changed entry does not reopen it"
    );
    planner.set_evacuated("s1", false);
    assert!(matches!(request(&mut planner, 60), LoadRequestAnswer::Coming(_)));
    assert_eq!(planner.plan(Time(70), std::slice::from_ref(&id)).0.len(), 1);
}
