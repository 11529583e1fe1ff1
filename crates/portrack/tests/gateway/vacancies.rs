//! Whose turn it is to claim a server.

use portrack::Time;
use portrack::gateway::{
    Candidates, ClaimAttempt, ClaimRecord, ClaimRecords, Claimant, MirrorChange, Predecessor,
    SeenRecord, UnclaimedServers,
};
use portrack::store::KvEntry;
use std::rc::Rc;

const ME: &str = "n1";
const MACHINE: &str = "n1|10.0.0.1:7000";

fn names(names: &[&str]) -> Vec<Rc<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

fn claimant(held: usize) -> Claimant<'static> {
    Claimant { name: ME, machine: MACHINE, held, share: 2, knows_fleet_from: Time(0) }
}

/// Daemons of the server's hall, all of which may hold servers.
fn near(able: &[&str]) -> Candidates {
    Candidates { near: names(able), far: Vec::new(), holders: able.len() }
}

/// A server that is vacant from second 1 on, and what the store says of it.
#[derive(Default)]
struct Vacant {
    vacancies: UnclaimedServers,
    records: ClaimRecords,
}

impl Vacant {
    fn observe(&mut self, server: &str, seen: Option<SeenRecord>) {
        self.records.observe(server, seen);
    }

    fn update(&mut self, now: Time, vacant: &[Rc<str>]) {
        self.vacancies.update(now, vacant);
    }

    fn due(
        &mut self,
        now: Time,
        me: Claimant<'_>,
        candidates: impl Fn(&str) -> Candidates,
        is_heard: impl Fn(&str) -> bool,
    ) -> Vec<ClaimAttempt> {
        self.vacancies.due(now, me, &self.records, candidates, is_heard)
    }
}

fn due(vacant: &mut Vacant, now: u64, able: &[&str], heard: &str) -> Vec<ClaimAttempt> {
    vacant.due(Time(now), claimant(0), |_| near(able), |machine| machine == heard)
}

fn vacant() -> Vacant {
    let mut vacant = Vacant::default();
    vacant.update(Time(1_000), &["s1".into()]);
    vacant
}

/// A change of the store as the watch delivers it.
fn put(key: &str, revision: u64, value: Vec<u8>) -> MirrorChange {
    MirrorChange::Put(KvEntry { key: key.into(), revision, value })
}

fn seen(machine: &str, settled: bool, resigned: bool) -> Option<SeenRecord> {
    let record =
        ClaimRecord { machine: machine.into(), settled, resigned, eras: Default::default() };
    Some(SeenRecord { revision: 9, record })
}

#[test]
fn a_server_without_a_record_is_claimed_soon_and_without_a_wait() {
    let mut vacancies = vacant();
    assert!(due(&mut vacancies, 1_100, &[ME], "").is_empty());
    let tries = due(&mut vacancies, 1_150, &[ME], "");
    let [attempt] = &tries[..] else { panic!("one try") };
    assert_eq!((attempt.revision, attempt.before), (0, Predecessor::None));
    assert!(due(&mut vacancies, 1_300, &[ME], "").is_empty(), "not again at once");
    assert_eq!(due(&mut vacancies, 1_900, &[ME], "").len(), 1);
}

#[test]
fn a_restarted_machine_takes_its_own_server_back_at_once() {
    let mut vacancies = vacant();
    vacancies.observe("s1", seen(MACHINE, true, false));
    let tries = due(&mut vacancies, 1_150, &["n0", "n2", "n3", ME], "");
    let [attempt] = &tries[..] else { panic!("one try") };
    assert_eq!((attempt.revision, attempt.before), (9, Predecessor::None));
}

#[test]
fn its_own_record_that_never_settled_still_has_to_be_waited_for() {
    let mut vacancies = vacant();
    vacancies.observe("s1", seen(MACHINE, false, false));
    let tries = due(&mut vacancies, 1_150, &[ME], "");
    assert_eq!(tries[0].before, Predecessor::Lapsed);
}

#[test]
fn another_machines_server_is_left_to_it_for_a_while_and_while_it_is_heard() {
    let mut vacancies = vacant();
    vacancies.observe("s1", seen("n2|10.0.0.2:7000", true, false));
    assert!(due(&mut vacancies, 3_000, &[ME], "").is_empty());
    assert!(due(&mut vacancies, 9_000, &[ME], "n2|10.0.0.2:7000").is_empty(), "it is heard");
    let tries = due(&mut vacancies, 9_000, &[ME], "");
    let [attempt] = &tries[..] else { panic!("one try") };
    assert_eq!(attempt.gone.as_deref(), Some("n2|10.0.0.2:7000"));
    assert_eq!(attempt.before, Predecessor::Lapsed);
}

/// Of three daemons the first lost its lease without knowing it, the second took the server over and
/// stopped before the first one's last order could be old enough. The third waited for the second
/// only and ordered the server beside the first.
#[test]
fn a_resigned_machine_hands_on_the_wait_for_the_one_before_it() {
    let mut vacancies = vacant();
    vacancies.observe("s1", seen("n2|10.0.0.2:7000", false, true));
    let tries = due(&mut vacancies, 9_000, &[ME], "n2|10.0.0.2:7000");
    assert_eq!((tries[0].before, tries[0].gone.as_ref()), (Predecessor::Lapsed, None));
}

#[test]
fn a_resigned_machine_is_not_waited_for_as_long() {
    let mut vacancies = vacant();
    vacancies.observe("s1", seen("n2|10.0.0.2:7000", true, true));
    let tries = due(&mut vacancies, 9_000, &[ME], "n2|10.0.0.2:7000");
    assert_eq!(tries[0].before, Predecessor::Resigned);
    assert_eq!(tries[0].gone, None);
}

