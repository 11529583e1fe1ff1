//! Bytes without end from servers of the product's own interface: a daemon holds little of them. The one test here has a
//! process of its own, whose memory it looks at.

mod common;

use common::{call, client, folder};
use portrack::engine::{ChunkStream, EngineClient, StreamError};
use portrack::store::{Etcd, Kv, NodeListClient};
use portrack::types::Time;
use portrack_standins::raw::{RawAnswer, RawRequest, RawServer, Then};
use portrack_standins::world::{SERVICE, World, WorldConfig};
use serde_json::json;
use std::time::Duration;

/// Requests at once.
const AT_ONCE: usize = 20;
/// What a process may hold more than before: half the memory of the smallest node.
const MOST_HELD_BYTES: usize = 128 * 1024 * 1024;
/// Time in which every call ends.
const ENDS_WITHIN: Duration = Duration::from_secs(20);

fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    let kilobytes: usize = line.trim().trim_end_matches(" kB").parse().unwrap();
    kilobytes * 1024
}

/// The most that is held more than before while `play` runs, and whether it ended in time.
async fn most_held(play: impl Future<Output = ()>) -> (usize, bool) {
    let before = resident_bytes();
    let mut most = 0;
    let looking = async {
        loop {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            most = most.max(resident_bytes().saturating_sub(before));
            if most > 4 * MOST_HELD_BYTES {
                return;
            }
        }
    };
    let ended = tokio::select! {
        () = looking => false,
        ended = actix_rt::time::timeout(ENDS_WITHIN, play) => ended.is_ok(),
    };
    (most, ended)
}

fn endless(before: &str, more: &str) -> RawAnswer {
    (before.into(), Then::SendWithoutEnd(more.repeat(16_384 / more.len()).into_bytes()))
}

/// Bytes without end in each part of an answer.
fn kinds() -> Vec<(&'static str, RawAnswer)> {
    let sized = "HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
    vec![
        ("no answer", endless("", "x")),
        ("a field", endless("HTTP/1.1 200 OK\r\nA: ", "x")),
        ("fields", endless("HTTP/1.1 200 OK\r\n", "A: b\r\n")),
        ("informational heads", endless("", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n")),
        ("a body with a length", endless(sized, "x")),
        ("a body without a length", endless("HTTP/1.1 200 OK\r\n\r\n", "x")),
        ("chunks", endless(chunked, &chunk)),
        ("a chunk size", endless(chunked, "0")),
        ("a trailer", endless(&format!("{chunked}0\r\nA: "), "x")),
        ("trailers", endless(&format!("{chunked}0\r\n"), "A: b\r\n")),
        ("an event", endless(&format!("{chunked}8\r\ndata: xx\r\n"), &chunk)),
    ]
}

async fn server(answer: &RawAnswer) -> RawServer {
    let answer = answer.clone();
    RawServer::start(move |_: &RawRequest| answer.clone()).await.unwrap()
}

/// A daemon whose plain servers give this answer.
async fn world(name: &str, answer: &RawAnswer) -> World {
    let config =
        WorldConfig { daemons: vec![1], engines: vec![0], services: vec![0], ..Default::default() };
    let world = World::start(config, folder(name)).await.unwrap();
    let daemon = world.daemon("a1").members().to_string();
    let mut servers = Vec::new();
    for n in 0..AT_ONCE {
        servers.push(json!({
            "name": format!("s{n}"), "hall": "a", "region": "r1",
            "address": server(answer).await.url(),
            "leaving": false, "kind": "service", "service": SERVICE,
        }));
    }
    world.nodes.set(json!({
        "servers": servers,
        "daemons": [{ "node": "a1", "hall": "a", "region": "r1", "address": daemon }],
    }));
    for _ in 0..100 {
        if !matches!(ask(&world, "50").await, 0 | 404 | 503) {
            return world;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the daemon does not know its servers");
}

async fn ask(world: &World, deadline: &str) -> u16 {
    let url = format!("http://{}/docks/x", world.daemon("a1").callers());
    let request = client().post(url).insert_header(("portrack-deadline-ms", deadline));
    request.send().await.map_or(0, |response| response.status().as_u16())
}

async fn next_chunk(stream: Result<ChunkStream, portrack::engine::OpenError>) {
    if let Ok(mut stream) = stream {
        let next = stream.next().await;
        assert!(matches!(next, Err(StreamError::Broken)), "{next:?}");
    }
}

#[actix_rt::test]
async fn bytes_without_end_fill_a_daemon() {
    let mut found = Vec::new();
    for (kind, answer) in kinds() {
        let world = world("endless", &answer).await;
        let asking = (0..AT_ONCE).map(|_| ask(&world, "4000"));
        let plain = async {
            let statuses = futures_util::future::join_all(asking).await;
            assert!(statuses.iter().all(|status| *status == 502), "{kind}: {statuses:?}");
        };
        let (held, ended) = most_held(plain).await;
        if held > MOST_HELD_BYTES || !ended {
            found.push(format!("plain service, {kind}: {} MB, ended {ended}", held >> 20));
        }
        drop(world);
        let server = server(&answer).await;
        let engines = EngineClient::default();
        let calls = async {
            let status = engines.status(&server.url(), Time(0)).await;
            assert!(status.is_none(), "{kind}");
            next_chunk(engines.open(&server.url(), &call()).await).await;
        };
        let (held, ended) = most_held(calls).await;
        if held > MOST_HELD_BYTES || !ended {
            found.push(format!("engine, {kind}: {} MB, ended {ended}", held >> 20));
        }
        let store = async {
            let store = Etcd::new(server.url());
            assert!(store.list("a").await.is_err(), "{kind}");
            let watched = store.watch("a", 1, Duration::from_secs(3)).await;
            assert!(!watched.is_ok_and(|entries| !entries.is_empty()), "{kind}");
            assert!(NodeListClient::new(server.url()).fetch().await.is_err(), "{kind}");
        };
        let (held, ended) = most_held(store).await;
        if held > MOST_HELD_BYTES || !ended {
            found.push(format!("key-value service, {kind}: {} MB, ended {ended}", held >> 20));
        }
    }
    assert!(found.is_empty(), "{}", found.join("\n"));
}
