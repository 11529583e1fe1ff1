//! Whose turn it is to claim a server.

use portrack::Time;
use portrack::gateway::{
    Candidates, ClaimRecord, ClaimTry, Claimant, Predecessor, SeenRecord, Vacancies,
};
use std::rc::Rc;

const ME: &str = "n1";
const MACHINE: &str = "n1|10.0.0.1:7000";

fn names(names: &[&str]) -> Vec<Rc<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

fn claimant(held: usize) -> Claimant<'static> {
    Claimant { name: ME, machine: MACHINE, held, share: 2 }
}

fn due(vacancies: &mut Vacancies, now: u64, able: &[&str], heard: &str) -> Vec<ClaimTry> {
    let candidates = Candidates { near: names(able), far: Vec::new() };
    vacancies.due(Time(now), claimant(0), |_| candidates.clone(), |machine| machine == heard)
}

fn vacant() -> Vacancies {
    let mut vacancies = Vacancies::default();
    vacancies.update(Time(1_000), &["s1".into()]);
    vacancies
}

fn seen(machine: &str, settled: bool, resigned: bool) -> Option<SeenRecord> {
    let record = ClaimRecord { machine: machine.into(), settled, resigned };
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
    vacancies.saw("s1", seen(MACHINE, true, false));
    let tries = due(&mut vacancies, 1_150, &["n0", "n2", "n3", ME], "");
    let [attempt] = &tries[..] else { panic!("one try") };
    assert_eq!((attempt.revision, attempt.before), (9, Predecessor::None));
}

#[test]
fn its_own_record_that_never_settled_still_has_to_be_waited_for() {
    let mut vacancies = vacant();
    vacancies.saw("s1", seen(MACHINE, false, false));
    let tries = due(&mut vacancies, 1_150, &[ME], "");
    assert_eq!(tries[0].before, Predecessor::Lapsed);
}

#[test]
fn another_machines_server_is_left_to_it_for_a_while_and_while_it_is_heard() {
    let mut vacancies = vacant();
    vacancies.saw("s1", seen("n2|10.0.0.2:7000", true, false));
    assert!(due(&mut vacancies, 3_000, &[ME], "").is_empty());
    assert!(due(&mut vacancies, 9_000, &[ME], "n2|10.0.0.2:7000").is_empty(), "it is heard");
    let tries = due(&mut vacancies, 9_000, &[ME], "");
    let [attempt] = &tries[..] else { panic!("one try") };
    assert_eq!(attempt.gone.as_deref(), Some("n2|10.0.0.2:7000"));
    assert_eq!(attempt.before, Predecessor::Lapsed);
}

#[test]
fn a_resigned_machine_is_not_waited_for_as_long() {
    let mut vacancies = vacant();
    vacancies.saw("s1", seen("n2|10.0.0.2:7000", true, true));
    let tries = due(&mut vacancies, 9_000, &[ME], "n2|10.0.0.2:7000");
    assert_eq!(tries[0].before, Predecessor::Resigned);
    assert_eq!(tries[0].gone, None);
}

#[test]
fn daemons_take_turns() {
    let all = ["n0", "n1", "n2", "n3"];
    let mut firsts = 0;
    for server in 0..20 {
        let mut vacancies = Vacancies::default();
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
    let candidates = Candidates { near: names(&["n7", "n8"]), far: names(&[ME]) };
    let mut vacancies = vacant();
    let mut tries =
        |now| vacancies.due(Time(now), claimant(0), |_| candidates.clone(), |_| false).len();
    assert_eq!(tries(1_150 + 2 * 1_200 - 1), 0, "two are given their turns");
    assert_eq!(tries(1_150 + 2 * 1_200), 1);
}

#[test]
fn a_daemon_that_has_its_share_leaves_others_a_turn() {
    let alone = || Candidates { near: names(&[ME]), far: Vec::new() };
    let mut vacancies = Vacancies::default();
    vacancies.update(Time(1_000), &names(&["s1", "s2", "s3", "s4"]));
    let mut tries = |now, held| vacancies.due(Time(now), claimant(held), |_| alone(), |_| false);
    assert_eq!(tries(1_200, 0).len(), 2, "its share of two");
    assert_eq!(tries(1_300, 2).len(), 0);
    assert_eq!(tries(2_400, 2).len(), 1, "nobody else came: one more a turn");
}

#[test]
fn a_restarted_machine_that_has_read_the_records_needs_no_try_to_learn_them() {
    let mut vacancies = Vacancies::default();
    vacancies.read(seen(MACHINE, true, false).map(|seen| ("s1".into(), seen)));
    vacancies.update(Time(1_000), &names(&["s1"]));
    let tries = vacancies.due(
        Time(1_150),
        claimant(9),
        |_| Candidates { near: names(&["n0", "n2", ME]), far: Vec::new() },
        |_| false,
    );
    let [attempt] = &tries[..] else { panic!("one try") };
    assert_eq!((attempt.revision, attempt.before), (9, Predecessor::None));
}