#[test]
fn daemons_take_turns() {
    let all = ["n0", "n1", "n2", "n3"];
    let mut firsts = 0;
    for server in 0..20 {
        let mut vacancies = Vacant::default();
        vacancies.update(Time(1_000), &[format!("s{server}").into()]);
        firsts += due(&mut vacancies, 1_200, &all, "").len();
    }
    assert!((1..=10).contains(&firsts), "about a quarter: {firsts}");
}

#[test]
fn a_server_that_is_no_longer_vacant_is_forgotten() {
    let mut vacancies = vacant();
    vacancies.update(Time(1_100), &[]);
    assert!(due(&mut vacancies, 9_000, &[ME], "").is_empty());
}

#[test]
fn daemons_of_other_halls_come_after_those_of_the_servers_own() {
    let candidates = Candidates { near: names(&["n7", "n8"]), far: names(&[ME]), holders: 2 };
    let mut vacancies = vacant();
    let mut tries =
        |now| vacancies.due(Time(now), claimant(0), |_| candidates.clone(), |_| false).len();
    assert_eq!(tries(1_150 + 2 * 1_200 - 1), 0, "two are given their turns");
    assert_eq!(tries(1_150 + 2 * 1_200), 1);
}

#[test]
fn a_daemon_that_has_its_share_leaves_others_a_turn() {
    let alone = || near(&[ME]);
    let mut vacancies = Vacant::default();
    vacancies.update(Time(1_000), &names(&["s1", "s2", "s3", "s4"]));
    let mut tries = |now, held| vacancies.due(Time(now), claimant(held), |_| alone(), |_| false);
    assert_eq!(tries(1_200, 0).len(), 2, "its share of two");
    assert_eq!(tries(1_300, 2).len(), 0);
    assert_eq!(tries(2_400, 2).len(), 1, "nobody else came: one more a turn");
}

#[test]
fn a_restarted_machine_that_has_read_the_records_needs_no_try_to_learn_them() {
    let mut vacancies = Vacant::default();
    vacancies.observe("s1", seen(MACHINE, true, false));
    vacancies.update(Time(1_000), &names(&["s1"]));
    let tries = vacancies.due(Time(1_150), claimant(9), |_| near(&["n0", "n2", ME]), |_| false);
    let [attempt] = &tries[..] else { panic!("one try") };
    assert_eq!((attempt.revision, attempt.before), (9, Predecessor::None));
}

#[test]
fn only_the_holders_of_a_hall_share_its_servers_while_they_are_there() {
    let all = ["n0", "n2", ME, "n3", "n4", "n5"];
    let firsts = |holders: usize| {
        let claims = |server: usize| {
            let mut vacant = Vacant::default();
            vacant.update(Time(1_000), &[format!("s{server}").into()]);
            let candidates = Candidates { holders, ..near(&all) };
            let unlimited = Claimant { share: 9, ..claimant(0) };
            vacant.due(Time(1_200), unlimited, |_| candidates.clone(), |_| false).len()
        };
        (0..60).map(claims).sum::<usize>()
    };
    assert_eq!(firsts(2), 0, "the first two of the hall hold all");
    assert!(firsts(3) >= 10, "one of three: {}", firsts(3));
}

#[test]
fn a_daemon_that_has_just_started_leaves_servers_that_nobody_ordered_alone() {
    let mut vacant = vacant();
    let new = Claimant { knows_fleet_from: Time(3_500), ..claimant(0) };
    let mut tries = |now| vacant.due(Time(now), new, |_| near(&[ME]), |_| false).len();
    assert_eq!(tries(3_600), 0);
    assert_eq!(tries(3_650), 1);
}

#[test]
fn the_watch_tells_who_holds_a_server_without_a_try() {
    let other = "n2|10.0.0.2:7000";
    let record = ClaimRecord {
        machine: other.into(),
        settled: true,
        resigned: false,
        eras: Default::default(),
    };
    let mut records = ClaimRecords::default();
    assert!(records.apply(&put(&ClaimRecord::live_key(other), 3, Vec::new())));
    assert!(records.apply(&put(&ClaimRecord::key("s1"), 4, record.bytes())));
    assert_eq!(records.holder("s1"), Some(other));
    assert!(records.apply(&MirrorChange::Removed(ClaimRecord::live_key(other))));
    assert_eq!(records.holder("s1"), None, "its lease is over");
    assert_eq!(records.record("s1").map(|seen| seen.revision), Some(4));
    assert!(!records.apply(&put("op/config", 5, Vec::new())), "no claim");
}

#[test]
fn an_older_record_from_a_late_watch_replaces_no_newer_one() {
    let mut records = ClaimRecords::default();
    records.observe("s1", seen(MACHINE, true, false));
    let older = ClaimRecord {
        machine: "n2|x".into(),
        settled: true,
        resigned: false,
        eras: Default::default(),
    };
    records.apply(&put(&ClaimRecord::key("s1"), 8, older.bytes()));
    assert_eq!(records.record("s1").map(|seen| &*seen.record.machine), Some(MACHINE));
}

#[test]
fn a_machine_that_has_resigned_holds_nothing() {
    let mut records = ClaimRecords::default();
    records.apply(&put(&ClaimRecord::live_key(MACHINE), 3, Vec::new()));
    records.observe("s1", seen(MACHINE, true, true));
    assert_eq!(records.holder("s1"), None);
}
