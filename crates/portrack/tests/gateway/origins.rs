//! Origins of streams, and the software versions that streams may begin at.

use crate::support::ms;
use portrack::gateway::{
    CallerIdentity, FingerprintInput, KnownOrigin, ListedVersions, MAX_ORIGINS, ORIGIN_TTL, Origin,
    OriginTable, SoftwareRecord, SoftwareRegistry, StreamKey, VersionState,
};
use portrack::types::Time;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

const SERVICE: &str = "llm";
const VERSIONS: [&str; 3] = ["a", "b", "c"];
const MAX_STALENESS: Duration = Duration::from_millis(2_000);

fn stream(caller: &str, attempt: &str) -> StreamKey {
    let request = FingerprintInput {
        caller: CallerIdentity::Organisation(caller),
        method: "POST",
        host: "h.example",
        target: "/long/x",
        body: &[],
    };
    StreamKey::of(&request, attempt)
}

fn origin(software: &str) -> Origin {
    Origin { service: SERVICE.into(), software: software.into() }
}

fn listed(versions: &BTreeSet<Rc<str>>) -> ListedVersions {
    ListedVersions::from([(SERVICE.into(), versions.clone())])
}

fn versions(all: &[&str]) -> BTreeSet<Rc<str>> {
    all.iter().map(|version| Rc::from(*version)).collect()
}

#[test]
fn an_origin_is_known_until_its_time_is_over() {
    let mut table = OriginTable::default();
    table.learn(Time(1_000), stream("x", "r1"), &origin("a"), ms(400));
    let known = table.get(Time(2_000), stream("x", "r1"));
    assert_eq!(known, Some(KnownOrigin::At(Rc::new(origin("a")), ms(1_400))));
    let over = Time(600) + ORIGIN_TTL;
    assert_eq!(table.get(over, stream("x", "r1")), None);
    table.expire(Time(1_000) + ORIGIN_TTL);
    assert_eq!(table.count(), 0);
}

#[test]
fn a_caller_can_neither_replace_nor_read_the_origin_of_another_callers_stream() {
    let mut table = OriginTable::default();
    table.learn(Time(1), stream("x", "r1"), &origin("a"), Duration::ZERO);
    table.learn(Time(2), stream("y", "r1"), &origin("b"), Duration::ZERO);
    let known = |caller| table.get(Time(3), stream(caller, "r1"));
    assert_eq!(known("x"), Some(KnownOrigin::At(Rc::new(origin("a")), ms(2))));
    assert_eq!(known("y"), Some(KnownOrigin::At(Rc::new(origin("b")), ms(1))));
    assert_eq!(known("z"), None);
}

#[test]
fn two_origins_of_one_stream_are_both_disbelieved() {
    let mut table = OriginTable::default();
    for software in ["a", "b", "a"] {
        table.learn(Time(1), stream("x", "r1"), &origin(software), Duration::ZERO);
    }
    assert_eq!(table.get(Time(2), stream("x", "r1")), Some(KnownOrigin::Conflicting));
}

#[test]
fn a_flood_of_streams_drops_the_oldest_origins_only() {
    let mut table = OriginTable::default();
    for n in 0..MAX_ORIGINS + 10 {
        table.learn(Time(1), stream("x", &n.to_string()), &origin("a"), Duration::ZERO);
    }
    assert_eq!(table.count(), MAX_ORIGINS);
    assert_eq!(table.get(Time(2), stream("x", "9")), None);
    assert!(table.get(Time(2), stream("x", "10")).is_some());
}

#[test]
fn a_version_without_a_name_equals_none() {
    let unnamed = crate::support::backend("i-1", &[]);
    let unnamed = portrack::gateway::Backend { software: "".into(), ..unnamed };
    assert!(!Origin::of(&unnamed).permits(&unnamed));
}

