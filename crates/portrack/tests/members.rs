//! Tests of the membership, the settings in memory and the load planner.

use portrack::loads::{Budget, LoadPlanner};
use portrack::membership::{Health, Membership, Peer, Scope, Timing};
use portrack::settings::{
    AdapterSpec, Applied, Book, Change, Edit, Entry, Place, Rule, TreePath, VersionSpec,
};
use portrack::types::{Instance, NodeName, Time};
use portrack::wire::{FetchEntry, Heartbeat, MemberState, PermitAsk, PermitRef, SettingsMark};

fn node(name: &str) -> NodeName {
    name.parse().unwrap()
}

/// A peer in the hall that the first letter of its name denotes.
fn peer(name: &str) -> Peer {
    Peer {
        node: node(name),
        hall: name[..1].parse().unwrap(),
        region: "r".parse().unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
    }
}

fn heartbeat(state: MemberState, suspects: &[&str]) -> Heartbeat {
    Heartbeat {
        state,
        settings: SettingsMark::default(),
        platform: false,
        suspects: suspects.iter().map(|name| node(name)).collect(),
        loads: Vec::new(),
    }
}

fn members(names: &[&str]) -> Membership {
    let mut members = Membership::new(peer("a1"), Timing::default(), Time(0));
    members.seed(Time(0), names.iter().map(|name| peer(name)));
    members
}

fn receive_heartbeat(members: &mut Membership, now: Time, name: &str, suspects: &[&str]) -> bool {
    let from = Instance { node: node(name), incarnation: 1 };
    members.heard(now, &from, &heartbeat(MemberState::Alive, suspects))
}

fn health(members: &Membership, name: &str) -> Health {
    members.get(&node(name)).unwrap().health
}

#[test]
fn a_silent_member_is_suspected_first_and_then_declared_dead() {
    let mut members = members(&["a2"]);
    assert_eq!(health(&members, "a2"), Health::Unheard);
    receive_heartbeat(&mut members, Time(0), "a2", &[]);
    for (now, expected) in [(2_900, Health::Alive), (3_000, Health::Suspect), (5_000, Health::Dead)]
    {
        members.tick(Time(now));
        assert_eq!(health(&members, "a2"), expected, "at {now} ms");
    }
    assert!(receive_heartbeat(&mut members, Time(6_000), "a2", &[]));
    assert_eq!(health(&members, "a2"), Health::Alive);
}

#[test]
fn a_member_is_not_declared_dead_while_others_receive_its_heartbeats() {
    let mut members = members(&["a2", "a3", "a4"]);
    receive_heartbeat(&mut members, Time(0), "a2", &[]);
    for second in 1..=8 {
        let now = Time(second * 1_000);
        receive_heartbeat(&mut members, now, "a3", &[]);
        receive_heartbeat(&mut members, now, "a4", &[]);
        members.tick(now);
    }
    assert_eq!(health(&members, "a2"), Health::Suspect);
    receive_heartbeat(&mut members, Time(8_500), "a3", &["a2"]);
    receive_heartbeat(&mut members, Time(8_500), "a4", &["a2"]);
    members.tick(Time(8_600));
    assert_eq!(health(&members, "a2"), Health::Dead);
}

#[test]
fn heartbeats_of_an_older_incarnation_are_ignored() {
    let mut members = members(&["a2"]);
    let from = |incarnation| Instance { node: node("a2"), incarnation };
    assert!(members.heard(Time(0), &from(5), &heartbeat(MemberState::Alive, &[])));
    assert!(!members.heard(Time(1), &from(4), &heartbeat(MemberState::Leaving, &[])));
    assert_eq!(members.get(&node("a2")).unwrap().state, MemberState::Alive);
}

#[test]
fn a_member_that_announces_leaving_owns_nothing() {
    let mut members = members(&["a2", "a3"]);
    for name in ["a2", "a3"] {
        receive_heartbeat(&mut members, Time(0), name, &[]);
    }
    let engine = (0..).map(|n| format!("e{n}"));
    let engine = engine.into_iter().find(|e| members.owner_of(e) == Some(&node("a2"))).unwrap();
    let from = Instance { node: node("a2"), incarnation: 1 };
    members.heard(Time(10), &from, &heartbeat(MemberState::Leaving, &[]));
    assert_ne!(members.owner_of(&engine), Some(&node("a2")));
}

