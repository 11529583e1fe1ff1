//! Who does duties for others.

use portrack::gateway::{Capabilities, DaemonInfo, Daemons};

fn daemon(last: u8) -> DaemonInfo {
    DaemonInfo {
        address: ([10, 0, 0, last], 7_000).into(),
        hall: "a".into(),
        capacity: 1,
        capabilities: Capabilities::OWN,
    }
}

/// A daemon that was being stopped went on as the granter of a server that named a limit, for its own requests, while all
/// others asked the next one.
#[test]
fn one_that_is_being_stopped_does_no_duty_while_others_can() {
    let who = |stopping, others: &[u8]| {
        let others = others.iter().map(|last| daemon(*last)).collect();
        let daemons = Daemons::eligible(daemon(1), stopping, others);
        let mut all: Vec<u8> = daemons
            .all()
            .map(|daemon| match daemon.address.ip() {
                std::net::IpAddr::V4(ip) => ip.octets()[3],
                std::net::IpAddr::V6(_) => 0,
            })
            .collect();
        all.sort();
        all
    };
    assert_eq!(who(false, &[2, 3]), [1, 2, 3]);
    assert_eq!(who(true, &[2, 3]), [2, 3]);
    assert_eq!(who(true, &[]), [1], "alone it serves what it has");
}

#[test]
fn who_keeps_limits_is_known_by_what_it_says() {
    let former = DaemonInfo { capabilities: Capabilities::default(), ..daemon(2) };
    let daemons = Daemons::eligible(daemon(1), false, vec![former.clone()]);
    assert!(daemons.enforces_limits(daemon(1).address));
    assert!(!daemons.enforces_limits(former.address));
    assert!(!daemons.enforces_limits(daemon(9).address), "unknown ones are not counted on");
}
