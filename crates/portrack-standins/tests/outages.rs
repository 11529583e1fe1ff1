//! Tests of real daemons on loopback while the platform or engines fail.

mod common;

use common::{complete, expected, one_hall, text, until, world};
use portrack_standins::kv::Fault;
use portrack_standins::world::{World, WorldConfig};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[actix_rt::test]
async fn a_daemon_started_during_an_outage_gets_settings_from_its_peers() {
    let mut world = world("peers", one_hall(2, 1)).await;
    world.kv.set_fault(Fault::Down);
    world.take_daemon("a2").halt();
    world.add_daemon("a", "a3").await;
    world.publish(&[]);
    let has_settings = || !world.daemon("a3").status().digest.starts_with("0000000000000000");
    until("the new daemon has settings", has_settings).await;
    let (status, answer) = complete(world.daemon("a3").callers(), "ana", "hello", 4).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(text(&answer), expected("ana@v1", "hello", 4));
}

#[actix_rt::test]
async fn a_daemon_without_settings_refuses_requests_as_not_run() {
    let config = WorldConfig { daemons: vec![0], ..one_hall(0, 1) };
    let mut world = World::start(config, common::folder("nosource")).await.unwrap();
    world.kv.set_fault(Fault::Down);
    world.add_daemon("a", "a1").await;
    let (status, problem) = complete(world.daemon("a1").callers(), "ana", "hello", 4).await;
    assert_eq!(status, 503);
    assert_eq!(problem["type"], "urn:portrack:no-settings");
    assert_eq!(problem["run"], "no");
}

#[actix_rt::test]
async fn warm_and_cold_requests_succeed_during_a_platform_outage() {
    let world = world("outage", one_hall(2, 1)).await;
    complete(world.daemon("a1").callers(), "ana", "warm up", 2).await;
    let revision = world.add_adapter("bea", "v1").await;
    assert!(world.settled(revision).await);
    world.kv.set_fault(Fault::Down);
    world.nodes.set_unavailable(true);
    for (model, prompt) in [("ana", "warm"), ("bea", "cold")] {
        let (status, answer) = complete(world.daemon("a2").callers(), model, prompt, 3).await;
        assert_eq!(status, 200, "{answer}");
        assert_eq!(text(&answer), expected(&format!("{model}@v1"), prompt, 3));
    }
}

#[actix_rt::test]
async fn engines_without_fences_are_served_under_a_lease() {
    let mut config = one_hall(2, 2);
    config.engine.checks_fence = false;
    let world = world("leases", config).await;
    for prompt in ["one", "two"] {
        let (status, answer) = complete(world.daemon("a1").callers(), "ana", prompt, 3).await;
        assert_eq!(status, 200, "{answer}");
    }
    let owners: usize = world
        .daemons
        .iter()
        .filter_map(|(_, d)| d.as_ref())
        .map(|d| d.status().owned.iter().filter(|owned| owned.serving).count())
        .sum();
    assert_eq!(owners, 2);
}

#[actix_rt::test]
async fn engines_without_fences_move_to_a_new_daemon() {
    let mut config = one_hall(1, 6);
    config.engine.checks_fence = false;
    let mut world = world("handover", config).await;
    world.add_daemon("a", "a2").await;
    world.publish(&[]);
    let serving = |daemon: &str| {
        let owned = world.daemon(daemon).status().owned;
        owned.iter().filter(|owned| owned.serving).count()
    };
    until("the new daemon has taken some engines over", || {
        serving("a2") > 0 && serving("a1") + serving("a2") == 6
    })
    .await;
}

#[actix_rt::test]
async fn a_broken_stream_is_resumed_at_its_engine() {
    let world = world("resume", one_hall(1, 1)).await;
    world.engines[0].1.break_streams(2);
    let (status, answer) = complete(world.daemon("a1").callers(), "ana", "long", 30).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(text(&answer), expected("ana@v1", "long", 30));
    assert_eq!(world.engines[0].1.record().runs.len(), 1);
}

