//! When a daemon claims a server.

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
    Claimant { name: ME, machine: MACHINE, held, share: 2, claims_new_from: Time(0) }
}

/// Daemons of the server's hall, all of which may be holders.
fn near(able: &[&str]) -> Candidates {
    Candidates { near: names(able), far: Vec::new(), holders: able.len() }
}

/// A server without a holder from second 1 on, and the claim records.
#[derive(Default)]
struct Unclaimed {
    servers: UnclaimedServers,
    records: ClaimRecords,
}

impl Unclaimed {
    fn observe(&mut self, server: &str, seen: Option<SeenRecord>) {
        self.records.observe(server, seen);
    }

    fn update(&mut self, now: Time, unclaimed: &[Rc<str>]) {
        self.servers.update(now, unclaimed);
    }

    fn due(
        &mut self,
        now: Time,
        me: Claimant<'_>,
        candidates: impl Fn(&str) -> Candidates,
        is_heard: impl Fn(&str) -> bool,
    ) -> Vec<ClaimAttempt> {
        self.servers.due(now, me, &self.records, candidates, is_heard)
    }
}

fn due(unclaimed: &mut Unclaimed, now: u64, able: &[&str], heard: &str) -> Vec<ClaimAttempt> {
    unclaimed.due(Time(now), claimant(0), |_| near(able), |machine| machine == heard)
}

fn unclaimed() -> Unclaimed {
    let mut unclaimed = Unclaimed::default();
    unclaimed.update(Time(1_000), &["s1".into()]);
    unclaimed
}

/// A store change as the watch delivers it.
fn put(key: &str, revision: u64, value: Vec<u8>) -> MirrorChange {
    MirrorChange::Put(KvEntry { key: key.into(), revision, value })
}

fn seen(machine: &str, settled: bool, resigned: bool) -> Option<SeenRecord> {
    let record = ClaimRecord {
        machine: machine.into(),
        settled,
        resigned,
        eras: Default::default(),
        yielded: false,
    };
    Some(SeenRecord { revision: 9, record })
}

#[test]
fn a_server_without_a_record_is_claimed_without_a_predecessor() {
    let mut unclaimed = unclaimed();
    assert!(due(&mut unclaimed, 1_100, &[ME], "").is_empty());
    let attempts = due(&mut unclaimed, 1_150, &[ME], "");
    let [attempt] = &attempts[..] else { panic!("one attempt") };
    assert_eq!((attempt.revision, attempt.predecessor), (0, Predecessor::None));
    assert!(due(&mut unclaimed, 1_300, &[ME], "").is_empty(), "no immediate retry");
    assert_eq!(due(&mut unclaimed, 1_900, &[ME], "").len(), 1);
}

#[test]
fn a_restarted_machine_reclaims_its_own_server_at_once() {
    let mut unclaimed = unclaimed();
    unclaimed.observe("s1", seen(MACHINE, true, false));
    let attempts = due(&mut unclaimed, 1_150, &["n0", "n2", "n3", ME], "");
    let [attempt] = &attempts[..] else { panic!("one attempt") };
    assert_eq!((attempt.revision, attempt.predecessor), (9, Predecessor::None));
}

#[test]
fn an_unsettled_own_record_requires_the_wait() {
    let mut unclaimed = unclaimed();
    unclaimed.observe("s1", seen(MACHINE, false, false));
    let attempts = due(&mut unclaimed, 1_150, &[ME], "");
    assert_eq!(attempts[0].predecessor, Predecessor::Lapsed);
}

#[test]
fn another_machines_server_is_left_to_it_for_a_grace_period_and_while_it_is_heard() {
    let mut unclaimed = unclaimed();
    unclaimed.observe("s1", seen("n2|10.0.0.2:7000", true, false));
    assert!(due(&mut unclaimed, 3_000, &[ME], "").is_empty());
    assert!(due(&mut unclaimed, 9_000, &[ME], "n2|10.0.0.2:7000").is_empty(), "it was heard from");
    let attempts = due(&mut unclaimed, 9_000, &[ME], "");
    let [attempt] = &attempts[..] else { panic!("one attempt") };
    assert_eq!(attempt.expired_machine.as_deref(), Some("n2|10.0.0.2:7000"));
    assert_eq!(attempt.predecessor, Predecessor::Lapsed);
}

