//! A plain service that counts how often each request ran.

use crate::host::host;
use actix_http::{HttpMessage, Request, StatusCode};
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use portrack::http::{self, Reply, headers, read_body};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The largest body taken, in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

#[derive(Default)]
struct State {
    /// Runs of each body, and of each idempotency key.
    bodies: RefCell<BTreeMap<String, usize>>,
    keys: RefCell<BTreeMap<String, usize>>,
    delay: Cell<Duration>,
    lose_answers: Cell<usize>,
}

/// A running stand-in service.
pub struct PlainServer {
    address: SocketAddr,
    state: Rc<State>,
    task: JoinHandle<()>,
}

impl PlainServer {
    /// Starts a service on `address`.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Rc::new(State::default());
        let shared = state.clone();
        let (address, task) = host(address, move |request| answer(shared.clone(), request)).await?;
        Ok(Self { address, state, task })
    }

    /// `http://host:port`
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// How often each body that is not empty ran.
    pub fn bodies(&self) -> BTreeMap<String, usize> {
        self.state.bodies.borrow().clone()
    }

    /// How often each idempotency key ran.
    pub fn keys(&self) -> BTreeMap<String, usize> {
        self.state.keys.borrow().clone()
    }

    /// Waits this long before each answer, after the run.
    pub fn set_delay(&self, delay: Duration) {
        self.state.delay.set(delay);
    }

    /// Runs the next `count` requests and breaks their connections instead of answering.
    pub fn lose_answers(&self, count: usize) {
        self.state.lose_answers.set(count);
    }

    /// Ends it.
    pub fn stop(&self) {
        self.task.abort();
    }
}

async fn answer(state: Rc<State>, mut request: Request) -> Reply {
    let key = request.headers().get(headers::IDEMPOTENCY_KEY);
    let key = key.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let body = match read_body(&mut request, MAX_BODY, Duration::from_secs(5)).await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(refusal) => return http::plain(StatusCode::BAD_REQUEST, refusal.detail),
    };
    if let Some(key) = &key {
        *state.keys.borrow_mut().entry(key.clone()).or_default() += 1;
    }
    if !body.is_empty() {
        *state.bodies.borrow_mut().entry(body.clone()).or_default() += 1;
    }
    if state.lose_answers.get() > 0 {
        state.lose_answers.set(state.lose_answers.get() - 1);
        let broken = Err(std::io::Error::other("lost"));
        return http::events(futures_util::stream::iter([Ok(Bytes::from_static(b"x")), broken]));
    }
    actix_rt::time::sleep(state.delay.get()).await;
    let path = request.path().to_owned();
    http::json(StatusCode::OK, &json!({ "path": path, "key": key, "echo": body }))
}