#[actix_rt::test]
async fn a_failure_after_a_lost_attempt_is_not_reported_as_not_run() {
    let world = Rc::new(world("lost", one_hall(1, 1)).await);
    let client_world = world.clone();
    let request = actix_rt::spawn(async move {
        complete(client_world.daemon("a1").callers(), "ana", "lost", 5_000).await
    });
    until("the engine runs the request", || world.engines[0].1.running() == 1).await;
    world.engines[0].1.stop();
    let (status, problem) = request.await.unwrap();
    assert!(status.is_server_error(), "{problem}");
    assert_eq!(problem["run"], "unknown", "{problem}");
}

#[actix_rt::test]
async fn adapters_are_loaded_again_after_an_engine_restart() {
    let world = world("restart", one_hall(1, 1)).await;
    complete(world.daemon("a1").callers(), "ana", "one", 2).await;
    world.engines[0].1.restart();
    let (status, answer) = complete(world.daemon("a1").callers(), "ana", "two", 2).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(world.weights.loads(), 2);
}

#[actix_rt::test]
async fn a_failed_load_is_retried_on_another_engine() {
    let world = world("failing", one_hall(1, 2)).await;
    for (_, engine) in &world.engines {
        engine.fail_loads(1);
    }
    let mut statuses = Vec::new();
    for _ in 0..3 {
        let (status, _) = complete(world.daemon("a1").callers(), "ana", "try", 2).await;
        statuses.push(status.as_u16());
        actix_rt::time::sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
}

#[actix_rt::test]
async fn a_graceful_stop_finishes_running_requests() {
    let mut world = world("stop", one_hall(2, 1)).await;
    complete(world.daemon("a1").callers(), "ana", "warm up", 2).await;
    let stopping = world.take_daemon("a1");
    let callers = stopping.callers();
    let request = actix_rt::spawn(complete(callers, "ana", "long", 400));
    until("the engine runs the request", || world.engines[0].1.running() == 1).await;
    let left = stopping.stop().await;
    assert_eq!(left, 0);
    let (status, answer) = request.await.unwrap();
    assert_eq!(status, 200, "{answer}");
    assert_eq!(text(&answer), expected("ana@v1", "long", 400));
}

/// Guards against a request on a kept connection that a stopping daemon took shortly before its end, and cut.
#[actix_rt::test]
async fn a_request_that_may_outlast_a_stop_is_refused_on_a_kept_connection() {
    let mut world = world("late", one_hall(2, 1)).await;
    let revision = world.set("drain_s", 1).await;
    assert!(world.settled(revision).await, "the daemons did not settle in time");
    let stopping = world.take_daemon("a1");
    let callers = stopping.callers();
    let mut kept = KeptConnection::open(callers).await;
    assert_eq!(kept.unlock("first").await, 200);
    world.services[0].1.set_delay(Duration::from_millis(3_800));
    let running =
        actix_rt::spawn(async move { KeptConnection::open(callers).await.unlock("long").await });
    until("the service runs the request", || world.services[0].1.bodies().contains_key("long"))
        .await;
    world.services[0].1.set_delay(Duration::from_millis(2_000));
    let late = actix_rt::spawn(async move {
        actix_rt::time::sleep(Duration::from_millis(3_300)).await;
        kept.unlock("late").await
    });
    assert_eq!(stopping.stop().await, 0, "requests are left");
    assert_eq!((running.await.unwrap(), late.await.unwrap()), (200, 503));
    assert!(!world.services[0].1.bodies().contains_key("late"));
}

/// A caller's connection that stays open between requests.
struct KeptConnection(TcpStream);

impl KeptConnection {
    async fn open(daemon: SocketAddr) -> Self {
        Self(TcpStream::connect(daemon).await.unwrap())
    }

    /// Sends a request that must not be repeated, and returns the status of the answer.
    async fn unlock(&mut self, body: &str) -> u16 {
        let length = body.len();
        let request = format!(
            "POST /docks/unlock HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        self.0.write_all(request.as_bytes()).await.unwrap();
        let mut answer = vec![0; 4_096];
        let read = self.0.read(&mut answer).await.unwrap();
        let text = String::from_utf8_lossy(&answer[..read]).into_owned();
        text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}