/// Guards against loads that stop for as long as a machine is waited for that does not come back: it gave the
/// server up since it lost its link. Its last order is waited for as always.
#[test]
fn a_yielded_server_is_claimed_without_waiting_for_its_machine() {
    let mut unclaimed = unclaimed();
    let yielded = seen("n2|10.0.0.2:7000", true, true);
    let record = |seen: SeenRecord| ClaimRecord { yielded: true, ..seen.record };
    let yielded = yielded.map(|seen| SeenRecord { revision: 9, record: record(seen) });
    unclaimed.observe("s1", yielded);
    let attempts = due(&mut unclaimed, 1_150, &[ME], "n2|10.0.0.2:7000");
    let [attempt] = &attempts[..] else { panic!("one attempt") };
    assert_eq!((attempt.predecessor, &attempt.expired_machine), (Predecessor::Resigned, &None));
}

/// Guards against two daemons that order a server at the same time: the first lost its lease
/// without noticing, the second took over and stopped before the first one's last order was old
/// enough, and the third waited for the second only.
#[test]
fn the_successor_of_a_resigned_machine_waits_for_the_machine_before_it() {
    let mut unclaimed = unclaimed();
    unclaimed.observe("s1", seen("n2|10.0.0.2:7000", false, true));
    let attempts = due(&mut unclaimed, 9_000, &[ME], "n2|10.0.0.2:7000");
    assert_eq!(
        (attempts[0].predecessor, attempts[0].expired_machine.as_ref()),
        (Predecessor::Lapsed, None)
    );
}

#[test]
fn a_resigned_machine_requires_a_shorter_wait() {
    let mut unclaimed = unclaimed();
    unclaimed.observe("s1", seen("n2|10.0.0.2:7000", true, true));
    let attempts = due(&mut unclaimed, 9_000, &[ME], "n2|10.0.0.2:7000");
    assert_eq!(attempts[0].predecessor, Predecessor::Resigned);
    assert_eq!(attempts[0].expired_machine, None);
}

#[test]
fn daemons_claim_in_rank_order() {
    let all = ["n0", "n1", "n2", "n3"];
    let mut firsts = 0;
    for server in 0..20 {
        let mut unclaimed = Unclaimed::default();
        unclaimed.update(Time(1_000), &[format!("s{server}").into()]);
        firsts += due(&mut unclaimed, 1_200, &all, "").len();
    }
    assert!((1..=10).contains(&firsts), "about a quarter: {firsts}");
}

#[test]
fn a_server_that_has_a_holder_again_is_dropped() {
    let mut unclaimed = unclaimed();
    unclaimed.update(Time(1_100), &[]);
    assert!(due(&mut unclaimed, 9_000, &[ME], "").is_empty());
}

#[test]
fn daemons_of_other_halls_rank_after_those_of_the_servers_hall() {
    let candidates = Candidates { near: names(&["n7", "n8"]), far: names(&[ME]), holders: 2 };
    let mut unclaimed = unclaimed();
    let mut attempts =
        |now| unclaimed.due(Time(now), claimant(0), |_| candidates.clone(), |_| false).len();
    assert_eq!(attempts(1_150 + 2 * 1_200 - 1), 0, "two daemons rank before this one");
    assert_eq!(attempts(1_150 + 2 * 1_200), 1);
}

