//! When a further copy of an adapter is fetched.

use portrack::gateway::is_copy_worthwhile;

#[test]
fn what_is_asked_for_now_and_then_gets_no_copy() {
    assert!(!is_copy_worthwhile(64, 60.0, 0.0, 1.0));
    assert!(is_copy_worthwhile(64, 60.0, 0.0, 6.0));
}

#[test]
fn a_server_with_free_slots_is_not_crowded() {
    assert!(!is_copy_worthwhile(64, 25.0, 0.0, 50.0));
    assert!(is_copy_worthwhile(12, 11.0, 0.0, 50.0), "the same in slots of a smaller server");
}

#[test]
fn where_all_are_as_crowded_a_copy_helps_nobody() {
    assert!(!is_copy_worthwhile(64, 60.0, 50.0, 50.0));
}