#[test]
fn a_service_with_one_version_from_the_first_start_has_one_origin() {
    let mut registry = SoftwareRegistry::new(Time(0), true, MAX_STALENESS);
    let (record, replaces) =
        registry.due(Time(1), &listed(&versions(&["a"])), true).expect("no record yet");
    assert_eq!((record.is_complete, replaces), (true, 0));
    registry.on_record(Time(2), Some((record, 7)));
    let sole = |staleness, all: &[&str]| {
        registry.sole_origin(Time(3), &SERVICE.into(), staleness, &versions(all))
    };
    assert_eq!(sole(Some(ms(2_000)), &["a"]), Some(origin("a")));
    assert_eq!(sole(Some(ms(2_001)), &["a"]), None, "a stale copy");
    assert_eq!(sole(None, &["a"]), None, "a copy of unknown age");
    assert_eq!(sole(Some(ms(0)), &["a", "b"]), None, "a version that is not recorded yet");
}

#[test]
fn beside_builds_that_announce_no_versions_nothing_is_concluded() {
    let mut registry = SoftwareRegistry::new(Time(0), false, MAX_STALENESS);
    let all = listed(&versions(&["a"]));
    let (record, _) = registry.due(Time(1), &all, false).expect("no record yet");
    assert!(!record.is_complete);
    registry.on_record(Time(2), Some((record, 7)));
    assert!(registry.may_begin(SERVICE, "b"), "nobody relies on the record");
    assert_eq!(registry.due(Time(ORIGIN_TTL.as_millis() as u64), &all, false), None);
    let from = Time(1) + ORIGIN_TTL;
    assert_eq!(registry.due(from, &all, true), None, "the other build was there a moment ago");
    let (record, _) = registry.due(from + ORIGIN_TTL, &all, true).expect("it is complete now");
    assert!(record.is_complete);
}

#[test]
fn versions_lost_with_a_restored_store_are_recorded_again_and_nothing_is_concluded_meanwhile() {
    let mut registry = SoftwareRegistry::new(Time(0), true, MAX_STALENESS);
    let both = BTreeMap::from([
        ("a".to_owned(), VersionState::InUse),
        ("b".to_owned(), VersionState::InUse),
    ]);
    let services = BTreeMap::from([(SERVICE.to_owned(), both.clone())]);
    registry.on_record(Time(1), Some((SoftwareRecord { services, is_complete: true }, 9)));
    registry.store_came_back(Time(2));
    let mut older = both.clone();
    older.remove("b");
    let services = BTreeMap::from([(SERVICE.to_owned(), older)]);
    registry.on_record(Time(3), Some((SoftwareRecord { services, is_complete: true }, 4)));
    let only_a = versions(&["a"]);
    assert_eq!(registry.sole_origin(Time(4), &SERVICE.into(), Some(ms(0)), &only_a), None);
    let (record, replaces) = registry.due(Time(4), &listed(&only_a), true).expect("b is missing");
    assert_eq!((record.services.get(SERVICE), replaces), (Some(&both), 4));
}

#[test]
fn versions_lost_with_the_first_of_two_restores_are_recorded_again_too() {
    let mut registry = SoftwareRegistry::new(Time(0), true, MAX_STALENESS);
    let record = |all: &[&str]| {
        let all = all.iter().map(|version| ((*version).to_owned(), VersionState::InUse));
        let services = BTreeMap::from([(SERVICE.to_owned(), all.collect())]);
        SoftwareRecord { services, is_complete: true }
    };
    registry.on_record(Time(1), Some((record(&["a", "b"]), 9)));
    registry.store_came_back(Time(2));
    registry.on_record(Time(3), Some((record(&["a"]), 4)));
    registry.store_came_back(Time(4));
    registry.on_record(Time(5), Some((record(&["a"]), 3)));
    let due = registry.due(Time(6), &listed(&versions(&["a"])), true);
    assert_eq!(due, Some((record(&["a", "b"]), 3)));
}

#[test]
fn origins_of_versions_that_are_gone_are_not_kept() {
    let mut table = OriginTable::default();
    for n in 0..100 {
        let now = Time(1) + ORIGIN_TTL * n;
        let software = format!("v{n}");
        table.learn(now, stream("x", &software), &origin(&software), Duration::ZERO);
        assert_eq!((table.count(), table.count_distinct()), (1, 1));
    }
}

