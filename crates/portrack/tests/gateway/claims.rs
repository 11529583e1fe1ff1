//! The right to send orders, with a simulated clock.

use crate::support::ms;
use portrack::Time;
use portrack::gateway::{Claims, Predecessor};
use std::rc::Rc;

const TTL_MS: u64 = 6_000;
const QUIET_MS: u64 = 3_000;

fn claimed(before: Predecessor) -> (Claims, Rc<str>) {
    let mut claims = Claims::new(ms(TTL_MS), ms(QUIET_MS));
    let server: Rc<str> = "s1".into();
    claims.set_lease(7, Time(1_000));
    claims.add(Time(1_050), &server, 40, before);
    (claims, server)
}

#[test]
fn orders_require_a_lease_and_a_claim() {
    let mut claims = Claims::new(ms(TTL_MS), ms(QUIET_MS));
    assert_eq!(claims.may_order(Time(10), "s1"), None);
    claims.add(Time(10), &"s1".into(), 4, Predecessor::None);
    assert_eq!(claims.may_order(Time(10), "s1"), None, "a claim without a lease");
    claims.set_lease(7, Time(10));
    assert_eq!(claims.may_order(Time(10), "s1"), Some(4));
    assert_eq!(claims.may_order(Time(10), "s2"), None, "another server");
}

#[test]
fn orders_stop_before_an_unrenewed_lease_can_have_expired() {
    let (claims, server) = claimed(Predecessor::None);
    assert_eq!(claims.may_order(Time(1_000 + TTL_MS - 251), &server), Some(40));
    assert_eq!(claims.may_order(Time(1_000 + TTL_MS - 250), &server), None);
    assert_eq!(claims.may_order(Time(1_000 + 10 * TTL_MS), &server), None, "after a long pause");
}

#[test]
fn a_renewal_extends_the_lease_from_its_send_time() {
    let (mut claims, server) = claimed(Predecessor::None);
    claims.extend_lease(7, Time(3_000));
    assert_eq!(claims.may_order(Time(3_000 + TTL_MS - 251), &server), Some(40));
    assert_eq!(claims.may_order(Time(3_000 + TTL_MS - 250), &server), None);
    claims.extend_lease(7, Time(2_000));
    assert_eq!(claims.may_order(Time(3_000 + TTL_MS - 251), &server), Some(40), "late reply");
    claims.extend_lease(6, Time(9_000));
    assert_eq!(claims.may_order(Time(9_000 + 100), &server), None, "another lease's renewal");
}

#[test]
fn a_lost_lease_stops_orders_and_keeps_the_claims() {
    let (mut claims, server) = claimed(Predecessor::None);
    claims.clear_lease();
    assert_eq!(claims.may_order(Time(1_100), &server), None);
    assert!(claims.contains(&server));
    claims.set_lease(8, Time(1_200));
    assert_eq!(claims.may_order(Time(1_300), &server), Some(40));
}

#[test]
fn a_successor_waits_for_the_predecessors_last_possible_order() {
    let (mut claims, server) = claimed(Predecessor::Resigned);
    let from = 1_050 + QUIET_MS + 200;
    assert_eq!(claims.may_order(Time(from - 1), &server), None);
    assert_eq!(claims.may_order(Time(from), &server), Some(40));

    claims.add(Time(1_050), &server, 41, Predecessor::Lapsed);
    let from = 1_050 + (TTL_MS - 250) + QUIET_MS + 200;
    claims.extend_lease(7, Time(from));
    assert_eq!(claims.may_order(Time(from - 1), &server), None);
    assert_eq!(claims.may_order(Time(from), &server), Some(41));
}

#[test]
fn a_removed_claim_does_not_allow_orders() {
    let (mut claims, server) = claimed(Predecessor::None);
    assert!(claims.remove(&server).is_some());
    assert_eq!(claims.may_order(Time(1_100), &server), None);
    assert!(claims.orderable(Time(1_100)).is_empty());
}

#[test]
fn a_lease_without_claims_is_dropped() {
    let (mut claims, server) = claimed(Predecessor::None);
    assert_eq!(claims.lease_in_use(Time(2_000)), Some(7));
    claims.remove(&server);
    assert_eq!(claims.lease_in_use(Time(2_000)), None);
    claims.add(Time(2_100), &server, 41, Predecessor::None);
    assert_eq!(claims.may_order(Time(2_100), &server), None, "orders need a new lease");
}
