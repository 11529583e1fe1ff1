//! Requests began on version 1 of an adapter more than 13 s after version 2 had been accepted, just
//! after version 3 was named. Nothing else was wrong: the nodes were up and in touch with the store.
//! A server still held version 1, since outdated copies stay until their place is needed. Version 2
//! was named, and for a second or so version 1 went on being used, as intended. Then nothing ran on it
//! until version 3 was named, which brought it back for a second at every node that had known version
//! 2 all along. The evidence is in the `request` lines of those nodes: held version 1, newest
//! version 3, known for 55 ms, none demanded. Restarts play no part; they are here because users saw
//! them in the same seconds.

use crate::callers::Callers;
use crate::fleet::Fleet;
use crate::judge::{Verdict, served_after};
use portrack::gateway::log_field;
use std::time::{Duration, Instant};

const POPULAR: &str = "a1";

async fn pause(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

#[actix_rt::test]
async fn a_third_version_does_not_bring_the_first_one_back() {
    let mut fleet = Fleet::start("third-version", 3, 3).await;
    let callers = Callers::default();
    callers.start(1, 24, &fleet.callers());
    pause(2_000).await;
    fleet.name_next(POPULAR);
    pause(2_500).await;
    fleet.kill(2);
    pause(500).await;
    fleet.start_daemon(2);
    pause(2_700).await;
    fleet.name_next(POPULAR);
    pause(150).await;
    fleet.kill(1);
    pause(700).await;
    fleet.start_daemon(1);
    fleet.name_next(POPULAR);
    let calm = Instant::now() + Duration::from_millis(1_000);
    pause(2_500).await;
    let asked = callers.stop().await;
    let verdict = Verdict::of(&asked, &fleet.runs(), &fleet.names);
    for old in verdict.old_versions.iter().take(5) {
        let ms = old.late.as_millis();
        println!("version {} {ms} ms after version {}: {:?}", old.run.version, old.newer, old.run);
        fleet.lines_of(&old.run.request).iter().for_each(|line| println!("  {line}"));
    }
    println!("{:?}", verdict.ends);
    assert!(
        verdict.is_clean(),
        "{} requests on old versions, {:?} twice, {:?} refused and run, {:?} wrong; logs in {}",
        verdict.old_versions.len(),
        verdict.twice,
        verdict.refused_and_run,
        verdict.wrong,
        fleet.folder().display()
    );
    assert!(served_after(&asked, calm) > 0.9, "{:?}", verdict.ends);
    let versions: Vec<Versions> =
        fleet.request_lines().iter().filter_map(|line| Versions::read(line)).collect();
    let older = versions.iter().filter(|versions| versions.held < versions.newest).count();
    assert!(older > 0, "an older version is used for a while");
    let wrong = versions.iter().find(|versions| versions.held < versions.oldest);
    assert!(wrong.is_none(), "{wrong:?}");
}

/// What a request's line says of the versions of its adapter.
#[derive(Debug)]
struct Versions {
    held: u64,
    oldest: u64,
    newest: u64,
}

impl Versions {
    /// Reads a line; `None` if no version was named or no server chosen.
    fn read(line: &str) -> Option<Self> {
        let number = |key| log_field(line, key)?.parse::<u64>().ok().filter(|number| *number > 0);
        let newest = number("newest_version")?;
        let held = number("held_version")?;
        Some(Self { held, oldest: number("oldest_version").unwrap_or(0), newest })
    }
}
