//! Tests of idempotency keys with real daemons: a request must not run twice.

mod common;

use common::{client, one_hall, world};
use portrack::http::headers;
use portrack_standins::world::World;
use serde_json::Value;

/// Sends an unlock request with a key. Returns the status and the JSON body.
async fn unlock(world: &World, daemon: &str, key: &str) -> (u16, Value) {
    let url = format!("http://{}/docks/unlock", world.daemon(daemon).callers());
    let request = client().post(url).insert_header((headers::IDEMPOTENCY_KEY, key));
    let mut response = request.send_body(key.to_owned()).await.unwrap();
    let status = response.status().as_u16();
    let body = response.body().await.unwrap();
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

/// A world whose daemons accept keyed requests: sends new keys until the key memories are old
/// enough.
async fn world_accepting_keys(name: &str) -> World {
    let world = world(name, one_hall(2, 1)).await;
    world.set("key_window_s", 1).await;
    for round in 0..60 {
        let (status, _) = unlock(&world, "a1", &format!("try-{round}")).await;
        if status == 200 {
            return world;
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(500)).await;
    }
    panic!("keyed requests were never accepted");
}

fn runs(world: &World, key: &str) -> usize {
    world.services.iter().filter_map(|(_, service)| service.keys().get(key).copied()).sum()
}

#[actix_rt::test]
async fn a_key_sent_to_two_daemons_runs_once() {
    let world = world_accepting_keys("twice").await;
    for round in 0..10 {
        let key = format!("key-{round}");
        let (one, other) =
            futures_util::future::join(unlock(&world, "a1", &key), unlock(&world, "a2", &key))
                .await;
        assert_eq!(runs(&world, &key), 1, "{one:?} {other:?}");
        let statuses = [one.0, other.0];
        assert!(statuses.contains(&200) && statuses.contains(&409), "{statuses:?}");
    }
}

#[actix_rt::test]
async fn a_key_is_not_run_again_after_a_lost_response() {
    let world = world_accepting_keys("lostkey").await;
    world.services[0].1.drop_responses(1);
    let (status, problem) = unlock(&world, "a1", "lost").await;
    assert_eq!((status, &problem["run"]), (502, &Value::from("unknown")));
    let (status, problem) = unlock(&world, "a2", "lost").await;
    assert_eq!((status, &problem["run"]), (409, &Value::from("unknown")));
    assert_eq!(runs(&world, "lost"), 1);
}

#[actix_rt::test]
async fn a_key_can_be_reused_if_its_request_was_not_sent() {
    let world = world_accepting_keys("unsent").await;
    world.services[0].1.stop();
    let (status, problem) = unlock(&world, "a1", "unsent").await;
    assert_eq!((status, &problem["run"]), (503, &Value::from("no")), "{problem}");
    let (status, problem) = unlock(&world, "a1", "unsent").await;
    assert_eq!((status, &problem["run"]), (503, &Value::from("no")), "{problem}");
}

#[actix_rt::test]
async fn newly_started_daemons_refuse_keys_as_not_run() {
    let world = world("fresh", one_hall(2, 1)).await;
    let (status, problem) = unlock(&world, "a1", "early").await;
    assert_eq!((status, &problem["run"]), (503, &Value::from("no")));
    assert_eq!(problem["type"], "urn:portrack:key-memory");
    assert_eq!(runs(&world, "early"), 0);
}