#[test]
fn heartbeats_to_other_halls_are_less_frequent() {
    let mut members = members(&["a2", "b1"]);
    let mut sent = Vec::new();
    for tenth in 0..100 {
        sent.extend(members.tick(Time(tenth * 100)));
    }
    let count = |name: &str| sent.iter().filter(|n| n.as_str() == name).count();
    assert_eq!((count("a2"), count("b1")), (10, 2));
    assert_eq!(members.get(&node("b1")).unwrap().scope, Scope::Region);
}

#[test]
fn dead_members_missing_from_the_node_list_are_removed() {
    let mut members = members(&["a2", "a3"]);
    receive_heartbeat(&mut members, Time(0), "a2", &[]);
    members.tick(Time(20_000));
    members.listed(Time(20_000), vec![peer("a1"), peer("a3")]);
    assert!(members.get(&node("a2")).is_none());
    assert!(members.get(&node("a3")).is_some());
    members.listed(Time(20_000), Vec::new());
    assert!(members.get(&node("a3")).is_some(), "a list without this node must not remove members");
}

fn change(id: u128, edit: Edit) -> Change {
    let id = portrack::audit::ChangeId(id);
    Change { id, why: String::new(), expected: None, edit }
}

fn set(path: &str, key: &str, value: u64) -> Edit {
    Edit::Set { path: path.parse().unwrap(), key: key.into(), value: Some(value) }
}

/// The entry that results from applying an edit to an old one.
fn entry(edit: Edit, old: Option<Entry>, revision: u64) -> FetchEntry {
    let key = edit.entry_key();
    let (value, _) = change(u128::from(revision), edit).build("ann", 0, old).unwrap();
    FetchEntry { key, revision, value }
}

#[test]
fn an_older_revision_is_never_applied() {
    let mut book = Book::default();
    let newer = entry(set("fleet", "stall_weight", 70), None, 9);
    let older = entry(set("fleet", "stall_weight", 30), None, 8);
    assert_eq!(book.apply(newer.clone()), Applied::Newer);
    let mark = book.mark();
    assert_eq!(book.apply(older), Applied::Older);
    assert_eq!(book.apply(newer), Applied::Older);
    assert_eq!(book.mark(), mark);
    assert_eq!(book.effective(&TreePath::fleet()).get("stall_weight"), 70);
}

#[test]
fn an_entry_in_a_later_format_is_refused_and_the_old_one_stays() {
    let mut book = Book::default();
    book.apply(entry(set("fleet", "stall_weight", 70), None, 1));
    let mut later = entry(set("fleet", "stall_weight", 30), None, 2);
    later.value =
        String::from_utf8(later.value).unwrap().replace("\"format\":1", "\"format\":2").into();
    assert!(matches!(book.apply(later), Applied::Refused(_)));
    assert_eq!(book.effective(&TreePath::fleet()).get("stall_weight"), 70);
    assert_eq!(book.refused().len(), 1);
}

#[test]
fn child_nodes_override_parents_and_explain_names_the_origin() {
    let mut book = Book::default();
    for (revision, (path, value)) in [
        ("fleet", 10),
        ("fleet/hall:a", 20),
        ("fleet/service:chat", 30),
        ("fleet/hall:a/service:chat", 40),
    ]
    .into_iter()
    .enumerate()
    {
        book.apply(entry(set(path, "stall_weight", value), None, revision as u64 + 1));
    }
    let at = |path: &str| {
        let place: Place = path.parse().unwrap();
        let explained = book.explain(&place, "stall_weight").unwrap();
        (explained.value, explained.from)
    };
    assert_eq!(at("fleet/hall:b"), (10, "fleet".into()));
    assert_eq!(at("fleet/hall:a/class:old"), (20, "fleet/hall:a".into()));
    assert_eq!(at("fleet/hall:b/service:chat"), (30, "fleet/service:chat".into()));
    assert_eq!(at("fleet/hall:a/service:chat"), (40, "fleet/hall:a/service:chat".into()));
    let unset = book.explain(&TreePath::fleet(), "queue_len").unwrap();
    assert_eq!((unset.value, unset.from.as_str()), (64, "default"));
}

