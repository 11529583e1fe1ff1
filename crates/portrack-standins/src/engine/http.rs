//! The engine's HTTP interface.

use super::config::EngineConfig;
use super::record::EngineRecord;
use super::state::{EngineState, NewRequest, Rejection};
use super::step;
use super::stream::SharedStream;
use crate::expect::DEFAULT_TOKENS;
use crate::host::host;
use crate::weights::Weights;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use portrack::engine::{FenceAnswer, FenceOrder, LoadOrder, UnloadOrder};
use portrack::http::{self, Reply, headers, read_body};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Largest accepted request body, in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// A running stand-in engine.
pub struct Engine {
    address: SocketAddr,
    state: Rc<RefCell<EngineState>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Engine {
    /// Starts an engine that loads from `weights`.
    pub async fn start(config: EngineConfig, weights: Weights) -> std::io::Result<Self> {
        let requested = config.address;
        let state = Rc::new(RefCell::new(EngineState::new(config)));
        let shared = state.clone();
        let (address, listener) =
            host(requested, move |request| handle(shared.clone(), weights.clone(), request))
                .await?;
        let steps = actix_rt::spawn(step::run(state.clone()));
        Ok(Self { address, state, tasks: vec![listener, steps] })
    }

    /// `http://host:port`
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// A copy of the engine's record so far.
    pub fn record(&self) -> EngineRecord {
        self.state.borrow().record.clone()
    }

    /// The loaded adapters.
    pub fn loaded(&self) -> Vec<String> {
        self.state.borrow().loaded.iter().cloned().collect()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.state.borrow().running.len()
    }

    /// The highest fence accepted.
    pub fn fence(&self) -> u64 {
        self.state.borrow().fence
    }

    /// Restarts the engine; it comes back empty.
    pub fn restart(&self) {
        self.state.borrow_mut().restart();
    }

    /// Makes the next `count` loads fail.
    pub fn fail_loads(&self, count: usize) {
        self.state.borrow_mut().fail_loads = count;
    }

    /// Cuts the connections of the next `count` streams after the first chunk.
    pub fn break_streams(&self, count: usize) {
        self.state.borrow_mut().break_streams = count;
    }

    /// Sets whether the reported status says that the engine is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.borrow_mut().leaving = leaving;
    }

    /// Stops the listener and aborts all streams.
    pub fn stop(&self) {
        for task in &self.tasks {
            task.abort();
        }
        self.state.borrow_mut().restart();
    }
}

async fn handle(state: Rc<RefCell<EngineState>>, weights: Weights, mut request: Request) -> Reply {
    let path = request.path().to_owned();
    let fence = header_number(&request, headers::FENCE);
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/v1/status") => http::json(StatusCode::OK, &state.borrow().status()),
        (Method::POST, "/v1/fence") => match read_json::<FenceOrder>(&mut request).await {
            Ok(order) => raise_fence(&state, order.fence),
            Err(reply) => reply,
        },
        (Method::POST, "/v1/load_lora_adapter") => match read_json::<LoadOrder>(&mut request).await
        {
            Ok(order) => load(&state, &weights, &order.lora_name, fence).await,
            Err(reply) => reply,
        },
        (Method::POST, "/v1/unload_lora_adapter") => {
            match read_json::<UnloadOrder>(&mut request).await {
                Ok(order) => {
                    let done = state.borrow_mut().unload(&order.lora_name, fence);
                    order_reply(done)
                }
                Err(reply) => reply,
            }
        }
        (Method::POST, "/v1/chat/completions") => run(&state, true, &mut request).await,
        (Method::POST, "/v1/completions") => run(&state, false, &mut request).await,
        (Method::GET, _) if path.starts_with("/v1/streams/") => resume(&state, &path, &request),
        (Method::DELETE, _) if path.starts_with("/v1/streams/") => {
            let id = path.trim_start_matches("/v1/streams/");
            state.borrow_mut().end_request(id, false);
            http::json(StatusCode::OK, &json!({ "cancelled": id }))
        }
        _ => http::plain(StatusCode::NOT_FOUND, "no such call\n"),
    }
}

fn header_number(request: &Request, header: &str) -> u64 {
    let value = request.headers().get(header).and_then(|v| v.to_str().ok());
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}

