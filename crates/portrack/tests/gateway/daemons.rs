//! Tests of the selection of daemons for tasks.

use portrack::gateway::{Capabilities, DaemonInfo, Daemons};

fn daemon(last: u8) -> DaemonInfo {
    DaemonInfo {
        address: ([10, 0, 0, last], 7_000).into(),
        hall: "a".into(),
        capacity: 1,
        capabilities: Capabilities::OWN,
    }
}

/// Guards against two granters for one server: a stopping daemon kept granting its own requests for
/// a server with a limit, while all other daemons had moved on to the next granter.
#[test]
fn a_stopping_daemon_is_not_eligible_while_others_are() {
    let eligible_daemons = |stopping, others: &[u8]| {
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
    assert_eq!(eligible_daemons(false, &[2, 3]), [1, 2, 3]);
    assert_eq!(eligible_daemons(true, &[2, 3]), [2, 3]);
    assert_eq!(eligible_daemons(true, &[]), [1], "the only daemon stays eligible");
}

#[test]
fn enforcement_of_limits_is_known_from_capabilities() {
    let older_build = DaemonInfo { capabilities: Capabilities::default(), ..daemon(2) };
    let daemons = Daemons::eligible(daemon(1), false, vec![older_build.clone()]);
    assert!(daemons.enforces_limits(daemon(1).address));
    assert!(!daemons.enforces_limits(older_build.address));
    assert!(!daemons.enforces_limits(daemon(9).address), "unknown daemons are not relied on");
}
