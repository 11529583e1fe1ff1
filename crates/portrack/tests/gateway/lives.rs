//! Tests of servers that restart under the same id: state of an earlier incarnation must not affect
//! the next one.

use crate::support::{MODEL, backend, config, key, ms};
use portrack::Time;
use portrack::gateway::{
    AdapterLocations, Backend, EntryStatus, LoadRequestAnswer, LoadTable, MAX_REMOVED_INCARNATIONS,
    OrderKind, OutstandingWork, Plan, PlanOutcome, PlannedLoad, Planner, Presence,
    ServerIncarnations, ServerLoad, ServerReport, UnansweredOrder, incarnation_hash,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

fn server_entry(id: &str, born: Option<u64>, orders_taken: u64, draining: bool) -> Backend {
    Backend { born, orders_taken, draining, ..backend(id, &[]) }
}

/// A change of one server's entry.
#[derive(Debug, Clone)]
enum Change {
    Entry { born: u64, orders_taken: u64, draining: bool },
    Removed,
}

fn change() -> impl Strategy<Value = Change> {
    let entry = (1_u64..5, 0_u64..4, any::<bool>())
        .prop_map(|(born, orders_taken, draining)| Change::Entry { born, orders_taken, draining });
    prop_oneof![6 => entry, 1 => Just(Change::Removed)]
}

/// Reference model that keeps all accepted entries. The newest is the greatest by start time and
/// order count, and an incarnation that ever reported leaving is leaving.
#[derive(Default)]
struct ReferenceModel {
    accepted: Vec<(u64, u64, bool)>,
}

impl ReferenceModel {
    fn apply(&mut self, entry: (u64, u64, bool)) -> Option<bool> {
        let newest = self.accepted.iter().map(|(born, orders, _)| (*born, *orders)).max();
        if newest.is_some_and(|newest| (entry.0, entry.1) < newest) {
            return None;
        }
        self.accepted.push(entry);
        Some(self.accepted.iter().any(|(born, _, draining)| *born == entry.0 && *draining))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Late, duplicated and reordered entries, and removals: only entries that are not stale count.
    #[test]
    fn accepted_entries_match_the_reference_model(
        changes in proptest::collection::vec(change(), 1..60)
    ) {
        let (mut incarnations, mut reference) = (ServerIncarnations::default(), ReferenceModel::default());
        for change in changes {
            match change {
                Change::Removed => incarnations.remove("s1"),
                Change::Entry { born, orders_taken, draining } => {
                    let mut entry = server_entry("s1", Some(born), orders_taken, draining);
                    let is_accepted = incarnations.record(&mut entry) != EntryStatus::Stale;
                    let expected = reference.apply((born, orders_taken, draining));
                    prop_assert_eq!(is_accepted.then_some(entry.draining), expected);
                }
            }
        }
    }

    /// Late orders of the previous incarnation, as many as slots are reserved for, at any time and
    /// with any order count: the server never holds more adapters than it has slots.
    #[test]
    fn late_orders_never_overfill_a_server(
        late in proptest::collection::vec(late_order(), 0..3),
        load_requests in proptest::collection::vec((0_u64..15_000, 0_usize..9), 0..60),
    ) {
        let most = RestartedServer::new(late, load_requests).run();
        prop_assert!(most <= SLOTS, "{} adapters in {} slots", most, SLOTS);
    }
}

/// No order of the previous incarnation arrives later than this after the new incarnation became
/// known: 12 s after it was sent, plus one second. In milliseconds.
const LATEST_ARRIVAL_MS: u64 = 13_000;
/// Adapter slots of the server in these tests.
const SLOTS: usize = 5;
/// Orders are executed at most 12 s late; the planner allows for 14 s. In milliseconds.
const ORDERS_EXPIRE_MS: u64 = 14_000;
const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// An order of the previous incarnation, executed when its time has come and its expected order
/// count matches.
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

/// A server in its second incarnation, with the planner that sends it orders.
struct RestartedServer {
    late: Vec<LateOrder>,
    load_requests: Vec<(u64, usize)>,
    planner: Planner,
    server: Rc<str>,
    held: BTreeSet<&'static str>,
    has_base: bool,
    count: u64,
    assumed_count: Option<u64>,
}

impl RestartedServer {
    fn new(late: Vec<LateOrder>, load_requests: Vec<(u64, usize)>) -> Self {
        let mut planner = Planner::default();
        planner.set_config(Time(0), config(SLOTS, 3.0));
        planner.update_server(Time(0), &server_entry("s1", Some(1), 40, false));
        planner.server_restarted(Time(0), &"s1".into());
        planner.update_server(
            Time(0),
            &Backend { models: Vec::new(), ..server_entry("s1", Some(2), 0, false) },
        );
        Self {
            late,
            load_requests,
            planner,
            server: "s1".into(),
            held: BTreeSet::new(),
            has_base: false,
            count: 0,
            assumed_count: None,
        }
    }

    /// Simulates fifteen seconds. Returns the largest number of adapters held at once.
    fn run(mut self) -> usize {
        let mut most = 0;
        for now in (0..15_000).step_by(50) {
            self.execute_late_orders(now);
            most = most.max(self.held.len());
            let due: Vec<usize> = self
                .load_requests
                .iter()
                .filter(|(at, _)| at / 50 == now / 50)
                .map(|load_request| load_request.1)
                .collect();
            for load_request in due {
                self.planner.request_load(Time(now), &self.server, &key(NAMES[load_request]), 1, 1);
            }
            self.send_orders(now);
            most = most.max(self.held.len());
        }
        most
    }

    /// Executes late orders that are due. One whose count does not match is tried again, as if it
    /// arrived later, until none can arrive any more.
    fn execute_late_orders(&mut self, now: u64) {
        if now > LATEST_ARRIVAL_MS {
            return;
        }
        let due = |late: &LateOrder, count: u64| {
            (late.at..ORDERS_EXPIRE_MS).contains(&now) && late.expected == count
        };
        while let Some(at) =
            self.late.iter().position(|late| due(late, self.count) && self.has_base)
        {
            let late = self.late.remove(at);
            self.held.insert(NAMES[late.adapter]);
            self.count += 1;
        }
    }

    fn send_orders(&mut self, now: u64) {
        let ours = std::slice::from_ref(&self.server).to_vec();
        if !self.planner.needing_survey(&ours).is_empty() {
            self.assumed_count = Some(self.count);
            self.planner.reported(Time(now), "s1", &self.report());
        }
        for plan in self.planner.plan(Time(now), &ours).0 {
            let end = self.execute(&plan);
            self.planner.ended(Time(now), &plan, end, Some(ms(20)));
            if end == PlanOutcome::Busy {
                self.planner.invalidate_survey("s1");
            }
            if self.has_base {
                let entry = server_entry("s1", Some(2), self.count, false);
                self.planner.update_server(Time(now), &entry);
            }
            self.execute_late_orders(now);
        }
    }

    fn report(&self) -> ServerReport {
        ServerReport {
            born: Some(2),
            orders_taken: self.count,
            models: self.has_base.then(|| MODEL.into()).into_iter().collect(),
            held: self.held.iter().map(|name| (key(name), 1)).collect(),
            ..ServerReport::default()
        }
    }

    fn execute(&mut self, plan: &Plan) -> PlanOutcome {
        if let Some(evicted_adapter) = &plan.evict {
            if !self.accepts_order() {
                return PlanOutcome::Busy;
            }
            self.held.remove(&*evicted_adapter.adapter);
            self.planner.evicted("s1", evicted_adapter);
        }
        if !self.accepts_order() {
            return PlanOutcome::Busy;
        }
        match &plan.load {
            PlannedLoad::Base(_) => self.has_base = true,
            PlannedLoad::Adapter(wanted, _) => {
                let name = NAMES.into_iter().find(|name| **name == *wanted.adapter);
                self.held.insert(name.expect("a known adapter"));
            }
        }
        PlanOutcome::Done
    }

    /// Accepts an order if its sender knows the current order count.
    fn accepts_order(&mut self) -> bool {
        if self.assumed_count != Some(self.count) {
            return false;
        }
        self.count += 1;
        self.assumed_count = Some(self.count);
        true
    }
}

#[test]
fn a_later_incarnation_replaces_all_state_and_an_earlier_one_is_stale() {
    let mut incarnations = ServerIncarnations::default();
    assert_eq!(incarnations.record(&mut server_entry("s1", Some(10), 7, true)), EntryStatus::First);
    let mut restarted = server_entry("s1", Some(20), 0, false);
    assert_eq!(incarnations.record(&mut restarted), EntryStatus::Restarted { before: Some(10) });
    assert!(!restarted.draining, "the leaving state belongs to the previous incarnation");
    assert_eq!(
        incarnations.record(&mut server_entry("s1", Some(10), 9, false)),
        EntryStatus::Stale
    );
    assert_eq!(incarnations.record(&mut server_entry("s1", None, 9, false)), EntryStatus::Stale);
    incarnations.remove("s1");
    assert_eq!(
        incarnations.record(&mut server_entry("s1", Some(10), 9, false)),
        EntryStatus::Stale,
        "also after its removal"
    );
    assert_eq!(incarnations.record(&mut server_entry("s1", Some(20), 0, false)), EntryStatus::Same);
}

#[test]
fn servers_without_start_times_have_one_incarnation_per_id() {
    let mut incarnations = ServerIncarnations::default();
    incarnations.record(&mut server_entry("s1", None, 7, true));
    let mut entry = server_entry("s1", None, 3, false);
    assert_eq!(incarnations.record(&mut entry), EntryStatus::Same);
    assert!(entry.draining);
    incarnations.record(&mut server_entry("s2", None, 7, false));
    incarnations.remove("s2");
    assert_eq!(incarnations.len(), 1, "a removed server that accepted work is not remembered");
}

/// Guards against a leaving server coming back into use: its entry, which has no start time, lapsed
/// while the server was alive and came back without the leaving state.
#[test]
fn a_leaving_server_stays_leaving_when_its_entry_comes_back() {
    let mut incarnations = ServerIncarnations::default();
    incarnations.record(&mut server_entry("s1", None, 3, true));
    incarnations.remove("s1");
    let mut returned = server_entry("s1", None, 3, false);
    assert_eq!(incarnations.record(&mut returned), EntryStatus::Same);
    assert!(returned.draining);
    let mut other_server = server_entry("s2", None, 0, false);
    incarnations.record(&mut other_server);
    assert!(!other_server.draining, "another id is another incarnation");
    incarnations.record(&mut server_entry("s3", Some(1), 0, true));
    incarnations.remove("s3");
    let mut restarted_server = server_entry("s3", Some(2), 0, false);
    incarnations.record(&mut restarted_server);
    assert!(!restarted_server.draining, "a later incarnation accepts work");
}

#[test]
fn the_number_of_remembered_removed_servers_is_bounded() {
    let mut incarnations = ServerIncarnations::default();
    for n in 0..2 * MAX_REMOVED_INCARNATIONS {
        let id = format!("s{n}");
        incarnations.record(&mut server_entry(&id, Some(1), 0, false));
        incarnations.remove(&id);
        incarnations.remove(&id);
    }
    for n in 0..2 * MAX_REMOVED_INCARNATIONS {
        let id = format!("leaving{n}");
        incarnations.record(&mut server_entry(&id, None, 0, true));
        incarnations.remove(&id);
    }
    assert!(incarnations.len() <= MAX_REMOVED_INCARNATIONS);
    incarnations.record(&mut server_entry(
        &format!("s{}", 2 * MAX_REMOVED_INCARNATIONS - 1),
        Some(1),
        0,
        false,
    ));
    let last = format!("s{}", 2 * MAX_REMOVED_INCARNATIONS - 1);
    assert_eq!(
        incarnations.record(&mut server_entry(&last, Some(0), 0, false)),
        EntryStatus::Stale
    );
}

#[test]
fn a_new_incarnation_starts_without_load_or_failures() {
    let loads = Rc::new(LoadTable::default());
    let id: Rc<str> = "s1".into();
    let (previous, current) =
        (server_entry("s1", Some(1), 0, false), server_entry("s1", Some(2), 0, false));
    loads.set_incarnation(&id, previous.incarnation_hash());
    let guard = loads.begin(Time(0), &id, 100);
    loads.unreachable(Time(0), &id);
    loads.record_reports(
        Time(0),
        &[ServerLoad { server: previous.incarnation_hash(), requests: 9 }],
    );
    loads.set_incarnation(&id, current.incarnation_hash());
    assert_eq!(loads.work(Time(10), "s1"), OutstandingWork::default());
    assert!(!loads.is_unreachable(Time(10), "s1") && loads.failure_rate(Time(10), "s1") == 0.0);
    let _own = loads.begin(Time(20), &id, 5);
    drop(guard);
    assert_eq!(
        loads.work(Time(30), "s1").requests,
        1,
        "the request of the previous incarnation does not count"
    );
    loads.record_outcome_of(Time(40), &previous, true);
    assert_eq!(loads.failure_rate(Time(40), "s1"), 0.0);
    loads.record_outcome_of(Time(40), &current, true);
    assert!(loads.failure_rate(Time(40), "s1") > 0.0);
}

#[test]
fn late_reports_about_an_earlier_incarnation_are_ignored() {
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
fn a_new_incarnation_holds_no_adapters_of_the_previous_one() {
    let mut locations = AdapterLocations::default();
    locations.list(None, Some(&backend("s1", &[("a1", 1)])));
    locations.notice(&key("a2"), &"s1".into(), Presence::Held(1), Time(4_000));
    locations.notice(&key("a2"), &"s2".into(), Presence::Held(1), Time(4_000));
    locations.server_restarted("s1");
    assert!(locations.holders(Time(10), &key("a1")).is_empty());
    assert_eq!(locations.holders(Time(10), &key("a2")), [("s2".into(), 1)]);
    assert!(!locations.is_cached(&key("a1"), "s1", 1));
}

/// A planner with a surveyed server in its first incarnation that holds `held`.
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

fn restart(planner: &mut Planner, now: u64, server: &Rc<str>) {
    planner.server_restarted(Time(now), server);
    planner.update_server(Time(now), &Backend { born: Some(2), ..backend("s1", &[]) });
}

fn start_loads(planner: &mut Planner, now: u64, server: &Rc<str>, adapter: &str) -> Vec<Plan> {
    planner.request_load(Time(now), server, &key(adapter), 1, 1);
    planner.plan(Time(now), std::slice::from_ref(server)).0
}

#[test]
fn a_new_incarnation_is_surveyed_before_it_gets_orders() {
    let (mut planner, server) = planner(&[("a1", 1)]);
    restart(&mut planner, 100, &server);
    assert!(start_loads(&mut planner, 110, &server, "a2").is_empty());
    planner.reported(Time(120), "s1", &report(2, Vec::new()));
    assert_eq!(start_loads(&mut planner, 130, &server, "a2").len(), 1);
    assert_ne!(
        planner.request_load(Time(140), &server, &key("a1"), 1, 1),
        LoadRequestAnswer::Held(1)
    );
}

#[test]
fn the_outcome_of_a_step_of_the_previous_incarnation_is_ignored() {
    let (mut planner, server) = planner(&[]);
    let previous = start_loads(&mut planner, 10, &server, "a1").remove(0);
    restart(&mut planner, 100, &server);
    planner.reported(Time(110), "s1", &report(2, Vec::new()));
    planner.ended(Time(120), &previous, PlanOutcome::Done, Some(ms(100)));
    assert_ne!(
        planner.request_load(Time(130), &server, &key("a1"), 1, 1),
        LoadRequestAnswer::Held(1)
    );
}

#[test]
fn slots_are_reserved_for_late_orders_until_none_can_arrive() {
    let (mut planner, server) = planner(&[]);
    restart(&mut planner, 100, &server);
    planner.reported(Time(110), "s1", &report(2, Vec::new()));
    let mut loaded = BTreeMap::new();
    for (n, adapter) in ["a1", "a2", "a3"].into_iter().enumerate() {
        let now = 1_000 + 500 * n as u64;
        for plan in start_loads(&mut planner, now, &server, adapter) {
            planner.ended(Time(now + 100), &plan, PlanOutcome::Done, Some(ms(100)));
            loaded.insert(adapter, plan.evict.is_some());
        }
    }
    assert_eq!(
        loaded.into_iter().collect::<Vec<_>>(),
        [("a1", false), ("a2", false), ("a3", true)]
    );
    planner.reported(Time(17_000), "s1", &report(2, vec![(key("a2"), 1), (key("a3"), 1)]));
    let plan = start_loads(&mut planner, 17_010, &server, "a4").remove(0);
    assert_eq!(plan.evict, None, "all slots are available again");
}

/// An order without a response.
fn unanswered(kind: OrderKind, adapter: &str, expected: u64, sent_at: u64) -> UnansweredOrder {
    UnansweredOrder { kind, adapter: key(adapter), expected, sent_at: Time(sent_at) }
}

/// Time at which the holder of a claim knows all orders that may still arrive.
const HELD_FOR: u64 = 20_000;

/// A planner whose server restarts after these orders had no response, with the server's four slots loaded one after
/// the other; returns which loads needed an eviction.
fn evictions_after_restart(orders: &[UnansweredOrder], taken: u64) -> Vec<bool> {
    let (mut planner, server) = planner(&[]);
    planner.claimed(&server, Time(10));
    orders.iter().for_each(|order| planner.order_sent(&server, order.clone()));
    restart(&mut planner, HELD_FOR, &server);
    let held = ServerReport { orders_taken: taken, ..report(2, Vec::new()) };
    planner.reported(Time(HELD_FOR + 10), "s1", &held);
    let mut evictions = Vec::new();
    for (n, adapter) in ["a1", "a2", "a3", "a4"].into_iter().enumerate() {
        let now = HELD_FOR + 500 * (n as u64 + 1);
        for plan in start_loads(&mut planner, now, &server, adapter) {
            plan.evict.iter().for_each(|victim| planner.evicted("s1", victim));
            planner.ended(Time(now + 100), &plan, PlanOutcome::Done, Some(ms(100)));
            evictions.push(plan.evict.is_some());
        }
    }
    evictions
}

#[test]
fn slots_stay_empty_after_a_restart_although_no_order_can_arrive_late() {
    assert_eq!(evictions_after_restart(&[], 0), [false; 4]);
    let at = HELD_FOR - 1_000;
    let load = |expected| unanswered(OrderKind::Load, "z", expected, at);
    // Its count is past, it was sent too long ago, or it frees a slot.
    assert_eq!(evictions_after_restart(&[load(1)], 2), [false; 4]);
    let old = unanswered(OrderKind::Load, "z", 5, HELD_FOR - 14_000);
    assert_eq!(evictions_after_restart(&[old], 0), [false; 4]);
    let unload = unanswered(OrderKind::Unload, "z", 5, at);
    assert_eq!(evictions_after_restart(&[unload], 0), [false; 4]);
}

#[test]
fn as_many_slots_stay_empty_as_loads_can_arrive_before_the_next_report() {
    let at = HELD_FOR - 1_000;
    let load = |expected| unanswered(OrderKind::Load, "z", expected, at);
    assert_eq!(evictions_after_restart(&[load(2)], 0), [false, false, false, true]);
    assert_eq!(evictions_after_restart(&[load(2), load(5)], 0), [false, false, false, true]);
    assert_eq!(evictions_after_restart(&[load(2), load(2)], 0), [false, false, false, true]);
    assert_eq!(evictions_after_restart(&[load(2), load(3)], 0), [false, false, true, true]);
    let three = [load(2), load(3), load(4)];
    assert_eq!(evictions_after_restart(&three, 0), [false, false, true, true]);
    let far = [load(13), load(14)];
    assert_eq!(evictions_after_restart(&far, 0), [false; 4], "not before the next steps");
}

#[test]
fn a_load_under_way_at_a_restart_has_no_slot_kept_for_it() {
    let (mut planner, server) = planner(&[]);
    planner.claimed(&server, Time(10));
    let order = |adapter, expected| unanswered(OrderKind::Load, adapter, expected, HELD_FOR - 100);
    planner.order_sent(&server, order("y", 1));
    planner.order_answered("s1", &order("y", 1));
    // Its timeout ends after the restart.
    planner.order_sent(&server, order("z", 2));
    restart(&mut planner, HELD_FOR, &server);
    planner.reported(Time(HELD_FOR + 200), "s1", &report(2, Vec::new()));
    assert_eq!(planner.reserved_slots(Time(HELD_FOR + 200), "s1").0, 1);
}

#[test]
fn slots_are_reserved_for_orders_of_a_former_holder() {
    let (mut planner, server) = planner(&[]);
    planner.claimed(&server, Time(10));
    restart(&mut planner, 5_000, &server);
    planner.reported(Time(5_010), "s1", &report(2, Vec::new()));
    assert_eq!(planner.reserved_slots(Time(14_000), "s1"), (2, Time(14_010)));
    assert_eq!(planner.reserved_slots(Time(14_010), "s1").0, 0);
    // Another daemon held the server when it restarted.
    let (mut planner, server) = self::planner(&[]);
    planner.claimed(&server, Time(10));
    restart(&mut planner, HELD_FOR, &server);
    planner.reported(Time(HELD_FOR + 10), "s1", &report(2, Vec::new()));
    planner.claimed(&server, Time(HELD_FOR + 3_000));
    let (reserved, until) = planner.reserved_slots(Time(HELD_FOR + 3_000), "s1");
    assert_eq!((reserved, until), (2, Time(HELD_FOR + 14_000)));
}

/// Slots of the server in the property test of late orders.
const FEW_SLOTS: usize = 3;

/// A step of the holder, or the arrival of a late order.
#[derive(Debug, Clone)]
enum OrderStep {
    /// The holder loads an adapter, whose order is answered or not.
    Load(u8, bool),
    /// An unanswered order arrives that the server takes.
    Arrive,
    Restart,
    Pause(u64),
}

fn order_step() -> impl Strategy<Value = OrderStep> {
    prop_oneof![
        6 => (0_u8..9, prop::bool::weighted(0.8)).prop_map(|(at, answered)| OrderStep::Load(at, answered)),
        4 => Just(OrderStep::Arrive),
        2 => Just(OrderStep::Restart),
        1 => (100_u64..1_000).prop_map(OrderStep::Pause),
    ]
}

/// What a server does with orders.
#[derive(Debug, Default)]
struct ModelServer {
    taken: u64,
    /// Number of orders that it had taken as its holder knows.
    counted: u64,
    held: BTreeSet<String>,
}

impl ModelServer {
    fn take(&mut self, order: &UnansweredOrder) -> bool {
        if order.expected != self.taken {
            return false;
        }
        self.taken += 1;
        match order.kind {
            OrderKind::Load => self.held.insert(order.adapter.adapter.to_string()),
            OrderKind::Unload => self.held.remove(&*order.adapter.adapter),
        };
        true
    }
}

proptest! {
    /// One holder, a server that restarts, and orders without a response that arrive up to 12 s late, in any order:
    /// no order ever fills the server beyond its slots.
    #[test]
    fn late_orders_never_fill_a_server_beyond_its_slots(
        steps in prop::collection::vec(order_step(), 1..120),
    ) {
        let mut planner = Planner::default();
        planner.set_config(Time(0), config(FEW_SLOTS, 3.0));
        let server: Rc<str> = "s1".into();
        let (mut born, mut now, mut model) = (1, HELD_FOR, ModelServer::default());
        let mut late: Vec<UnansweredOrder> = Vec::new();
        planner.update_server(Time(0), &Backend { born: Some(born), ..backend("s1", &[]) });
        planner.claimed(&server, Time(0));
        let survey = |planner: &mut Planner, model: &mut ModelServer, born: u64, now: u64| {
            model.counted = model.taken;
            let held = model.held.iter().map(|name| (key(name), 1)).collect();
            let report = ServerReport { orders_taken: model.taken, ..report(born, held) };
            planner.reported(Time(now), "s1", &report);
        };
        survey(&mut planner, &mut model, born, now);
        for step in steps {
            now += 50;
            match step {
                OrderStep::Pause(millis) => now += millis,
                OrderStep::Restart => {
                    born += 1;
                    model = ModelServer::default();
                    planner.server_restarted(Time(now), &server);
                    planner.update_server(Time(now), &Backend { born: Some(born), ..backend("s1", &[]) });
                    survey(&mut planner, &mut model, born, now);
                }
                OrderStep::Arrive => {
                    late.retain(|order| now < order.sent_at.0 + 12_000);
                    if let Some(at) = late.iter().position(|order| order.expected == model.taken) {
                        model.take(&late.remove(at));
                    }
                }
                OrderStep::Load(adapter, answered) => {
                    let known = model.counted;
                    for plan in start_loads(&mut planner, now, &server, &format!("a{adapter}")) {
                        let PlannedLoad::Adapter(wanted, _) = &plan.load else { continue };
                        let evict = plan.evict.clone().map(|victim| (OrderKind::Unload, victim));
                        let orders = evict.into_iter().chain([(OrderKind::Load, wanted.clone())]);
                        let mut outcome = PlanOutcome::Done;
                        for (n, (kind, adapter)) in orders.enumerate() {
                            let expected = known + n as u64;
                            let order = UnansweredOrder { kind, adapter, expected, sent_at: Time(now) };
                            if answered && model.take(&order) {
                                model.counted = model.taken;
                                planner.record_orders_taken("s1", model.taken);
                                if order.kind == OrderKind::Unload {
                                    planner.evicted("s1", &order.adapter);
                                }
                                continue;
                            }
                            outcome = if answered { PlanOutcome::Busy } else { PlanOutcome::Unknown };
                            if !answered {
                                planner.order_sent(&server, order.clone());
                                late.push(order);
                            }
                            break;
                        }
                        planner.ended(Time(now), &plan, outcome, Some(ms(100)));
                        if outcome != PlanOutcome::Done {
                            planner.invalidate_survey("s1");
                            now += 800;
                            survey(&mut planner, &mut model, born, now);
                        }
                    }
                }
            }
            prop_assert!(model.held.len() <= FEW_SLOTS, "{} adapters at {now}", model.held.len());
        }
    }
}

/// A late unload from the previous incarnation would remove the adapter while requests use it.
#[test]
fn an_adapter_with_a_possible_late_unload_is_not_loaded() {
    let (mut planner, server) = planner(&[("a1", 1)]);
    planner.order_sent(&server, unanswered(OrderKind::Unload, "a1", 3, 50));
    restart(&mut planner, 100, &server);
    planner.reported(Time(110), "s1", &report(2, Vec::new()));
    assert_eq!(
        planner.request_load(Time(120), &server, &key("a1"), 1, 1),
        LoadRequestAnswer::Refused
    );
    assert_eq!(start_loads(&mut planner, 130, &server, "a2").len(), 1);
    planner.reported(Time(17_000), "s1", &report(2, Vec::new()));
    assert_eq!(start_loads(&mut planner, 17_010, &server, "a1").len(), 1);
}

#[test]
fn a_server_is_surveyed_again_while_late_orders_may_arrive() {
    let (mut planner, server) = planner(&[]);
    let ours = [server.clone()];
    restart(&mut planner, 100, &server);
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

/// Start times of a fleet whose servers come up within a second, in milliseconds.
const FIRST_START: u64 = 1_790_000_000_000;
/// Ids of one length, and their start times, for the test of hashes.
const IDS: u64 = 150;
const STARTS: u64 = 100;
/// So many hashes of 32 bits have 0.03 pairs of equal ones on average.
const MAX_EQUAL: usize = 1;

#[test]
fn servers_that_start_at_the_same_time_have_the_hash_of_each_other() {
    let prefixes = ["", "i", "s-", "gpu-", "server-", "i-7f3a91c2-", "hall-a-rack-12-server-"];
    let mut equal = Vec::new();
    for (prefix, first) in prefixes.iter().flat_map(|prefix| [(prefix, 0), (prefix, FIRST_START)]) {
        let hashes = (0..IDS).flat_map(|n| {
            let id = format!("{prefix}{n}");
            (0..STARTS).map(move |start| incarnation_hash(&id, Some(first + start * 7)))
        });
        let distinct: BTreeSet<u32> = hashes.collect();
        let missing = (IDS * STARTS) as usize - distinct.len();
        if missing > MAX_EQUAL {
            equal.push((prefix, first, missing));
        }
    }
    assert!(equal.is_empty(), "prefix, first start, equal hashes: {equal:?}");
}