#[test]
fn two_books_converge_after_exchanging_entries() {
    let (mut one, mut other) = (Book::default(), Book::default());
    one.apply(entry(set("fleet", "stall_weight", 70), None, 5));
    other.apply(entry(set("fleet", "stall_weight", 30), None, 4));
    other.apply(entry(set("fleet/hall:a", "queue_len", 9), None, 6));
    for newer in one.newer_than(&other.have()) {
        other.apply(newer);
    }
    for newer in other.newer_than(&one.have()) {
        one.apply(newer);
    }
    assert_eq!(one.mark(), other.mark());
    assert_eq!(one.effective(&TreePath::fleet()).get("stall_weight"), 70);
}

fn versions(rules: &[(&str, u32, Option<&str>)]) -> AdapterSpec {
    let weights = || VersionSpec { weights: "w".into() };
    let rule = |(version, share, service): &(&str, u32, Option<&str>)| Rule {
        version: version.parse().unwrap(),
        share: *share,
        service: service.map(str::to_owned),
        hall: None,
        class: None,
    };
    AdapterSpec {
        base: "base".parse().unwrap(),
        versions: ["v1", "v2"].map(|v| (v.parse().unwrap(), weights())).into(),
        rules: rules.iter().map(rule).collect(),
    }
}

#[test]
fn rules_select_the_version_that_serves_a_request() {
    let spec = versions(&[("v1", 75, None), ("v2", 25, None), ("v2", 0, Some("trial"))]);
    let route = |draw| spec.route(None, "chat", "a", draw).unwrap().version.to_string();
    let first = (0..100).filter(|draw| route(*draw) == "v1").count();
    assert_eq!(first, 75);
    let named = "v2".parse().unwrap();
    assert!(spec.route(Some(&named), "chat", "a", 0).is_some());
    let only_named = versions(&[("v2", 0, None)]);
    assert!(only_named.route(None, "chat", "a", 0).is_none());
    assert!(only_named.route(Some(&named), "chat", "a", 0).is_some());
    let elsewhere = versions(&[("v1", 100, Some("forms"))]);
    assert!(elsewhere.route(None, "chat", "a", 0).is_none());
}

fn permit(engine: &str, adapter: &str, weight: u32) -> PermitAsk {
    let load = PermitRef {
        engine: engine.parse().unwrap(),
        adapter: format!("{adapter}@v1").parse().unwrap(),
    };
    PermitAsk { load, waited_ms: 0, weight }
}

#[test]
fn the_planner_respects_rate_and_concurrency_and_counts_each_permit_once() {
    let budget = Budget { per_second: 3.0, at_once: 2, ..Budget::default() };
    let mut planner = LoadPlanner::new(budget, Time(0));
    let mut given = Vec::new();
    for adapter in ["a", "b", "c", "d", "e"] {
        given.extend(planner.ask(Time(0), node("n1"), permit("e1", adapter, 1)));
    }
    assert_eq!(given.len(), 2);
    let again = planner.ask(Time(1), node("n1"), permit("e1", "a", 1));
    assert_eq!(again.len(), 1, "a repeated request gets the same permit again");
    assert_eq!(planner.given_count(), 2);
    let mut at = 2;
    while !given.is_empty() && at < 100 {
        let (_, load) = given.remove(0);
        given.extend(planner.done(Time(at), &load));
        at += 1;
    }
    assert_eq!(planner.asked_count(), 2, "the rate allows three permits in the first second");
}

#[test]
fn the_load_with_the_highest_weight_goes_first() {
    let budget = Budget { per_second: 10.0, at_once: 1, ..Budget::default() };
    let mut planner = LoadPlanner::new(budget, Time(0));
    let first = planner.ask(Time(0), node("n1"), permit("e1", "a", 1));
    planner.ask(Time(0), node("n1"), permit("e1", "few", 1));
    planner.ask(Time(0), node("n1"), permit("e1", "many", 8));
    let next = planner.done(Time(100), &first[0].1);
    assert_eq!(next[0].1.adapter.adapter.as_str(), "many");
}

#[test]
fn a_permit_expires_if_its_owner_has_died() {
    let budget = Budget { at_once: 1, ..Budget::default() };
    let mut planner = LoadPlanner::new(budget, Time(0));
    planner.ask(Time(0), node("n1"), permit("e1", "a", 1));
    assert!(planner.ask(Time(10), node("n2"), permit("e2", "b", 1)).is_empty());
    let late = Time(0) + budget.permit_ttl;
    let given = planner.ask(late, node("n2"), permit("e2", "b", 1));
    assert_eq!(given.len(), 1);
}
