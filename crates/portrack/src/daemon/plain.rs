//! Forwards requests to plain services: routed by path, and sent at most once unless repeatable.

use super::callers::refuse;
use super::core::Core;
use super::key::ClaimedKey;
use crate::http::{Meta, Reply, certainly_not_sent, read_body};
use crate::http1::MalformedResponses;
use crate::http1::body::BodyEnd;
use crate::http1::checked::checked_connector;
use crate::router::BackendServer;
use crate::settings::PlainService;
use crate::types::{EngineName, InFlightGuard, Reason, Refusal, Run, ServiceName};
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Request, Response, StatusCode};
use awc::Client;
use awc::error::SendRequestError;
use bytes::Bytes;
use futures_util::StreamExt;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;

/// Largest pause between two parts of a caller's body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of servers tried for one request.
const MAX_SERVERS_TRIED: usize = 3;
/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// A request that is ready to be sent.
struct Forward {
    core: Rc<Core>,
    service: ServiceName,
    method: actix_http::Method,
    target: String,
    headers: HeaderMap,
    body: Bytes,
    repeatable: bool,
    timeout: Duration,
    _in_flight: InFlightGuard,
}

/// Why one attempt failed.
enum SendError {
    /// No byte was written to a connection.
    NotSent(String),
    /// The server may have run the request.
    Unknown(String),
}

/// Handles a request whose path belongs to a plain service.
pub async fn forward(
    core: Rc<Core>,
    name: ServiceName,
    service: PlainService,
    mut request: Request,
) -> Reply {
    let in_flight = core.in_flight.enter();
    let result = forward_inner(&core, name, service, &mut request, in_flight).await;
    let end = match &result {
        Ok(_) => "done",
        Err(refusal) if refusal.run == Run::No => "refused",
        Err(_) => "failed",
    };
    core.metrics.requests.with_label_values(&[end]).inc();
    result.unwrap_or_else(|refusal| refuse(&core, &refusal))
}

