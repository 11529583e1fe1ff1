//! Which adapters the planner loads and evicts.

use crate::support::{MODEL, backend, config, key, ms};
use portrack::Time;
use portrack::gateway::{
    LoadProgress, LoadRequestAnswer, Plan, PlanOutcome, PlannedLoad, Planner, ServerReport,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The initial estimate of a fetch.
const FETCH: Duration = Duration::from_millis(290);

fn report(held: &[(&str, u64)]) -> ServerReport {
    ServerReport {
        born: None,
        orders_taken: 0,
        models: vec![MODEL.into()],
        held: held.iter().map(|(name, version)| (key(name), *version)).collect(),
        pending: Vec::new(),
        requests: 0,
    }
}

/// A planner with one server of four slots whose report was read.
fn planner(held: &[(&str, u64)]) -> (Planner, Rc<str>) {
    let server: Rc<str> = "s1".into();
    let mut planner = Planner::default();
    planner.set_config(Time(0), config(4, 3.0));
    planner.update_server(Time(0), &backend("s1", held));
    planner.reported(Time(0), "s1", &report(held));
    (planner, server)
}

/// The datagram address of the daemon with this number.
fn daemon(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

fn plans(planner: &mut Planner, now: u64, server: &Rc<str>) -> Vec<Plan> {
    planner.plan(Time(now), std::slice::from_ref(server)).0
}

#[test]
fn a_load_request_is_planned_once_and_then_held() {
    let (mut planner, server) = planner(&[]);
    assert_eq!(
        planner.request_load(Time(10), &server, &key("a1"), 1, 1),
        LoadRequestAnswer::Coming(FETCH)
    );
    assert_eq!(
        planner.request_load(Time(11), &server, &key("a1"), 1, 0),
        LoadRequestAnswer::Coming(FETCH)
    );
    let begun = plans(&mut planner, 12, &server);
    let [plan] = &begun[..] else { panic!("one plan: {begun:?}") };
    assert_eq!(plan.load, PlannedLoad::Adapter(key("a1"), 1));
    assert!(plan.cold && plan.evict.is_none());
    assert!(plans(&mut planner, 13, &server).is_empty(), "the load is planned once");
    planner.ended(Time(300), plan, PlanOutcome::Done, Some(ms(280)));
    assert_eq!(
        planner.request_load(Time(310), &server, &key("a1"), 1, 1),
        LoadRequestAnswer::Held(1)
    );
}

#[test]
fn a_server_gets_no_orders_before_its_report_was_read() {
    let server: Rc<str> = "s1".into();
    let mut planner = Planner::default();
    planner.set_config(Time(0), config(5, 3.0));
    planner.update_server(Time(0), &backend("s1", &[]));
    planner.request_load(Time(10), &server, &key("a1"), 1, 1);
    assert!(plans(&mut planner, 20, &server).is_empty());
    assert_eq!(planner.needing_survey(std::slice::from_ref(&server)).len(), 1);
    planner.reported(Time(30), "s1", &report(&[]));
    assert_eq!(plans(&mut planner, 40, &server).len(), 1);
}

#[test]
fn one_slot_stays_free_and_pending_loads_count() {
    let (mut planner, server) = planner(&[("a1", 1), ("a2", 1)]);
    for name in ["b1", "b2", "b3", "b4"] {
        planner.request_load(Time(10_000), &server, &key(name), 1, 1);
    }
    let begun = plans(&mut planner, 10_001, &server);
    let evicting = begun.iter().filter(|plan| plan.evict.is_some()).count();
    assert_eq!(begun.len() - evicting, 2, "two of five slots were free besides the spare one");
    let again = plans(&mut planner, 10_002, &server);
    assert!(begun.len() + again.len() <= 3, "at most three loads at the same time");
}

#[test]
fn loads_listed_in_a_report_count_as_pending() {
    let (mut planner, server) = planner(&[]);
    let mut listed = report(&[]);
    listed.pending = ["p1", "p2", "p3"].iter().map(|name| (key(name), 1)).collect();
    planner.reported(Time(100), "s1", &listed);
    planner.request_load(Time(110), &server, &key("a1"), 1, 1);
    assert!(plans(&mut planner, 120, &server).is_empty());
}

#[test]
fn the_least_used_idle_adapter_is_evicted() {
    let held = [("a1", 1), ("a2", 1), ("a3", 1), ("a4", 1)];
    let (mut planner, server) = planner(&held);
    planner.record_use(Time(1_000), "s1", &key("a1"), 9);
    planner.record_use(Time(1_000), "s1", &key("a2"), 1);
    planner.record_use(Time(1_000), "s1", &key("a3"), 5);
    planner.set_running(Time(9_900), "s1", &key("a4"), daemon(1), true);
    planner.request_load(Time(10_000), &server, &key("b1"), 1, 1);
    let begun = plans(&mut planner, 10_001, &server);
    assert_eq!(begun[0].evict, Some(key("a2")), "a4 has less demand but may be in use");
}

#[test]
fn a_slot_is_evictable_once_no_daemon_uses_it() {
    let (mut planner, server) = planner(&[("a1", 1), ("a2", 1), ("a3", 1), ("a4", 1)]);
    for (name, at) in [("a1", 9_900), ("a2", 9_900), ("a3", 9_900), ("a4", 9_900)] {
        planner.set_running(Time(at), "s1", &key(name), daemon(1), true);
    }
    planner.set_running(Time(9_910), "s1", &key("a2"), daemon(2), true);
    planner.set_running(Time(10_000), "s1", &key("a2"), daemon(1), false);
    let answer = planner.request_load(Time(10_001), &server, &key("b1"), 1, 1);
    assert_eq!(answer, LoadRequestAnswer::Refused, "another daemon still uses a2");
    planner.set_running(Time(10_002), "s1", &key("a2"), daemon(2), false);
    planner.request_load(Time(10_003), &server, &key("b1"), 1, 1);
    assert_eq!(plans(&mut planner, 10_004, &server)[0].evict, Some(key("a2")));
}

#[test]
fn a_silent_daemons_use_of_a_slot_expires() {
    let (mut planner, server) = planner(&[("a1", 1), ("a2", 1), ("a3", 1), ("a4", 1)]);
    for name in ["a1", "a2", "a3", "a4"] {
        planner.set_running(Time(10_000), "s1", &key(name), daemon(1), true);
    }
    let answer = planner.request_load(Time(11_400), &server, &key("b1"), 1, 1);
    assert_eq!(answer, LoadRequestAnswer::Refused);
    planner.request_load(Time(11_500), &server, &key("b1"), 1, 1);
    assert_eq!(plans(&mut planner, 11_501, &server).len(), 1);
}

#[test]
fn a_recently_loaded_or_requested_adapter_is_not_evicted() {
    let (mut planner, server) = planner(&[("a1", 1), ("a2", 1), ("a3", 1)]);
    planner.request_load(Time(10_000), &server, &key("a4"), 1, 1);
    let begun = plans(&mut planner, 10_001, &server);
    planner.ended(Time(10_300), &begun[0], PlanOutcome::Done, Some(ms(280)));
    for name in ["a1", "a2", "a3"] {
        planner.set_running(Time(10_300), "s1", &key(name), daemon(1), true);
    }
    let soon = planner.request_load(Time(10_400), &server, &key("b1"), 1, 1);
    assert_eq!(soon, LoadRequestAnswer::Refused, "the requests for a4 are still to come");
    planner.request_load(Time(10_550), &server, &key("b1"), 1, 1);
    assert_eq!(plans(&mut planner, 10_551, &server)[0].evict, Some(key("a4")));
}

#[test]
fn a_server_whose_adapters_are_all_in_use_refuses_load_requests() {
    let held = [("a1", 1), ("a2", 1), ("a3", 1), ("a4", 1)];
    let (mut planner, server) = planner(&held);
    for (name, _) in held {
        planner.set_running(Time(9_900), "s1", &key(name), daemon(1), true);
    }
    assert_eq!(
        planner.request_load(Time(10_000), &server, &key("b1"), 1, 1),
        LoadRequestAnswer::Refused
    );
}

#[test]
fn an_outdated_adapter_is_evicted_first() {
    let held = [("a1", 1), ("a2", 1), ("a3", 1), ("a4", 1)];
    let (mut planner, server) = planner(&held);
    planner.record_use(Time(1_000), "s1", &key("a1"), 50);
    planner.announce_version(&key("a1"), 2);
    planner.request_load(Time(10_000), &server, &key("b1"), 1, 1);
    assert_eq!(plans(&mut planner, 10_001, &server)[0].evict, Some(key("a1")));
}

#[test]
fn a_newer_version_at_a_full_server_needs_its_own_slot_until_it_is_loaded() {
    let held = [("a1", 1), ("a2", 1), ("a3", 1), ("a4", 1)];
    let (mut planner, server) = planner(&held);
    planner.record_use(Time(1_000), "s1", &key("a3"), 5);
    planner.record_use(Time(1_000), "s1", &key("a4"), 5);
    planner.request_load(Time(10_000), &server, &key("a1"), 2, 1);
    let begun = plans(&mut planner, 10_001, &server);
    assert_eq!(begun[0].evict, Some(key("a2")), "another one is evicted");
    planner.evicted("s1", &key("a2"));
    planner.request_load(Time(10_010), &server, &key("b1"), 1, 1);
    let next = plans(&mut planner, 10_011, &server);
    assert_eq!(next[0].evict, Some(key("a3")), "both versions of a1 count");
    planner.ended(Time(10_020), &next[0], PlanOutcome::NotSent, None);
    planner.ended(Time(10_300), &begun[0], PlanOutcome::Done, Some(ms(280)));
    planner.reported(Time(11_500), "s1", &report(&[("a1", 2), ("a3", 1), ("a4", 1)]));
    planner.request_load(Time(11_600), &server, &key("b2"), 1, 1);
    assert_eq!(plans(&mut planner, 11_601, &server)[0].evict, None, "one version needs one slot");
}

#[test]
fn an_older_version_keeps_its_slot_if_the_newer_one_was_not_ordered() {
    let (mut planner, server) = planner(&[("a1", 1), ("a2", 1), ("a3", 1), ("a4", 1)]);
    planner.request_load(Time(10_000), &server, &key("a1"), 2, 1);
    let begun = plans(&mut planner, 10_001, &server);
    assert_eq!(begun[0].evict, Some(key("a2")));
    planner.ended(Time(10_005), &begun[0], PlanOutcome::InUse, None);
    assert_eq!(planner.load_progress("s1", &key("a1"), 1), LoadProgress::Held);
    for name in ["a1", "a3", "a4"] {
        planner.set_running(Time(10_006), "s1", &key(name), daemon(1), true);
    }
    let answer = planner.request_load(Time(10_007), &server, &key("b1"), 1, 1);
    assert_eq!(
        answer,
        LoadRequestAnswer::Refused,
        "all four slots are used, one of them being evicted"
    );
}

#[test]
fn a_slot_is_reserved_for_one_load_request() {
    let (mut planner, server) = planner(&[("a1", 1), ("a2", 1), ("a3", 1), ("a4", 1)]);
    for name in ["a1", "a2", "a3"] {
        planner.set_running(Time(10_000), "s1", &key(name), daemon(1), true);
    }
    let first = planner.request_load(Time(10_001), &server, &key("b1"), 1, 1);
    assert_eq!(first, LoadRequestAnswer::Coming(FETCH));
    let second = planner.request_load(Time(10_002), &server, &key("b2"), 1, 1);
    assert_eq!(second, LoadRequestAnswer::Refused, "the only evictable slot is reserved");
    let again = planner.request_load(Time(10_003), &server, &key("b1"), 1, 1);
    assert_eq!(again, LoadRequestAnswer::Coming(FETCH), "the same load request keeps its slot");
}

#[test]
fn a_load_that_was_evicted_before_its_confirmation_is_superseded() {
    let (mut planner, server) = planner(&[("a1", 1), ("a2", 1), ("a3", 1)]);
    planner.request_load(Time(10_000), &server, &key("a4"), 1, 1);
    let begun = plans(&mut planner, 10_001, &server);
    let progress = |planner: &Planner| planner.load_progress("s1", &key("a4"), 1);
    assert_eq!(progress(&planner), LoadProgress::Loading);
    let held = [("a1", 1), ("a2", 1), ("a3", 1), ("a4", 1)];
    planner.reported(Time(11_000), "s1", &report(&held));
    assert_eq!(progress(&planner), LoadProgress::Held, "a report lists it");
    for name in ["a1", "a2", "a3"] {
        planner.set_running(Time(11_900), "s1", &key(name), daemon(1), true);
    }
    planner.request_load(Time(12_000), &server, &key("b1"), 1, 1);
    let next = plans(&mut planner, 12_001, &server);
    assert_eq!(next[0].evict, Some(key("a4")));
    assert_eq!(progress(&planner), LoadProgress::Superseded, "it is being evicted");
    planner.evicted("s1", &key("a4"));
    assert_eq!(progress(&planner), LoadProgress::Superseded);
    planner.ended(Time(12_100), &begun[0], PlanOutcome::Overtaken, None);
    assert_eq!(
        progress(&planner),
        LoadProgress::Superseded,
        "the first step no longer changes the state"
    );
}

#[test]
fn a_load_request_gets_the_newest_announced_version() {
    let (mut planner, server) = planner(&[("a1", 1)]);
    planner.announce_version(&key("a1"), 3);
    assert_eq!(
        planner.request_load(Time(10), &server, &key("a1"), 1, 1),
        LoadRequestAnswer::Coming(FETCH)
    );
    let begun = plans(&mut planner, 11, &server);
    assert_eq!(begun[0].load, PlannedLoad::Adapter(key("a1"), 3));
}

#[test]
fn after_an_order_without_a_response_the_report_is_read_first() {
    let (mut planner, server) = planner(&[]);
    planner.request_load(Time(10), &server, &key("a1"), 1, 1);
    let begun = plans(&mut planner, 11, &server);
    planner.ended(Time(700), &begun[0], PlanOutcome::Unknown, None);
    planner.invalidate_survey("s1");
    planner.request_load(Time(710), &server, &key("a2"), 1, 1);
    assert!(plans(&mut planner, 5_000, &server).is_empty());
    planner.reported(Time(5_010), "s1", &report(&[]));
    let (begun, _) = planner.plan(Time(5_020), std::slice::from_ref(&server));
    assert!(begun.is_empty(), "the load request has expired");
}

#[test]
fn load_requests_that_cannot_be_met_are_given_up() {
    let (mut planner, server) = planner(&[]);
    planner.request_load(Time(10), &server, &key("a1"), 1, 1);
    let (begun, given_up) = planner.plan(Time(2_100), &[]);
    assert!(begun.is_empty());
    assert_eq!(given_up, [(server, key("a1"))]);
}

#[test]
fn a_busy_server_keeps_the_load_request() {
    let (mut planner, server) = planner(&[]);
    planner.request_load(Time(10), &server, &key("a1"), 1, 1);
    let begun = plans(&mut planner, 11, &server);
    planner.ended(Time(20), &begun[0], PlanOutcome::Busy, None);
    planner.reported(Time(30), "s1", &report(&[]));
    assert!(plans(&mut planner, 40, &server).is_empty(), "orders are paused");
    assert_eq!(plans(&mut planner, 200, &server).len(), 1);
}

#[test]
fn base_models_are_loaded_at_empty_servers_within_the_rate_limit() {
    let mut planner = Planner::default();
    planner.set_config(Time(0), config(5, 1.0));
    let servers: Vec<Rc<str>> = (0..8).map(|n| format!("s{n}").into()).collect();
    for id in &servers {
        let mut empty = backend(id, &[]);
        empty.models.clear();
        planner.update_server(Time(0), &empty);
        planner.reported(Time(0), id, &ServerReport::default());
    }
    let mut loads = 0;
    for now in (0..5_000).step_by(50) {
        loads += planner.plan(Time(now), &servers).0.len();
    }
    assert!((5..=7).contains(&loads), "a burst of 2 and 1 a second for 5 s: {loads}");
}

#[test]
fn a_draining_server_refuses_load_requests() {
    let (mut planner, server) = planner(&[]);
    let mut leaving = backend("s1", &[]);
    leaving.draining = true;
    planner.update_server(Time(5), &leaving);
    assert_eq!(
        planner.request_load(Time(10), &server, &key("a1"), 1, 1),
        LoadRequestAnswer::Refused
    );
}

#[test]
fn a_formerly_held_adapter_is_cached() {
    let (mut planner, server) = planner(&[("a1", 1)]);
    planner.evicted("s1", &key("a1"));
    planner.request_load(Time(20), &server, &key("a1"), 1, 1);
    let begun = plans(&mut planner, 20 + ms(5).as_millis() as u64, &server);
    assert!(!begun[0].cold);
}

#[test]
fn the_adapter_with_the_highest_demand_is_fetched_first() {
    let (mut planner, server) = planner(&[]);
    planner.request_load(Time(10), &server, &key("rare"), 1, 1);
    planner.request_load(Time(11), &server, &key("mid"), 1, 3);
    planner.request_load(Time(12), &server, &key("hot"), 1, 9);
    let begun = plans(&mut planner, 13, &server);
    let loads: Vec<&PlannedLoad> = begun.iter().map(|plan| &plan.load).collect();
    assert_eq!(
        loads,
        [&PlannedLoad::Adapter(key("hot"), 1), &PlannedLoad::Adapter(key("mid"), 1)],
        "the initial limit is two"
    );
    let answer = planner.request_load(Time(14), &server, &key("rare"), 1, 1);
    let LoadRequestAnswer::Coming(after) = answer else { panic!("{answer:?}") };
    assert!(after >= FETCH, "it waits for the running fetches: {after:?}");
}

#[test]
fn an_unload_that_waits_for_running_requests_occupies_its_slot() {
    let held = [("a1", 1), ("a2", 1), ("a3", 1), ("a4", 1)];
    let (mut planner, server) = planner(&held);
    planner.request_load(Time(10_000), &server, &key("b1"), 1, 1);
    let begun = plans(&mut planner, 10_001, &server);
    planner.ended(Time(10_010), &begun[0], PlanOutcome::InUse, None);
    let next = plans(&mut planner, 10_020, &server);
    assert_ne!(next[0].evict, begun[0].evict, "another one is evicted");
    assert!(next[0].evict.is_some(), "the slot is not free yet");
}

#[test]
fn an_outdated_store_entry_removes_nothing_from_a_server_that_is_ordered_here() {
    let (mut planner, server) = planner(&[("a1", 1), ("a2", 1)]);
    for (now, name) in [(10, "a3"), (20, "a4")] {
        planner.request_load(Time(now), &server, &key(name), 1, 1);
        let begun = plans(&mut planner, now, &server);
        planner.ended(Time(now + 5), &begun[0], PlanOutcome::Done, Some(ms(280)));
    }
    planner.update_server(Time(12_000), &backend("s1", &[("a1", 1)]));
    planner.request_load(Time(12_010), &server, &key("b1"), 1, 1);
    let begun = plans(&mut planner, 12_011, &server);
    assert!(begun[0].evict.is_some(), "all slots are used, whatever the entry says");
}

#[test]
fn a_slot_that_waits_for_running_requests_is_freed_by_a_report() {
    let held = [("a1", 1), ("a2", 1), ("a3", 1), ("a4", 1)];
    let (mut planner, server) = planner(&held);
    planner.request_load(Time(10_000), &server, &key("b1"), 1, 1);
    let begun = plans(&mut planner, 10_001, &server);
    let victim = begun[0].evict.clone().expect("one is evicted");
    planner.ended(Time(10_010), &begun[0], PlanOutcome::InUse, None);
    assert!(planner.needing_survey(std::slice::from_ref(&server)).is_empty());
    planner.plan(Time(12_000), std::slice::from_ref(&server));
    assert_eq!(
        planner.needing_survey(std::slice::from_ref(&server)).len(),
        1,
        "its report is read again"
    );
    let left: Vec<(&str, u64)> =
        held.iter().copied().filter(|(n, _)| *n != &*victim.adapter).collect();
    planner.reported(Time(12_100), "s1", &report(&left));
    planner.request_load(Time(12_110), &server, &key("b2"), 1, 1);
    let begun = plans(&mut planner, 12_120, &server);
    assert!(begun.iter().any(|plan| plan.evict.is_none()));
}

#[test]
fn loads_without_a_response_stop_pending_once_a_report_lists_them_as_held() {
    let (mut planner, server) = planner(&[]);
    for (now, name) in [(10_000, "b1"), (13_000, "b2"), (16_000, "b3")] {
        planner.request_load(Time(now), &server, &key(name), 1, 1);
        let begun = plans(&mut planner, now, &server);
        planner.ended(Time(now + 700), &begun[0], PlanOutcome::Unknown, None);
    }
    planner.invalidate_survey("s1");
    let listed = report(&[("b1", 1), ("b2", 1), ("b3", 1)]);
    planner.reported(Time(20_000), "s1", &listed);
    planner.request_load(Time(20_010), &server, &key("c1"), 1, 1);
    assert_eq!(plans(&mut planner, 20_020, &server).len(), 1, "no load is pending there");
}

#[test]
fn a_replacement_that_never_began_leaves_the_old_version_held() {
    let (mut planner, server) = planner(&[("a1", 1)]);
    planner.request_load(Time(10), &server, &key("a1"), 2, 1);
    let begun = plans(&mut planner, 11, &server);
    assert_eq!(begun[0].load, PlannedLoad::Adapter(key("a1"), 2));
    planner.ended(Time(700), &begun[0], PlanOutcome::Unknown, None);
    let mut listed = report(&[("a1", 1)]);
    listed.pending = vec![(key("a1"), 2)];
    planner.reported(Time(3_000), "s1", &listed);
    planner.request_load(Time(3_010), &server, &key("a1"), 2, 1);
    assert!(plans(&mut planner, 3_020, &server).is_empty(), "it is being loaded");
    planner.reported(Time(4_000), "s1", &report(&[("a1", 1)]));
    planner.request_load(Time(4_010), &server, &key("a1"), 2, 1);
    assert_eq!(
        plans(&mut planner, 4_020, &server).len(),
        1,
        "it is not being loaded: it is ordered again"
    );
}

#[test]
fn the_request_rate_of_an_adapter_adapts_within_a_second() {
    let (mut planner, server) = planner(&[("a1", 1)]);
    for step in 0..20 {
        planner.record_use(Time(1_000 + step * 50), &server, &key("a1"), 1);
    }
    let rate = |now| planner.request_rates(Time(now), &server)[0].1;
    assert!((10.0..20.0).contains(&rate(2_000)), "{}", rate(2_000));
    assert!(rate(5_000) < 1.0, "the demand has faded");
}
