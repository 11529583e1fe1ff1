//! Tests of settings changes against the stand-in key-value service, with injected faults.

use portrack::audit::ChangeId;
use portrack::settings::{Change, ChangeError, Edit, Store, TreePath};
use portrack::store::Etcd;
use portrack_standins::kv::{Fault, KeyValue};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use todc_utils::specifications::Specification;
use todc_utils::{Action, History, WGLChecker};

async fn key_value() -> KeyValue {
    KeyValue::start(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap()
}

fn store(kv: &KeyValue) -> Store {
    Store::new(Rc::new(Etcd::new(kv.url())), "portrack/")
}

fn set(id: u128, value: u64, expected: Option<&str>) -> Change {
    let (path, key) = (TreePath::fleet(), "stall_weight".to_owned());
    Change {
        id: ChangeId(id),
        why: "test".into(),
        expected: expected.map(str::to_owned),
        edit: Edit::Set { path, key, value: Some(value) },
    }
}

#[actix_rt::test]
async fn a_change_with_a_lost_response_is_applied_once() {
    let kv = key_value().await;
    let store = store(&kv);
    kv.set_fault(Fault::DropWriteResponses);
    let accepted = store.accept("ann", 7, &set(1, 70, None)).await.unwrap();
    kv.set_fault(Fault::None);
    let again = store.accept("ann", 8, &set(1, 70, None)).await.unwrap();
    assert_eq!(accepted.revision, again.revision);
    assert_eq!(store.trail().await.unwrap(), [accepted.record]);
}

#[actix_rt::test]
async fn a_conflicting_change_reports_the_expected_and_found_values() {
    let kv = key_value().await;
    let (one, other) = (store(&kv), store(&kv));
    one.accept("ann", 1, &set(1, 70, Some("null"))).await.unwrap();
    let refused = other.accept("bob", 2, &set(2, 30, Some("null"))).await.unwrap_err();
    let (expected, found, by) = ("null".into(), "70".into(), "ann".into());
    assert_eq!(refused, ChangeError::Conflict { expected, found, by });
}

#[actix_rt::test]
async fn a_change_during_an_outage_is_not_applied() {
    let kv = key_value().await;
    let store = store(&kv);
    kv.set_fault(Fault::Down);
    let refused = store.accept("ann", 1, &set(1, 70, None)).await.unwrap_err();
    assert_eq!(refused, ChangeError::Unavailable);
    kv.set_fault(Fault::None);
    assert!(store.trail().await.unwrap().is_empty());
}

#[actix_rt::test]
async fn an_invalid_value_is_refused_with_its_path() {
    let kv = key_value().await;
    let why = store(&kv).accept("ann", 1, &set(1, 101, None)).await.unwrap_err().to_string();
    assert_eq!(why, "fleet: stall_weight must lie between 0 and 100 percent, not 101");
}

/// A compare-and-swap register, which is the guarantee that settings give for each value.
struct CasRegister;

#[derive(Debug, Clone, PartialEq, Eq)]
enum Op {
    Read(Option<u64>),
    Swap { from: Option<u64>, to: u64, done: bool },
}

impl Specification for CasRegister {
    type State = Option<u64>;
    type Operation = Op;

    fn init() -> Option<u64> {
        None
    }

    fn apply(operation: &Op, state: &Option<u64>) -> (bool, Option<u64>) {
        match operation {
            Op::Read(seen) => (seen == state, *state),
            Op::Swap { from, to, done: true } => (from == state, Some(*to)),
            Op::Swap { from, done: false, .. } => (from != state, *state),
        }
    }
}

type Log = Rc<RefCell<Vec<(usize, Action<Op>)>>>;

async fn read(kv: &KeyValue) -> Option<u64> {
    actix_rt::task::yield_now().await;
    let entry = kv.get("portrack/settings/tree/fleet")?;
    let entry = portrack::settings::decode(&entry).unwrap();
    match entry.body {
        portrack::settings::EntryBody::Node { set, .. } => set.stall_weight,
        _ => None,
    }
}

async fn operator(process: usize, kv: Rc<KeyValue>, log: Log) {
    let store = store(&kv);
    for round in 0..6 {
        let call = Op::Read(None);
        log.borrow_mut().push((process, Action::Call(call)));
        let from = read(&kv).await;
        log.borrow_mut().push((process, Action::Response(Op::Read(from))));

        let to = (process * 10 + round) as u64;
        let id = (process * 100 + round) as u128 + 1;
        let expected = from.map_or_else(|| "null".to_owned(), |from| from.to_string());
        let op = |done| Op::Swap { from, to, done };
        log.borrow_mut().push((process, Action::Call(op(true))));
        let result = store.accept("op", 1, &set(id, to, Some(&expected))).await;
        let done = match result {
            Ok(_) => true,
            Err(ChangeError::Conflict { .. }) => false,
            Err(other) => panic!("{other}"),
        };
        log.borrow_mut().push((process, Action::Response(op(done))));
    }
}

#[actix_rt::test]
async fn concurrent_changes_with_lost_answers_are_linearizable() {
    let kv = Rc::new(key_value().await);
    let log: Log = Rc::default();
    let operators: Vec<_> =
        (0..3).map(|process| actix_rt::spawn(operator(process, kv.clone(), log.clone()))).collect();
    for round in 0..20 {
        let fault = if round % 2 == 0 { Fault::DropWriteResponses } else { Fault::None };
        kv.set_fault(fault);
        actix_rt::time::sleep(Duration::from_millis(3)).await;
    }
    kv.set_fault(Fault::None);
    for operator in operators {
        operator.await.unwrap();
    }
    let actions = log.take();
    let swaps = actions
        .iter()
        .filter(|(_, action)| matches!(action, Action::Response(Op::Swap { done: true, .. })));
    assert!(swaps.count() > 3, "too few accepted changes for a meaningful check");
    let history = History::from_actions(actions);
    assert!(WGLChecker::<CasRegister>::is_linearizable(history));
}

#[test]
fn the_linearizability_check_rejects_an_invalid_history() {
    let op = Op::Swap { from: None, to: 1, done: true };
    let actions = vec![
        (0, Action::Call(op.clone())),
        (0, Action::Response(op)),
        (1, Action::Call(Op::Read(None))),
        (1, Action::Response(Op::Read(None))),
    ];
    let history = History::from_actions(actions);
    assert!(!WGLChecker::<CasRegister>::is_linearizable(history));
}