/// A daemon with its copy of the store.
struct Daemon {
    table: OriginTable,
    registry: SoftwareRegistry,
    listed: BTreeSet<Rc<str>>,
    synced_at: Option<Time>,
}

impl Daemon {
    fn new(now: Time, is_first_start: bool) -> Self {
        let registry = SoftwareRegistry::new(now, is_first_start, MAX_STALENESS);
        Self { table: OriginTable::default(), registry, listed: BTreeSet::new(), synced_at: None }
    }
}

/// The fleet, and the truth about its streams.
struct World {
    now: Time,
    record: Option<(SoftwareRecord, u64)>,
    /// Versions with servers, and until when servers that are no longer listed still run.
    listed: BTreeSet<Rc<str>>,
    run_until: BTreeMap<Rc<str>, Time>,
    daemons: Vec<Daemon>,
    streams: Vec<(StreamKey, Rc<str>, Time)>,
}

/// How long servers serve on after their entry is gone.
const SERVES_ON: Duration = Duration::from_secs(30);
const DAEMONS: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    List(usize),
    Unlist(usize),
    Sync(usize),
    Write(usize),
    Restart(usize),
    RestartAll,
    /// A stream begins at a daemon; these daemons are told.
    Begin(usize, usize, [bool; DAEMONS]),
    /// A caller takes up one of the latest streams at a daemon, which reaches these daemons.
    TakeUp(usize, usize, [bool; DAEMONS]),
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    prop_oneof![
        6 => (1_u64..1_500).prop_map(Step::Pass),
        1 => (10_000_u64..130_000).prop_map(Step::Pass),
        3 => (0..VERSIONS.len()).prop_map(Step::List),
        2 => (0..VERSIONS.len()).prop_map(Step::Unlist),
        12 => daemon().prop_map(Step::Sync),
        6 => daemon().prop_map(Step::Write),
        2 => daemon().prop_map(Step::Restart),
        1 => Just(Step::RestartAll),
        9 => (daemon(), 0..VERSIONS.len(), any::<[bool; DAEMONS]>())
            .prop_map(|(at, version, told)| Step::Begin(at, version, told)),
        9 => (daemon(), 0_usize..8, any::<[bool; DAEMONS]>())
            .prop_map(|(at, back, reached)| Step::TakeUp(at, back, reached)),
    ]
}

impl World {
    fn new() -> Self {
        let daemons = (0..DAEMONS).map(|_| Daemon::new(Time(0), true)).collect();
        let mut world = Self {
            now: Time(0),
            record: None,
            listed: versions(&["a"]),
            run_until: BTreeMap::new(),
            daemons,
            streams: Vec::new(),
        };
        world.sync(0);
        world.write(0);
        (0..DAEMONS).for_each(|daemon| world.sync(daemon));
        world
    }

    fn sync(&mut self, at: usize) {
        let daemon = &mut self.daemons[at];
        daemon.registry.on_record(self.now, self.record.clone());
        daemon.listed = self.listed.clone();
        daemon.synced_at = Some(self.now);
    }

    fn staleness(&self, at: usize) -> Option<Duration> {
        self.daemons[at].synced_at.map(|synced| self.now.since(synced))
    }

    fn write(&mut self, at: usize) {
        let is_fresh = self.staleness(at).is_some_and(|staleness| staleness <= MAX_STALENESS);
        let daemon = &mut self.daemons[at];
        if !is_fresh {
            daemon.registry.on_stale_copy();
            return;
        }
        let due = daemon.registry.due(self.now, &listed(&daemon.listed), true);
        let revision = self.record.as_ref().map_or(0, |(_, revision)| *revision);
        if let Some((record, replaces)) = due.filter(|(_, replaces)| *replaces == revision) {
            self.record = Some((record, replaces + 1));
        }
    }

