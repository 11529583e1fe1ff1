//! Request handler of the listener for callers.

use super::completion::complete;
use super::core::Core;
use super::plain::forward;
use crate::engine::Endpoint;
use crate::http::{self, Reply, problem};
use crate::settings::PlainService;
use crate::types::{Reason, Refusal, ServiceName};
use actix_http::{Method, Request, StatusCode};
use serde_json::json;
use std::rc::Rc;

/// Handles a request from a caller.
pub async fn answer(core: Rc<Core>, request: Request) -> Reply {
    let path = request.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => complete(core, Endpoint::Chat, request).await,
        (&Method::POST, "/v1/completions") => complete(core, Endpoint::Text, request).await,
        (&Method::GET, "/v1/models") => models(&core),
        (&Method::GET, "/healthz") => http::plain(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&core),
        _ => match service_of(&core, &path) {
            Some((name, service)) => forward(core, name, service, request).await,
            None => {
                let detail = format!("nothing is served under {path}");
                refuse(&core, &Refusal::not_run(Reason::NotFound, detail))
            }
        },
    }
}

/// Counts a refusal and returns its response.
pub fn refuse(core: &Rc<Core>, refusal: &Refusal) -> Reply {
    let labels = [refusal.reason.as_str(), refusal.run.as_str()];
    core.metrics.refusals.with_label_values(&labels).inc();
    problem(refusal)
}

/// Returns the service with the longest path that matches.
fn service_of(core: &Rc<Core>, path: &str) -> Option<(ServiceName, PlainService)> {
    let book = core.book.borrow();
    let serving = book.services().iter().filter(|(_, service)| service.serves(path));
    let longest = serving.max_by_key(|(_, service)| service.path.len());
    longest.map(|(name, service)| (name.clone(), service.clone()))
}

fn models(core: &Rc<Core>) -> Reply {
    let book = core.book.borrow();
    let models = book.adapters().iter().flat_map(|(name, spec)| {
        spec.versions.keys().map(move |version| {
            json!({ "id": format!("{name}@{version}"), "object": "model",
                    "owned_by": "portrack", "parent": spec.base })
        })
    });
    let models: Vec<_> = models.collect();
    http::json(StatusCode::OK, &json!({ "object": "list", "data": models }))
}

/// Ready once settings are in force and until a stop begins.
fn ready(core: &Rc<Core>) -> Reply {
    let has_settings = !core.book.borrow().is_empty();
    match has_settings && core.ready.get() && !core.leaving.get() {
        true => http::plain(StatusCode::OK, "ready\n"),
        false => http::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}
