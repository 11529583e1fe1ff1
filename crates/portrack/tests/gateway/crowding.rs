//! When another copy of an adapter is worthwhile.

use portrack::gateway::is_copy_worthwhile;

#[test]
fn rarely_requested_adapter_gets_no_copy() {
    assert!(!is_copy_worthwhile(64, 60.0, 0.0, 1.0));
    assert!(is_copy_worthwhile(64, 60.0, 0.0, 6.0));
}

#[test]
fn server_with_free_slots_is_not_crowded() {
    assert!(!is_copy_worthwhile(64, 25.0, 0.0, 50.0));
    assert!(is_copy_worthwhile(12, 11.0, 0.0, 50.0), "the same share of a smaller server's slots");
}

#[test]
fn copy_is_not_worthwhile_if_all_servers_are_crowded() {
    assert!(!is_copy_worthwhile(64, 60.0, 50.0, 50.0));
}