    fn is_running(&self, version: &str) -> bool {
        self.listed.contains(version)
            || self.run_until.get(version).is_some_and(|until| self.now < *until)
    }

    fn begin(&mut self, at: usize, version: &str, told: [bool; DAEMONS]) {
        let daemon = &self.daemons[at];
        let may_begin =
            daemon.listed.contains(version) && daemon.registry.may_begin(SERVICE, version);
        if !may_begin || !self.is_running(version) {
            return;
        }
        let key = stream("x", &self.streams.len().to_string());
        self.streams.push((key, version.into(), self.now));
        for (n, daemon) in self.daemons.iter_mut().enumerate() {
            if n == at || told[n] {
                daemon.table.learn(self.now, key, &origin(version), Duration::ZERO);
            }
        }
    }

    /// Where a daemon lets a stream go on, and where it began.
    fn take_up(
        &self,
        at: usize,
        back: usize,
        reached: [bool; DAEMONS],
    ) -> Option<(Rc<str>, Rc<str>)> {
        let (key, began, began_at) = self.streams.iter().rev().nth(back)?;
        if self.now.since(*began_at) >= ORIGIN_TTL {
            return None;
        }
        let asked = (0..DAEMONS).filter(|n| *n == at || reached[*n]);
        let mut known = asked.filter_map(|n| self.daemons[n].table.get(self.now, *key));
        if let Some(KnownOrigin::At(origin, _)) = known.next() {
            return Some((origin.software.clone(), began.clone()));
        }
        let daemon = &self.daemons[at];
        let staleness = self.staleness(at);
        let sole =
            daemon.registry.sole_origin(self.now, &SERVICE.into(), staleness, &daemon.listed)?;
        Some((sole.software, began.clone()))
    }

    fn apply(&mut self, step: &Step) -> Option<(Rc<str>, Rc<str>)> {
        match *step {
            Step::Pass(millis) => self.now = self.now + ms(millis),
            Step::List(version) => {
                self.listed.insert(VERSIONS[version].into());
            }
            Step::Unlist(version) => {
                if self.listed.remove(VERSIONS[version]) {
                    self.run_until.insert(VERSIONS[version].into(), self.now + SERVES_ON);
                }
            }
            Step::Sync(at) => self.sync(at),
            Step::Write(at) => self.write(at),
            Step::Restart(at) => self.daemons[at] = Daemon::new(self.now, false),
            Step::RestartAll => {
                self.daemons = (0..DAEMONS).map(|_| Daemon::new(self.now, false)).collect();
            }
            Step::Begin(at, version, told) => self.begin(at, VERSIONS[version], told),
            Step::TakeUp(at, back, reached) => return self.take_up(at, back, reached),
        }
        None
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn no_stream_goes_on_at_another_version_than_the_one_that_began_it(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut world = World::new();
        for step in &steps {
            if let Some((goes_on, began)) = world.apply(step) {
                prop_assert_eq!(goes_on, began);
            }
        }
    }
}

/// A fleet that is in touch lets every stream go on while a single version serves, also after all
/// daemons were restarted, and lets streams begin at a new version within seconds.
#[test]
fn a_fleet_in_touch_refuses_no_take_up_and_soon_uses_a_new_version() {
    let mut world = World::new();
    world.begin(0, "a", [false; DAEMONS]);
    world.apply(&Step::RestartAll);
    (0..DAEMONS).for_each(|daemon| world.sync(daemon));
    for daemon in 0..DAEMONS {
        let (goes_on, began) = world.take_up(daemon, 0, [false; DAEMONS]).expect("one version");
        assert_eq!(goes_on, began);
    }
    world.listed.insert("b".into());
    for _ in 0..20 {
        world.now = world.now + ms(200);
        (0..DAEMONS).for_each(|daemon| world.sync(daemon));
        (0..DAEMONS).for_each(|daemon| world.write(daemon));
    }
    (0..DAEMONS).for_each(|daemon| world.sync(daemon));
    assert!(world.daemons.iter().all(|daemon| daemon.registry.may_begin(SERVICE, "b")));
}