#[test]
fn a_daemon_that_has_its_share_lets_others_go_first() {
    let alone = || near(&[ME]);
    let mut unclaimed = Unclaimed::default();
    unclaimed.update(Time(1_000), &names(&["s1", "s2", "s3", "s4"]));
    let mut attempts = |now, held| unclaimed.due(Time(now), claimant(held), |_| alone(), |_| false);
    assert_eq!(attempts(1_200, 0).len(), 2, "its share of two");
    assert_eq!(attempts(1_300, 2).len(), 0);
    assert_eq!(attempts(2_400, 2).len(), 1, "no other daemon claimed: one more per turn");
}

#[test]
fn a_restarted_machine_uses_the_records_it_has_read() {
    let mut unclaimed = Unclaimed::default();
    unclaimed.observe("s1", seen(MACHINE, true, false));
    unclaimed.update(Time(1_000), &names(&["s1"]));
    let attempts = unclaimed.due(Time(1_150), claimant(9), |_| near(&["n0", "n2", ME]), |_| false);
    let [attempt] = &attempts[..] else { panic!("one attempt") };
    assert_eq!((attempt.revision, attempt.predecessor), (9, Predecessor::None));
}

#[test]
fn only_the_holders_of_a_hall_share_its_servers() {
    let all = ["n0", "n2", ME, "n3", "n4", "n5"];
    let firsts = |holders: usize| {
        let claims = |server: usize| {
            let mut unclaimed = Unclaimed::default();
            unclaimed.update(Time(1_000), &[format!("s{server}").into()]);
            let candidates = Candidates { holders, ..near(&all) };
            let unlimited = Claimant { share: 9, ..claimant(0) };
            unclaimed.due(Time(1_200), unlimited, |_| candidates.clone(), |_| false).len()
        };
        (0..60).map(claims).sum::<usize>()
    };
    assert_eq!(firsts(2), 0, "the first two of the hall hold all servers");
    assert!(firsts(3) >= 10, "one of three: {}", firsts(3));
}

#[test]
fn a_daemon_that_has_just_started_does_not_claim_servers_without_a_record() {
    let mut unclaimed = unclaimed();
    let new = Claimant { claims_new_from: Time(3_500), ..claimant(0) };
    let mut attempts = |now| unclaimed.due(Time(now), new, |_| near(&[ME]), |_| false).len();
    assert_eq!(attempts(3_600), 0);
    assert_eq!(attempts(3_650), 1);
}

#[test]
fn the_watch_shows_who_holds_a_server() {
    let other = "n2|10.0.0.2:7000";
    let record = ClaimRecord {
        machine: other.into(),
        settled: true,
        resigned: false,
        eras: Default::default(),
        yielded: false,
    };
    let mut records = ClaimRecords::default();
    assert!(records.apply(&put(&ClaimRecord::live_key(other), 3, Vec::new())));
    assert!(records.apply(&put(&ClaimRecord::key("s1"), 4, record.bytes())));
    assert_eq!(records.holder("s1"), Some(other));
    assert!(records.apply(&MirrorChange::Removed(ClaimRecord::live_key(other))));
    assert_eq!(records.holder("s1"), None, "its lease has expired");
    assert_eq!(records.record("s1").map(|seen| seen.revision), Some(4));
    assert!(!records.apply(&put("op/config", 5, Vec::new())), "not a claim");
}

#[test]
fn an_older_record_from_a_late_watch_is_ignored() {
    let mut records = ClaimRecords::default();
    records.observe("s1", seen(MACHINE, true, false));
    let older = ClaimRecord {
        machine: "n2|x".into(),
        settled: true,
        resigned: false,
        eras: Default::default(),
        yielded: false,
    };
    records.apply(&put(&ClaimRecord::key("s1"), 8, older.bytes()));
    assert_eq!(records.record("s1").map(|seen| &*seen.record.machine), Some(MACHINE));
}

#[test]
fn a_resigned_machine_holds_nothing() {
    let mut records = ClaimRecords::default();
    records.apply(&put(&ClaimRecord::live_key(MACHINE), 3, Vec::new()));
    records.observe("s1", seen(MACHINE, true, true));
    assert_eq!(records.holder("s1"), None);
}
