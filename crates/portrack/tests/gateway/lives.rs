//! Servers that start again under their id: what is known of the former life must not outlive it.

use crate::support::{MODEL, backend, config, key, ms};
use portrack::Time;
use portrack::gateway::{
    AdapterLocations, Backend, EntryStatus, LoadRequestAnswer, LoadTable, MAX_REMOVED_INCARNATIONS,
    OutstandingWork, Plan, PlanOutcome, PlannedLoad, Planner, Presence, ServerIncarnations,
    ServerLoad, ServerReport, incarnation_hash,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

fn life(id: &str, born: Option<u64>, orders_taken: u64, draining: bool) -> Backend {
    Backend { born, orders_taken, draining, ..backend(id, &[]) }
}

/// What happens to one server's entry.
#[derive(Debug, Clone)]
enum Change {
    Entry { born: u64, orders_taken: u64, draining: bool },
    Gone,
}

fn change() -> impl Strategy<Value = Change> {
    let entry = (1_u64..5, 0_u64..4, any::<bool>())
        .prop_map(|(born, orders_taken, draining)| Change::Entry { born, orders_taken, draining });
    prop_oneof![6 => entry, 1 => Just(Change::Gone)]
}

/// All entries that counted, in plain words: the newest is the greatest by life and orders, and a life
/// that ever said it is leaving is leaving.
#[derive(Default)]
struct Plain {
    taken: Vec<(u64, u64, bool)>,
}

impl Plain {
    fn take(&mut self, entry: (u64, u64, bool)) -> Option<bool> {
        let newest = self.taken.iter().map(|(born, orders, _)| (*born, *orders)).max();
        if newest.is_some_and(|newest| (entry.0, entry.1) < newest) {
            return None;
        }
        self.taken.push(entry);
        Some(self.taken.iter().any(|(born, _, draining)| *born == entry.0 && *draining))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Entries late, doubled and out of order, the server gone and back: only what is not older counts.
    #[test]
    fn what_counts_is_what_a_plain_list_of_all_entries_says(
        changes in proptest::collection::vec(change(), 1..60)
    ) {
        let (mut lives, mut plain) = (ServerIncarnations::default(), Plain::default());
        for change in changes {
            match change {
                Change::Gone => lives.gone("s1"),
                Change::Entry { born, orders_taken, draining } => {
                    let mut entry = life("s1", Some(born), orders_taken, draining);
                    let counted = lives.take(&mut entry) != EntryStatus::Stale;
                    let expected = plain.take((born, orders_taken, draining));
                    prop_assert_eq!(counted.then_some(entry.draining), expected);
                }
            }
        }
    }

    /// Late orders of the former life, as many as places are kept for, at any time and for any count: the
    /// server never holds more than it has places for.
    #[test]
    fn late_orders_never_fill_a_server_beyond_its_places(
        late in proptest::collection::vec(late_order(), 0..3),
        wishes in proptest::collection::vec((0_u64..15_000, 0_usize..9), 0..60),
    ) {
        let most = Reborn::new(late, wishes).play();
        prop_assert!(most <= PLACES, "{} adapters in {} places", most, PLACES);
    }
}

/// No order of the former life comes later than this after the new life was heard of: 12 s after it was
/// sent, and a second more.
const LAST_LATE: u64 = 13_000;
/// Places of the server in these tests.
const PLACES: usize = 5;
/// Orders are carried out at most 12 s late; the planner expects them for 14 s, in milliseconds.
const NONE_COMES_LATER: u64 = 14_000;
const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// An order of the former life that is carried out when the time has come and the count fits.
#[derive(Debug, Clone)]
struct LateOrder {
    at: u64,
    expected: u64,
    adapter: usize,
}

fn late_order() -> impl Strategy<Value = LateOrder> {
    let parts = (0_u64..12_000, 1_u64..14, 9_usize..12);
    parts.prop_map(|(at, expected, adapter)| LateOrder { at, expected, adapter })
}

/// A server in its second life, with the planner that orders it.
struct Reborn {
    late: Vec<LateOrder>,
    wishes: Vec<(u64, usize)>,
    planner: Planner,
    server: Rc<str>,
    held: BTreeSet<&'static str>,
    based: bool,
    count: u64,
    believed: Option<u64>,
}

impl Reborn {
    fn new(late: Vec<LateOrder>, wishes: Vec<(u64, usize)>) -> Self {
        let mut planner = Planner::default();
        planner.set_config(Time(0), config(PLACES, 3.0));
        planner.update_server(Time(0), &life("s1", Some(1), 40, false));
        planner.server_restarted(Time(0), &"s1".into());
        planner.update_server(
            Time(0),
            &Backend { models: Vec::new(), ..life("s1", Some(2), 0, false) },
        );
        Self {
            late,
            wishes,
            planner,
            server: "s1".into(),
            held: BTreeSet::new(),
            based: false,
            count: 0,
            believed: None,
        }
    }

    /// Plays fifteen seconds; returns the most adapters that were held.
    fn play(mut self) -> usize {
        let mut most = 0;
        for now in (0..15_000).step_by(50) {
            self.arrive(now);
            most = most.max(self.held.len());
            let due: Vec<usize> = self
                .wishes
                .iter()
                .filter(|(at, _)| at / 50 == now / 50)
                .map(|wish| wish.1)
                .collect();
            for wish in due {
                self.planner.request_load(Time(now), &self.server, &key(NAMES[wish]), 1, 1);
            }
            self.order(now);
            most = most.max(self.held.len());
        }
        most
    }

    /// Carries late orders out; one that does not fit yet is tried again, as if it came later, until none
    /// can come any more.
    fn arrive(&mut self, now: u64) {
        if now > LAST_LATE {
            return;
        }
        let due = |late: &LateOrder, count: u64| {
            (late.at..NONE_COMES_LATER).contains(&now) && late.expected == count
        };
        while let Some(at) = self.late.iter().position(|late| due(late, self.count) && self.based) {
            let late = self.late.remove(at);
            self.held.insert(NAMES[late.adapter]);
            self.count += 1;
        }
    }

    fn order(&mut self, now: u64) {
        let ours = std::slice::from_ref(&self.server).to_vec();
        if !self.planner.needing_survey(&ours).is_empty() {
            self.believed = Some(self.count);
            self.planner.reported(Time(now), "s1", &self.report());
        }
        for plan in self.planner.plan(Time(now), &ours).0 {
            let end = self.carry_out(&plan);
            self.planner.ended(Time(now), &plan, end, Some(ms(20)));
            if end == PlanOutcome::Busy {
                self.planner.invalidate_survey("s1");
            }
            if self.based {
                let entry = life("s1", Some(2), self.count, false);
                self.planner.update_server(Time(now), &entry);
            }
            self.arrive(now);
        }
    }

    fn report(&self) -> ServerReport {
        ServerReport {
            born: Some(2),
            orders_taken: self.count,
            models: self.based.then(|| MODEL.into()).into_iter().collect(),
            held: self.held.iter().map(|name| (key(name), 1)).collect(),
            ..ServerReport::default()
        }
    }

    fn carry_out(&mut self, plan: &Plan) -> PlanOutcome {
        if let Some(victim) = &plan.evict {
            if !self.takes() {
                return PlanOutcome::Busy;
            }
            self.held.remove(&*victim.adapter);
            self.planner.evicted("s1", victim);
        }
        if !self.takes() {
            return PlanOutcome::Busy;
        }
        match &plan.load {
            PlannedLoad::Base(_) => self.based = true,
            PlannedLoad::Adapter(wanted, _) => {
                let name = NAMES.into_iter().find(|name| **name == *wanted.adapter);
                self.held.insert(name.expect("one of them"));
            }
        }
        PlanOutcome::Done
    }

    /// Takes one order if its sender knows how many were taken.
    fn takes(&mut self) -> bool {
        if self.believed != Some(self.count) {
            return false;
        }
        self.count += 1;
        self.believed = Some(self.count);
        true
    }
}

#[test]
fn a_later_life_replaces_all_and_a_former_one_nothing() {
    let mut lives = ServerIncarnations::default();
    assert_eq!(lives.take(&mut life("s1", Some(10), 7, true)), EntryStatus::First);
    let mut again = life("s1", Some(20), 0, false);
    assert_eq!(lives.take(&mut again), EntryStatus::Restarted { before: Some(10) });
    assert!(!again.draining, "that the former life was leaving says nothing of this one");
    assert_eq!(lives.take(&mut life("s1", Some(10), 9, false)), EntryStatus::Stale);
    assert_eq!(lives.take(&mut life("s1", None, 9, false)), EntryStatus::Stale);
    lives.gone("s1");
    assert_eq!(
        lives.take(&mut life("s1", Some(10), 9, false)),
        EntryStatus::Stale,
        "also when gone"
    );
    assert_eq!(lives.take(&mut life("s1", Some(20), 0, false)), EntryStatus::Same);
}

#[test]
fn servers_that_do_not_tell_their_lives_have_one_an_id() {
    let mut lives = ServerIncarnations::default();
    lives.take(&mut life("s1", None, 7, true));
    let mut entry = life("s1", None, 3, false);
    assert_eq!(lives.take(&mut entry), EntryStatus::Same);
    assert!(entry.draining);
    lives.take(&mut life("s2", None, 7, false));
    lives.gone("s2");
    assert_eq!(lives.len(), 1, "nothing is to be remembered of one that took work");
}

/// A server that does not tell its lives apart said that it leaves; its entry lapsed while it lived, and came back.
#[test]
fn a_server_that_leaves_stays_so_when_its_entry_comes_back() {
    let mut lives = ServerIncarnations::default();
    lives.take(&mut life("s1", None, 3, true));
    lives.gone("s1");
    let mut back = life("s1", None, 3, false);
    assert_eq!(lives.take(&mut back), EntryStatus::Same);
    assert!(back.draining);
    let mut another = life("s2", None, 0, false);
    lives.take(&mut another);
    assert!(!another.draining, "another id is another life");
    lives.take(&mut life("s3", Some(1), 0, true));
    lives.gone("s3");
    let mut born_again = life("s3", Some(2), 0, false);
    lives.take(&mut born_again);
    assert!(!born_again.draining, "a later life takes work");
}

#[test]
fn of_servers_that_are_gone_only_so_many_are_remembered() {
    let mut lives = ServerIncarnations::default();
    for n in 0..2 * MAX_REMOVED_INCARNATIONS {
        let id = format!("s{n}");
        lives.take(&mut life(&id, Some(1), 0, false));
        lives.gone(&id);
        lives.gone(&id);
    }
    for n in 0..2 * MAX_REMOVED_INCARNATIONS {
        let id = format!("leaving{n}");
        lives.take(&mut life(&id, None, 0, true));
        lives.gone(&id);
    }
    assert!(lives.len() <= MAX_REMOVED_INCARNATIONS);
    lives.take(&mut life(&format!("s{}", 2 * MAX_REMOVED_INCARNATIONS - 1), Some(1), 0, false));
    let last = format!("s{}", 2 * MAX_REMOVED_INCARNATIONS - 1);
    assert_eq!(lives.take(&mut life(&last, Some(0), 0, false)), EntryStatus::Stale);
}

#[test]
fn a_new_life_begins_idle_and_sound() {
    let loads = Rc::new(LoadTable::default());
    let id: Rc<str> = "s1".into();
    let (former, present) = (life("s1", Some(1), 0, false), life("s1", Some(2), 0, false));
    loads.set_incarnation(&id, former.incarnation_hash());
    let guard = loads.begin(Time(0), &id, 100);
    loads.unreachable(Time(0), &id);
    loads.record_reports(Time(0), &[ServerLoad { server: former.incarnation_hash(), requests: 9 }]);
    loads.set_incarnation(&id, present.incarnation_hash());
    assert_eq!(loads.work(Time(10), "s1"), OutstandingWork::default());
    assert!(!loads.is_unreachable(Time(10), "s1") && loads.failure_rate(Time(10), "s1") == 0.0);
    let _own = loads.begin(Time(20), &id, 5);
    drop(guard);
    assert_eq!(loads.work(Time(30), "s1").requests, 1, "the former life's request was another one");
    loads.record_outcome_of(Time(40), &former, true);
    assert_eq!(loads.failure_rate(Time(40), "s1"), 0.0);
    loads.record_outcome_of(Time(40), &present, true);
    assert!(loads.failure_rate(Time(40), "s1") > 0.0);
}

#[test]
fn what_is_told_late_of_a_former_life_fits_no_server() {
    let loads = Rc::new(LoadTable::default());
    loads.set_incarnation(&"s1".into(), incarnation_hash("s1", Some(2)));
    let work = OutstandingWork { requests: 7, waiting_tokens: 70 };
    loads.set_peer_work(Time(0), &"n2".into(), vec![(incarnation_hash("s1", Some(1)), work)]);
    loads.record_reports(
        Time(0),
        &[ServerLoad { server: incarnation_hash("s1", Some(1)), requests: 9 }],
    );
    assert_eq!(loads.work(Time(10), "s1"), OutstandingWork::default());
}

#[test]
fn a_new_life_holds_nothing_of_the_former_one() {
    let mut holdings = AdapterLocations::default();
    holdings.list(None, Some(&backend("s1", &[("a1", 1)])));
    holdings.notice(&key("a2"), &"s1".into(), Presence::Held(1), Time(4_000));
    holdings.notice(&key("a2"), &"s2".into(), Presence::Held(1), Time(4_000));
    holdings.server_restarted("s1");
    assert!(holdings.holders(Time(10), &key("a1")).is_empty());
    assert_eq!(holdings.holders(Time(10), &key("a2")), [("s2".into(), 1)]);
    assert!(!holdings.is_cached(&key("a1"), "s1", 1));
}

/// A planner before a server in its first life that holds `held`, surveyed.
fn planner(held: &[(&str, u64)]) -> (Planner, Rc<str>) {
    let mut planner = Planner::default();
    planner.set_config(Time(0), config(4, 3.0));
    planner.update_server(Time(0), &Backend { born: Some(1), ..backend("s1", held) });
    let held = held.iter().map(|(name, version)| (key(name), *version)).collect();
    planner.reported(Time(0), "s1", &report(1, held));
    (planner, "s1".into())
}

fn report(born: u64, held: Vec<(portrack::gateway::AdapterKey, u64)>) -> ServerReport {
    ServerReport { born: Some(born), models: vec![MODEL.into()], held, ..ServerReport::default() }
}

fn born_again(planner: &mut Planner, now: u64, server: &Rc<str>) {
    planner.server_restarted(Time(now), server);
    planner.update_server(Time(now), &Backend { born: Some(2), ..backend("s1", &[]) });
}

fn begun(planner: &mut Planner, now: u64, server: &Rc<str>, adapter: &str) -> Vec<Plan> {
    planner.request_load(Time(now), server, &key(adapter), 1, 1);
    planner.plan(Time(now), std::slice::from_ref(server)).0
}

#[test]
fn a_new_life_is_asked_what_it_holds_before_it_is_ordered() {
    let (mut planner, server) = planner(&[("a1", 1)]);
    born_again(&mut planner, 100, &server);
    assert!(begun(&mut planner, 110, &server, "a2").is_empty());
    planner.reported(Time(120), "s1", &report(2, Vec::new()));
    assert_eq!(begun(&mut planner, 130, &server, "a2").len(), 1);
    assert_ne!(
        planner.request_load(Time(140), &server, &key("a1"), 1, 1),
        LoadRequestAnswer::Held(1)
    );
}

#[test]
fn the_end_of_a_step_of_the_former_life_changes_nothing() {
    let (mut planner, server) = planner(&[]);
    let former = begun(&mut planner, 10, &server, "a1").remove(0);
    born_again(&mut planner, 100, &server);
    planner.reported(Time(110), "s1", &report(2, Vec::new()));
    planner.ended(Time(120), &former, PlanOutcome::Done, Some(ms(100)));
    assert_ne!(
        planner.request_load(Time(130), &server, &key("a1"), 1, 1),
        LoadRequestAnswer::Held(1)
    );
}

#[test]
fn places_are_kept_for_late_orders_and_used_when_none_can_come_any_more() {
    let (mut planner, server) = planner(&[]);
    born_again(&mut planner, 100, &server);
    planner.reported(Time(110), "s1", &report(2, Vec::new()));
    let mut loaded = BTreeMap::new();
    for (n, adapter) in ["a1", "a2", "a3"].into_iter().enumerate() {
        let now = 1_000 + 500 * n as u64;
        for plan in begun(&mut planner, now, &server, adapter) {
            planner.ended(Time(now + 100), &plan, PlanOutcome::Done, Some(ms(100)));
            loaded.insert(adapter, plan.evict.is_some());
        }
    }
    assert_eq!(
        loaded.into_iter().collect::<Vec<_>>(),
        [("a1", false), ("a2", false), ("a3", true)]
    );
    planner.reported(Time(17_000), "s1", &report(2, vec![(key("a2"), 1), (key("a3"), 1)]));
    let plan = begun(&mut planner, 17_010, &server, "a4").remove(0);
    assert_eq!(plan.evict, None, "the whole room again");
}

/// An unload of the former life that comes late would drop the adapter from under its requests.
#[test]
fn an_adapter_whose_unload_may_come_late_is_not_loaded_again_yet() {
    let (mut planner, server) = planner(&[("a1", 1)]);
    planner.unload_unanswered(Time(50), &server, &key("a1"));
    born_again(&mut planner, 100, &server);
    planner.reported(Time(110), "s1", &report(2, Vec::new()));
    assert_eq!(
        planner.request_load(Time(120), &server, &key("a1"), 1, 1),
        LoadRequestAnswer::Refused
    );
    assert_eq!(begun(&mut planner, 130, &server, "a2").len(), 1);
    planner.reported(Time(17_000), "s1", &report(2, Vec::new()));
    assert_eq!(begun(&mut planner, 17_010, &server, "a1").len(), 1);
}

#[test]
fn a_server_is_asked_again_while_late_orders_may_come() {
    let (mut planner, server) = planner(&[]);
    let ours = [server.clone()];
    born_again(&mut planner, 100, &server);
    let mut surveys = Vec::new();
    for now in (200..30_000).step_by(100) {
        planner.plan(Time(now), &ours);
        if !planner.needing_survey(&ours).is_empty() {
            surveys.push(now);
            planner.reported(Time(now), "s1", &report(2, Vec::new()));
        }
    }
    assert!(surveys.windows(2).all(|pair| pair[1] - pair[0] <= 2_100), "{surveys:?}");
    assert!(surveys.last().is_some_and(|last| (14_100..16_200).contains(last)), "{surveys:?}");
}