async fn forward_inner(
    core: &Rc<Core>,
    name: ServiceName,
    service: PlainService,
    request: &mut Request,
    in_flight: InFlightGuard,
) -> Result<Reply, Refusal> {
    let meta = Meta::parse(request.headers())?;
    let settings = core.effective(Some(name.as_str()));
    let body = read_body(request, settings.body_limit(), BODY_READ_TIMEOUT).await?;
    let method = request.method().clone();
    let repeatable = meta.repeatable.unwrap_or_else(|| service.is_repeatable(method.as_str()));
    let key = match (&meta.key, repeatable) {
        (Some(key), false) => Some(ClaimedKey::claim(core, name.as_str(), key).await?),
        _ => None,
    };
    core.retries.borrow_mut().record_request();
    let forward = Forward {
        core: core.clone(),
        service: name,
        method,
        target: request.uri().path_and_query().map_or("/", |p| p.as_str()).to_owned(),
        headers: forwarded_headers(request.headers()),
        body,
        repeatable,
        timeout: meta.deadline.unwrap_or_else(|| settings.deadline()),
        _in_flight: in_flight,
    };
    let result = forward.run(key.as_ref()).await;
    if let Some(key) = key {
        key.settle(core, result.as_ref().err().map(|refusal| refusal.run));
    }
    result
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::new();
    for (name, value) in headers.iter() {
        if !HOP_BY_HOP.contains(&name.as_str()) && name.as_str() != "host" {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

impl Forward {
    /// Tries servers in turn. Once a byte has been written, only a repeatable request is tried again.
    async fn run(&self, key: Option<&ClaimedKey>) -> Result<Reply, Refusal> {
        let mut tried: Vec<EngineName> = Vec::new();
        let mut last = Refusal::not_run(Reason::NoBackend, "no server of the service can be had");
        while tried.len() < MAX_SERVERS_TRIED {
            if let Err(stopping) = self.core.check_stop(Some(self.core.now() + self.timeout)) {
                return Err(if last.run == Run::No { stopping } else { last });
            }
            let Some(server) = self.choose(&tried) else { break };
            if let Some(key) = key {
                key.check(&self.core)?;
            }
            let (now, name) = (self.core.now(), server.name.clone());
            match self.send(&server).await {
                Ok(reply) => {
                    self.core.breakers.borrow_mut().success(&name);
                    return Ok(reply);
                }
                Err(SendError::NotSent(why)) => {
                    self.core.breakers.borrow_mut().failure(now, &name);
                    last = match last.run {
                        Run::No => Refusal::not_run(Reason::NoBackend, why),
                        Run::Unknown => last,
                    };
                }
                Err(SendError::Unknown(why)) => {
                    self.core.breakers.borrow_mut().failure(now, &name);
                    last = Refusal::unknown(Reason::BackendLost, why);
                    if !self.repeatable || !self.core.retries.borrow_mut().take() {
                        break;
                    }
                }
            }
            self.core.metrics.retries.with_label_values(&["service"]).inc();
            tried.push(name);
        }
        Err(match last.run {
            Run::No => last.after(Duration::from_secs(1)),
            Run::Unknown => last,
        })
    }

    /// Chooses a random usable server, of this hall if it has any untried server.
    fn choose(&self, tried: &[EngineName]) -> Option<BackendServer> {
        let node = self.core.node.borrow();
        let mut servers = node.view().service(&self.service);
        servers.retain(|server| !tried.contains(&server.name));
        let near = |server: &&BackendServer| server.hall == self.core.bootstrap.hall;
        if servers.iter().any(near) {
            servers.retain(near);
        }
        let names: Vec<EngineName> = servers.iter().map(|server| server.name.clone()).collect();
        let usable = self.core.breakers.borrow().usable(self.core.now(), &names);
        if usable.is_empty() {
            return None;
        }
        let chosen = &usable[rand::rng().random_range(0..usable.len())];
        servers.into_iter().find(|server| server.name == *chosen).cloned()
    }

    async fn send(&self, server: &BackendServer) -> Result<Reply, SendError> {
        let began = self.core.now();
        let url = format!("{}{}", server.address, self.target);
        let mut request =
            client(self.timeout, &self.core.malformed).request(self.method.clone(), url);
        for (name, value) in self.headers.iter() {
            request = request.insert_header((name.clone(), value.clone()));
        }
        let sent = request.send_body(self.body.clone()).await;
        let left = self.timeout.saturating_sub(self.core.now().since(began));
        let mut response = sent.map_err(send_error)?.timeout(left);
        let mut body = self.core.body_memory.collector();
        while let Some(part) = response.next().await {
            let part = part.map_err(|error| SendError::Unknown(error.to_string()))?;
            if !body.push(&part) {
                return Err(SendError::Unknown("response body too large".into()));
            }
        }
        let body = body.finish(BodyEnd::Stated);
        if self.is_retryable(response.status()) {
            return Err(SendError::Unknown(response.status().to_string()));
        }
        let mut builder = Response::build(response.status());
        for (name, value) in response.headers().iter() {
            if !HOP_BY_HOP.contains(&name.as_str()) {
                builder.append_header((name.clone(), value.clone()));
            }
        }
        Ok(builder.body(body).map_into_boxed_body())
    }

    fn is_retryable(&self, status: StatusCode) -> bool {
        let passing =
            [StatusCode::BAD_GATEWAY, StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT];
        self.repeatable && passing.contains(&status)
    }
}

/// Connections are never reused: if the server closes a reused connection, the client cannot tell
/// whether the request ran.
fn client(timeout: Duration, malformed: &MalformedResponses) -> Client {
    let connector = checked_connector(malformed.clone())
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(Duration::ZERO);
    Client::builder()
        .connector(connector)
        .timeout(timeout)
        .disable_redirects()
        .no_default_headers()
        .finish()
}

fn send_error(error: SendRequestError) -> SendError {
    let why = error.to_string();
    match certainly_not_sent(&error) {
        true => SendError::NotSent(why),
        false => SendError::Unknown(why),
    }
}
