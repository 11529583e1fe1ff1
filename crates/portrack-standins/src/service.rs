//! A stand-in plain service that counts how often each request ran.

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

/// Largest accepted request body, in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

#[derive(Default)]
struct State {
    /// Number of runs by request body.
    bodies: RefCell<BTreeMap<String, usize>>,
    /// Number of runs by idempotency key.
    keys: RefCell<BTreeMap<String, usize>>,
    delay: Cell<Duration>,
    drop_responses: Cell<usize>,
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
        let (address, task) = host(address, move |request| handle(shared.clone(), request)).await?;
        Ok(Self { address, state, task })
    }

    /// `http://host:port`
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// How often each non-empty request body ran.
    pub fn bodies(&self) -> BTreeMap<String, usize> {
        self.state.bodies.borrow().clone()
    }

    /// How often each idempotency key ran.
    pub fn keys(&self) -> BTreeMap<String, usize> {
        self.state.keys.borrow().clone()
    }

    /// Delays each response by this time. The request has run by then.
    pub fn set_delay(&self, delay: Duration) {
        self.state.delay.set(delay);
    }

    /// Runs the next `count` requests, but cuts their connections instead of responding.
    pub fn drop_responses(&self, count: usize) {
        self.state.drop_responses.set(count);
    }

    /// Stops the listener.
    pub fn stop(&self) {
        self.task.abort();
    }
}

async fn handle(state: Rc<State>, mut request: Request) -> Reply {
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
    if state.drop_responses.get() > 0 {
        state.drop_responses.set(state.drop_responses.get() - 1);
        let broken = Err(std::io::Error::other("lost"));
        return http::events(futures_util::stream::iter([Ok(Bytes::from_static(b"x")), broken]));
    }
    actix_rt::time::sleep(state.delay.get()).await;
    let path = request.path().to_owned();
    http::json(StatusCode::OK, &json!({ "path": path, "key": key, "echo": body }))
}
