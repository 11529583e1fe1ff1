//! What requests use, until the daemons that order the servers are told.

use crate::support::key;
use portrack::gateway::DemandLog;
use std::rc::Rc;

#[test]
fn what_begins_to_be_used_is_told_at_once_and_the_rest_in_turn() {
    let log = Rc::new(DemandLog::default());
    let server: Rc<str> = "s1".into();
    let first = log.begin(&server, &key("a1"));
    let second = log.begin(&server, &key("a1"));
    assert_eq!(log.take_begun(), [(server.clone(), key("a1"), 2)]);
    let third = log.begin(&server, &key("a1"));
    assert!(log.take_begun().is_empty(), "it ran already");
    assert_eq!(log.take_uses(), [(server.clone(), key("a1"), 1)]);
    drop((first, second));
    assert_eq!(log.take_uses(), [(server.clone(), key("a1"), 0)], "it runs still");
    drop(third);
    assert!(log.take_uses().is_empty());
    let _again = log.begin(&server, &key("a1"));
    assert_eq!(log.take_begun().len(), 1, "it was idle");
}
