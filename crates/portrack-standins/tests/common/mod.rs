#![allow(dead_code, reason = "each test file uses only some of the helpers")]

//! Helpers for tests that run real daemons.

use awc::http::StatusCode;
use portrack::engine::{Call, Endpoint};
use portrack::types::{Class, Fence, ReservationId};
use portrack_standins::world::{World, WorldConfig};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Path of a temporary folder, separate for each test.
pub fn folder(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("portrack-{}-{name}", std::process::id()))
}

/// A world with the adapter `ana`, whose daemons know each other and own all engines.
pub async fn world(name: &str, config: WorldConfig) -> World {
    let world = World::start(config, folder(name)).await.unwrap();
    let revision = world.add_adapter("ana", "v1").await;
    assert!(world.settled(revision).await, "the daemons did not settle in time");
    world
}

/// Configuration of a single hall with this many daemons and engines.
pub fn one_hall(daemons: usize, engines: usize) -> WorldConfig {
    WorldConfig {
        daemons: vec![daemons],
        engines: vec![engines],
        services: vec![1],
        ..WorldConfig::default()
    }
}

/// A call to an engine.
pub fn call() -> Call {
    Call {
        endpoint: Endpoint::Text,
        id: ReservationId(7),
        adapter: "ana@v1".parse().unwrap(),
        class: Class::Interactive,
        fence: Fence(3),
        body: "{}".into(),
    }
}

pub fn client() -> awc::Client {
    awc::Client::builder().timeout(Duration::from_secs(30)).finish()
}

/// Requests a completion without streaming. Returns the status and the JSON body.
pub async fn complete(
    daemon: SocketAddr,
    model: &str,
    prompt: &str,
    tokens: usize,
) -> (StatusCode, Value) {
    let url = format!("http://{daemon}/v1/completions");
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens });
    let mut response = client().post(url).send_json(&body).await.unwrap();
    let status = response.status();
    let body = response.body().await.unwrap();
    (status, serde_json::from_slice(&body).unwrap())
}

/// The text of a completion.
pub fn text(answer: &Value) -> &str {
    answer["choices"][0]["text"].as_str().unwrap_or_default()
}

/// The stand-in engine's answer to a prompt.
pub fn expected(model: &str, prompt: &str, tokens: usize) -> String {
    portrack_standins::expect::answer(model, &json!(prompt).to_string(), tokens)
}

/// Waits up to 30 s until a condition holds. Panics with `what` if it does not.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..1_200 {
        if condition() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("timed out waiting until {what}");
}