async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Reply> {
    let bad = |why: String| http::plain(StatusCode::BAD_REQUEST, why);
    let bytes = read_body(request, MAX_BODY, Duration::from_secs(5)).await;
    let bytes = bytes.map_err(|refusal| bad(refusal.detail))?;
    serde_json::from_slice(&bytes).map_err(|e| bad(e.to_string()))
}

fn raise_fence(state: &Rc<RefCell<EngineState>>, fence: u64) -> Reply {
    let raised = state.borrow_mut().raise_fence(fence);
    match raised {
        Ok(()) => http::json(StatusCode::OK, &FenceAnswer { fence }),
        Err(fence) => http::json(StatusCode::CONFLICT, &FenceAnswer { fence }),
    }
}

async fn load(
    state: &Rc<RefCell<EngineState>>,
    weights: &Weights,
    adapter: &str,
    fence: u64,
) -> Reply {
    let started = state.borrow_mut().begin_load(adapter, fence);
    if started.is_err() {
        return order_reply(started);
    }
    let epoch = state.borrow().epoch;
    weights.load().await;
    let done = state.borrow_mut().end_load(adapter, epoch);
    order_reply(if done { Ok(()) } else { Err(None) })
}

fn order_reply(done: Result<(), Option<u64>>) -> Reply {
    match done {
        Ok(()) => http::plain(StatusCode::OK, "done\n"),
        Err(Some(fence)) => http::json(StatusCode::CONFLICT, &FenceAnswer { fence }),
        Err(None) => http::plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
    }
}

async fn run(state: &Rc<RefCell<EngineState>>, chat: bool, request: &mut Request) -> Reply {
    let id = request.headers().get(headers::REQUEST_ID).and_then(|v| v.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    let body: Value = match read_json(request).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let prompt = if chat { &body["messages"] } else { &body["prompt"] };
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS as u64);
    let new_request = NewRequest {
        id,
        model: body["model"].as_str().unwrap_or_default().to_owned(),
        prompt: prompt.to_string(),
        chat,
        tokens: usize::try_from(tokens).unwrap_or(DEFAULT_TOKENS),
    };
    let started = state.borrow_mut().start_request(new_request);
    match started {
        Ok(stream) => event_stream(state, stream, 0),
        Err(Rejection::NotLoaded) => {
            not_run_reply(StatusCode::NOT_FOUND, "the adapter is not loaded\n")
        }
        Err(Rejection::BatchFull) => {
            not_run_reply(StatusCode::SERVICE_UNAVAILABLE, "the batch is full\n")
        }
        Err(Rejection::DuplicateId) => {
            http::plain(StatusCode::CONFLICT, "a request with this id is running\n")
        }
    }
}

fn not_run_reply(status: StatusCode, why: &'static str) -> Reply {
    let mut builder = Response::build(status);
    builder.insert_header((headers::RUN, "no"));
    builder.body(why).map_into_boxed_body()
}

fn resume(state: &Rc<RefCell<EngineState>>, path: &str, request: &Request) -> Reply {
    let id = path.trim_start_matches("/v1/streams/");
    let after = request.headers().get("last-event-id").and_then(|v| v.to_str().ok());
    let from = after.and_then(|text| text.rsplit_once('/')).and_then(|(_, n)| n.parse().ok());
    let found = state.borrow().find_stream(id);
    match found {
        Some(stream) => event_stream(state, stream, from.unwrap_or(0)),
        None => http::plain(StatusCode::NOT_FOUND, "no such stream\n"),
    }
}

/// Streams the chunks from number `from` on as events, each with its id.
fn event_stream(state: &Rc<RefCell<EngineState>>, stream: SharedStream, from: usize) -> Reply {
    let cut = {
        let mut state = state.borrow_mut();
        let cut = state.break_streams > 0;
        state.break_streams = state.break_streams.saturating_sub(1);
        cut
    };
    let parts = futures_util::stream::unfold((stream, from), move |(stream, at)| async move {
        if cut && at > from {
            return Some((Err(std::io::Error::other("cut")), (stream, at)));
        }
        loop {
            if stream.aborted.get() {
                return Some((Err(std::io::Error::other("restarted")), (stream, at)));
            }
            let chunk = stream.chunks.borrow().get(at).cloned();
            if let Some(chunk) = chunk {
                let event = format!("id: {}/{at}\ndata: {chunk}\n\n", stream.id);
                return Some((Ok(Bytes::from(event)), (stream, at + 1)));
            }
            if stream.closed.get() {
                return None;
            }
            stream.updated.notified().await;
        }
    });
    http::events(parts)
}
