//! End-to-end tests: requests from a caller through a daemon to an engine or a plain service.

mod common;

use common::{client, folder};
use portrack_standins::expect;
use portrack_standins::world::{World, WorldConfig};
use serde_json::{Value, json};

#[actix_rt::test]
async fn a_cold_adapter_is_loaded_and_the_answer_is_streamed() {
    let world = World::start(WorldConfig::default(), folder("path")).await.unwrap();
    let revision = world.add_adapter("ana", "v1").await;
    assert!(world.settled(revision).await);

    let url = format!("http://{}/v1/completions", world.daemon("a1").callers());
    let body = json!({ "model": "ana", "prompt": "hello", "stream": true, "max_tokens": 5 });
    let mut response = client().post(&url).send_json(&body).await.unwrap();
    assert_eq!(response.status(), 200);
    let text = String::from_utf8(response.body().await.unwrap().to_vec()).unwrap();
    let chunks: Vec<&str> = text.lines().filter_map(|l| l.strip_prefix("data: ")).collect();
    assert_eq!(chunks.last(), Some(&"[DONE]"));
    let answer: String = chunks[..chunks.len() - 1]
        .iter()
        .map(|c| serde_json::from_str::<Value>(c).unwrap())
        .map(|c| c["choices"][0]["text"].as_str().unwrap().to_owned())
        .collect();
    assert_eq!(answer, expect::answer("ana@v1", "\"hello\"", 5));
    assert_eq!(world.weights.loads(), 1);
}

#[actix_rt::test]
async fn an_answer_without_streaming_is_assembled_from_its_chunks() {
    let world = World::start(WorldConfig::default(), folder("whole")).await.unwrap();
    let revision = world.add_adapter("bea", "v2").await;
    assert!(world.settled(revision).await);

    let url = format!("http://{}/v1/chat/completions", world.daemon("b1").callers());
    let messages = json!([{ "role": "user", "content": "hi" }]);
    let body = json!({ "model": "bea@v2", "messages": messages, "max_tokens": 3 });
    let mut response = client().post(&url).send_json(&body).await.unwrap();
    let answer: Value = response.json().await.unwrap();
    let text = answer["choices"][0]["message"]["content"].as_str().unwrap();
    assert_eq!(text, expect::answer("bea@v2", &messages.to_string(), 3));
}

#[actix_rt::test]
async fn a_non_repeatable_request_is_not_resent_after_a_lost_response() {
    let world = World::start(WorldConfig::default(), folder("unlock")).await.unwrap();
    let revision = world.add_adapter("cyd", "v1").await;
    assert!(world.settled(revision).await);
    for (_, service) in &world.services {
        service.drop_responses(1);
    }

    let url = format!("http://{}/docks/unlock", world.daemon("a1").callers());
    let mut response = client().post(&url).send_body("unlock 7").await.unwrap();
    let problem: Value = serde_json::from_slice(&response.body().await.unwrap()).unwrap();
    assert_eq!(problem["run"], "unknown", "{problem}");
    let runs: usize =
        world.services.iter().filter_map(|(_, s)| s.bodies().get("unlock 7").copied()).sum();
    assert_eq!(runs, 1);
}
