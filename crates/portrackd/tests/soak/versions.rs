//! Guards against requests that start on version 1 of an adapter, more than 13 s after version 2 was
//! accepted, when version 3 is announced, although all nodes are up and in touch with the store.
//! Servers keep outdated copies until their slot is needed, and an older version stays in use for about
//! a second after a newer one is announced. The announcement of version 3 must not start that second
//! anew for version 1 at nodes that know version 2. The fault shows in the `request` lines of those
//! nodes: held version 1, newest version 3, known for 55 ms, none demanded. Restarts do not cause the
//! fault; the test has them because users saw them in the same seconds.

use crate::callers::Callers;
use crate::fleet::Fleet;
use crate::invariants::{InvariantReport, served_after};
use portrack::gateway::log_field;
use std::time::{Duration, Instant};

const POPULAR: &str = "a1";

async fn pause(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

#[actix_rt::test]
async fn announcing_a_third_version_does_not_reactivate_the_first() {
    let mut fleet = Fleet::start("third-version", 3, 3).await;
    let callers = Callers::default();
    callers.start(1, 24, &fleet.callers());
    pause(2_000).await;
    fleet.announce_next_version(POPULAR);
    pause(2_500).await;
    fleet.kill(2);
    pause(500).await;
    fleet.start_daemon(2);
    pause(2_700).await;
    fleet.announce_next_version(POPULAR);
    pause(150).await;
    fleet.kill(1);
    pause(700).await;
    fleet.start_daemon(1);
    fleet.announce_next_version(POPULAR);
    let recovered_at = Instant::now() + Duration::from_millis(1_000);
    pause(2_500).await;
    let requests = callers.stop().await;
    let report = InvariantReport::of(&requests, &fleet.runs(), &fleet.announced_versions);
    for stale in report.stale_runs.iter().take(5) {
        let ms = stale.late.as_millis();
        println!(
            "version {} {ms} ms after version {}: {:?}",
            stale.run.version, stale.newer_version, stale.run
        );
        fleet.request_lines_for(&stale.run.request).iter().for_each(|line| println!("  {line}"));
    }
    println!("{:?}", report.outcomes);
    assert!(
        report.is_clean(),
        "{} requests on old versions, {:?} run twice, {:?} refused and run, {:?} wrong; logs in {}",
        report.stale_runs.len(),
        report.run_twice,
        report.run_although_refused,
        report.wrong_responses,
        fleet.folder().display()
    );
    assert!(served_after(&requests, recovered_at) > 0.9, "{:?}", report.outcomes);
    let versions: Vec<Versions> =
        fleet.request_lines().iter().filter_map(|line| Versions::read(line)).collect();
    let older = versions.iter().filter(|versions| versions.held < versions.newest).count();
    assert!(older > 0, "an older version stays in use for a while");
    let wrong = versions.iter().find(|versions| versions.held < versions.oldest);
    assert!(wrong.is_none(), "{wrong:?}");
}

/// The adapter versions in a `request` log line.
#[derive(Debug)]
struct Versions {
    held: u64,
    oldest: u64,
    newest: u64,
}

impl Versions {
    /// Parses a line; `None` if no version was announced or no server was selected.
    fn read(line: &str) -> Option<Self> {
        let number = |key| log_field(line, key)?.parse::<u64>().ok().filter(|number| *number > 0);
        let newest = number("newest_version")?;
        let held = number("held_version")?;
        Some(Self { held, oldest: number("oldest_version").unwrap_or(0), newest })
    }
}
