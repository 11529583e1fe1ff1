//! Answers that are spoilt or cut, at each client of the product's own interface: nothing of them is used.

mod common;

use common::{call, client, folder};
use portrack::engine::{EngineClient, OpenError};
use portrack::owner::{Order, OrderId, OrderKind, OrderResult};
use portrack::store::{Etcd, Kv, KvPut, NodeListClient};
use portrack::types::{Fence, ReservationId, Time};
use portrack_standins::heads::{self, Answer, BODY};
use portrack_standins::raw::{RawAnswer, RawRequest, RawServer, Then};
use portrack_standins::world::{SERVICE, World, WorldConfig};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A sound answer.
const SOUND: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

/// Size of a large body in bytes.
const LARGE: usize = 20 * 1024 * 1024;
/// Time in which a caller gets an answer: longer than the deadline of its request.
const NO_ANSWER_AFTER: Duration = Duration::from_millis(2_500);

/// Time in which the calls to one stand-in end.
const PLAYED_WITHIN: Duration = Duration::from_secs(10);

/// A daemon in front of one plain server whose answer to `/docks/spoilt` can be set.
struct PlainPath {
    world: World,
    server: RawServer,
    answer: Rc<RefCell<RawAnswer>>,
}

impl PlainPath {
    async fn start(name: &str) -> Self {
        let answer = Rc::new(RefCell::new((SOUND.into(), Then::KeepOpen)));
        let shared = answer.clone();
        let script = move |request: &RawRequest| match request.target.as_str() {
            "/docks/spoilt" => shared.borrow().clone(),
            _ => (SOUND.into(), Then::KeepOpen),
        };
        let server = RawServer::start(script).await.unwrap();
        let config = WorldConfig {
            daemons: vec![1],
            engines: vec![0],
            services: vec![0],
            ..WorldConfig::default()
        };
        let world = World::start(config, folder(name)).await.unwrap();
        let daemon = world.daemon("a1").members().to_string();
        world.nodes.set(json!({
            "servers": [{
                "name": "s0", "hall": "a", "region": "r1", "address": server.url(),
                "leaving": false, "kind": "service", "service": SERVICE,
            }],
            "daemons": [{ "node": "a1", "hall": "a", "region": "r1", "address": daemon }],
        }));
        let path = Self { world, server, answer };
        for _ in 0..200 {
            if path.ask("GET", "sound").await.0 == 200 {
                return path;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the daemon does not serve");
    }

    /// The status and body that a caller gets.
    async fn ask(&self, method: &str, target: &str) -> (u16, String) {
        let callers = self.world.daemon("a1").callers();
        let url = format!("http://{callers}/docks/{target}");
        let method = method.parse().unwrap();
        let request = client().request(method, url).insert_header(("portrack-deadline-ms", "1000"));
        let sending = request.timeout(NO_ANSWER_AFTER).send().await;
        let Ok(mut response) = sending else { return (0, "no answer".into()) };
        let body = response.body().limit(64 * 1024 * 1024).await.unwrap_or_default();
        (response.status().as_u16(), String::from_utf8_lossy(&body).into_owned())
    }

    /// What a caller gets when the server gives `answer`. A sound request after it keeps the server in use.
    async fn ask_for(&self, method: &str, answer: RawAnswer) -> (u16, String) {
        *self.answer.borrow_mut() = answer;
        let reply = self.ask(method, "spoilt").await;
        *self.answer.borrow_mut() = (SOUND.into(), Then::KeepOpen);
        assert_eq!(self.ask("GET", "sound").await, (200, "sound".into()));
        reply
    }
}

/// Whether a caller was told that its request may have run, and got nothing of an answer.
fn is_failure(reply: &(u16, String)) -> bool {
    let run = serde_json::from_str(&reply.1).map(|problem: Value| problem["run"].clone());
    reply.0 == 502 && run.is_ok_and(|run| run == "unknown")
}

#[actix_rt::test]
async fn a_spoilt_answer_of_a_plain_service_reaches_its_caller() {
    let path = PlainPath::start("spoilt").await;
    let mut found = Vec::new();
    for answer in heads::spoilt() {
        let reply = path.ask_for("POST", (answer.bytes(""), Then::KeepOpen)).await;
        if !is_failure(&reply) {
            found.push(format!("{}: {reply:?}", answer.what));
        }
    }
    assert!(
        found.is_empty(),
        "{} of {}:\n{}",
        found.len(),
        heads::spoilt().count(),
        found.join("\n")
    );
}

/// A cut body looks like one that the close of the connection ends.
#[actix_rt::test]
async fn a_cut_answer_of_a_plain_service_reaches_its_caller_as_a_whole_one() {
    let path = PlainPath::start("cut").await;
    let sized = "HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 10\r\n\r\n0123456789";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n";
    let unframed = "HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r\n0123456789";
    let mut found = Vec::new();
    for whole in [sized, chunked, unframed] {
        let ends = 1..whole.len() + usize::from(whole == unframed);
        for end in ends {
            let cut = whole.as_bytes()[..end].to_vec();
            let reply = path.ask_for("POST", (cut, Then::Close)).await;
            if !is_failure(&reply) {
                found.push(format!("{:?}: {reply:?}", &whole[..end]));
            }
        }
    }
    assert!(found.is_empty(), "{}:\n{}", found.len(), found.join("\n"));
}

/// The other error.
#[actix_rt::test]
async fn an_unusual_but_sound_answer_of_a_plain_service_breaks_for_its_caller() {
    let path = PlainPath::start("sound").await;
    for answer in heads::SOUND {
        let (status, body) = path.ask_for("POST", (answer.bytes(""), Then::KeepOpen)).await;
        assert!(matches!(status, 200 | 299) && body == BODY, "{}: {status} {body}", answer.what);
    }
    for (status, head) in [
        (204, "HTTP/1.1 204 No Content\r\nContent-Length: 10\r\n\r\n"),
        (304, "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n"),
        (200, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    ] {
        let reply = path.ask_for("POST", (head.into(), Then::KeepOpen)).await;
        assert_eq!(reply, (status, String::new()), "{head}");
    }
    for head in ["HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"] {
        let reply = path.ask_for("HEAD", (head.into(), Then::KeepOpen)).await;
        assert_eq!(reply, (200, String::new()), "{head}");
    }
    for status in [418, 500, 599] {
        let answer = format!("HTTP/1.1 {status} \r\nContent-Length: 1\r\n\r\nx");
        let reply = path.ask_for("POST", (answer.into_bytes(), Then::KeepOpen)).await;
        assert_eq!(reply, (status, "x".into()));
    }
    let large = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n{}", "x".repeat(LARGE));
    let (status, body) = path.ask_for("POST", (large.into_bytes(), Then::KeepOpen)).await;
    assert_eq!((status, body.len()), (200, LARGE));
    let expecting = client().post(format!("http://{}/docks/x", path.world.daemon("a1").callers()));
    let response = expecting.insert_header(("expect", "100-continue")).send_body("x").await;
    assert_eq!(
        response.unwrap().status(),
        200,
        "the body is there: the server is asked for nothing first"
    );
    assert!(path.server.connections() > 0);
}

/// What `play` finds wrong with each answer whose head is spoilt, one line each.
async fn findings(play: impl AsyncFn(&'static Answer) -> Option<String>) -> Vec<String> {
    let playing = heads::spoilt_heads().map(async |answer| {
        let played = actix_rt::time::timeout(PLAYED_WITHIN, play(answer)).await;
        let seen = played.unwrap_or_else(|_| Some("still waited for".into()));
        seen.map(|seen| format!("{}: {seen}", answer.what))
    });
    futures_util::future::join_all(playing).await.into_iter().flatten().collect()
}

/// A server that gives `answer` with this body to every request.
async fn server(answer: &Answer, body: &str) -> RawServer {
    let bytes = answer.bytes_with("", body.as_bytes());
    RawServer::start(move |_| (bytes.clone(), Then::KeepOpen)).await.unwrap()
}

const STATUS: &str =
    r#"{"epoch":1,"fence":3,"slots":2,"batch":8,"loaded":[],"loading":[],"running":[]}"#;

fn order() -> Order {
    Order {
        id: OrderId(1),
        fence: Fence(3),
        kind: OrderKind::Load,
        adapter: "ana@v1".parse().unwrap(),
    }
}

#[actix_rt::test]
async fn a_spoilt_answer_of_an_engine_is_believed() {
    let engines = EngineClient::default();
    let found = findings(async |answer| {
        let url = server(answer, STATUS).await.url();
        let rejecting = Answer { status_line: b"HTTP/1.1 503 Full", ..*answer };
        let rejecting = match answer.status_line {
            b"HTTP/1.1 200 OK" => rejecting.bytes_with("portrack-run: no\r\n", b"{}"),
            _ => answer.bytes_with("portrack-run: no\r\n", b"{}"),
        };
        let rejecting =
            RawServer::start(move |_| (rejecting.clone(), Then::KeepOpen)).await.unwrap();
        let believed = [
            ("status", engines.status(&url, Time(0)).await.is_some()),
            ("fence", engines.raise_fence(&url, Fence(3)).await.is_some()),
            ("order", engines.order(&url, &order(), "x").await != OrderResult::Unknown),
            ("cancel", engines.cancel(&url, ReservationId(7)).await),
            ("open", engines.open(&url, &call()).await.is_ok()),
            (
                "rejection",
                !matches!(
                    engines.open(&rejecting.url(), &call()).await,
                    Err(OpenError::Unknown { .. })
                ),
            ),
        ];
        let believed: Vec<&str> =
            believed.into_iter().filter(|(_, believed)| *believed).map(|(what, _)| what).collect();
        (!believed.is_empty()).then(|| format!("{believed:?}"))
    });
    let found = found.await;
    assert!(found.is_empty(), "{}:\n{}", found.len(), found.join("\n"));
}

#[actix_rt::test]
async fn a_sound_answer_of_an_engine_is_not_believed() {
    let engines = EngineClient::default();
    for answer in heads::SOUND.iter().filter(|answer| !answer.has_own_chunks()) {
        let url = server(answer, STATUS).await.url();
        assert!(engines.status(&url, Time(0)).await.is_some(), "{}", answer.what);
        let done = engines.order(&url, &order(), "x").await;
        assert_eq!(done, OrderResult::Done, "{}", answer.what);
    }
}

#[actix_rt::test]
async fn a_spoilt_answer_of_the_key_value_service_or_node_list_is_believed() {
    let range = r#"{"header":{"revision":"4"},"kvs":[]}"#;
    let put = r#"{"header":{"revision":"5"},"succeeded":true}"#;
    let found = findings(async |answer| {
        let listed = Etcd::new(server(answer, range).await.url()).list("a").await;
        let puts = || vec![KvPut { key: "a".into(), value: Vec::new() }];
        let swapped = Etcd::new(server(answer, put).await.url()).swap("a", 0, puts()).await;
        let list = server(answer, r#"{"servers":[],"daemons":[]}"#).await;
        let nodes = NodeListClient::new(list.url()).fetch().await;
        let is_believed = listed.is_ok() || swapped.is_ok() || nodes.is_ok();
        is_believed.then(|| format!("{listed:?} {swapped:?} {nodes:?}"))
    });
    let found = found.await;
    assert!(found.is_empty(), "{}:\n{}", found.len(), found.join("\n"));
    for answer in heads::SOUND.iter().filter(|answer| !answer.has_own_chunks()) {
        let listed = Etcd::new(server(answer, range).await.url()).list("a").await;
        assert!(listed.is_ok(), "{}: {listed:?}", answer.what);
    }
}

/// A server that sends the head of an answer, a part of its body, and nothing more.
async fn silent_server() -> RawServer {
    let begun = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123";
    RawServer::start(|_| (begun.to_vec(), Then::KeepOpen)).await.unwrap()
}

#[actix_rt::test]
async fn a_server_that_falls_silent_within_its_answer_is_waited_for_without_end() {
    let path = PlainPath::start("silent").await;
    let begun = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123";
    let reply = path.ask_for("POST", (begun.to_vec(), Then::KeepOpen)).await;
    assert!(is_failure(&reply), "{reply:?}");
    let (url, engines) = (silent_server().await.url(), EngineClient::default());
    let rejecting = b"HTTP/1.1 503 Full\r\nportrack-run: no\r\nContent-Length: 10\r\n\r\n0123";
    let rejecting = RawServer::start(|_| (rejecting.to_vec(), Then::KeepOpen)).await.unwrap();
    let calls = async {
        assert!(engines.status(&url, Time(0)).await.is_none());
        assert!(Etcd::new(&url).list("a").await.is_err());
        assert!(NodeListClient::new(&url).fetch().await.is_err());
        assert!(engines.open(&rejecting.url(), &call()).await.is_err());
    };
    let ended = actix_rt::time::timeout(Duration::from_secs(30), calls).await;
    assert!(ended.is_ok(), "a call is still waited for");
}
