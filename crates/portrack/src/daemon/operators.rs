//! Request handler of the listener for operators.

use super::core::Core;
use crate::http::{self, Limits, Reply, read_body};
use crate::settings::{Accepted, Change, ChangeError, KEYS, Operator, TreePath};
use crate::types::Refusal;
use actix_http::{HttpMessage, Method, Request, StatusCode};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Largest change accepted, in bytes.
const MAX_CHANGE: usize = 1024 * 1024;

/// Limits of the listener for operators.
pub fn limits() -> Limits {
    Limits { connections: 64, ..Limits::default() }
}

/// Handles a request from an operator.
pub async fn answer(core: Rc<Core>, mut request: Request) -> Reply {
    let header = request.headers().get("authorization").and_then(|v| v.to_str().ok());
    let Some(operator) = core.operators.identify(header) else {
        return error(StatusCode::UNAUTHORIZED, "a bearer token is needed");
    };
    let path = request.path().to_owned();
    let query = query(request.uri().query().unwrap_or_default());
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/status") => http::json(StatusCode::OK, &core.status()),
        (&Method::GET, "/v1/settings") => settings(&core, &query),
        (&Method::GET, "/v1/explain") => explain(&core, &query),
        (&Method::GET, "/v1/adapters") => adapters(&core),
        (&Method::GET, "/v1/services") => http::json(StatusCode::OK, core.book.borrow().services()),
        (&Method::GET, "/v1/audit") => audit(&core).await,
        (&Method::GET, "/metrics") => metrics(&core),
        (&Method::POST, "/v1/changes") => change(core, operator, &mut request).await,
        (&Method::POST, "/v1/drain") => {
            log::info!(operator = operator.name.as_str(); "drain-asked");
            core.leave();
            http::json(StatusCode::ACCEPTED, &json!({ "leaving": true }))
        }
        _ => error(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn error(status: StatusCode, what: &str) -> Reply {
    http::json(status, &json!({ "error": what }))
}

/// Parses query parameters. Settings paths need no escapes except `%2F` and `%3A`.
fn query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    let plain = |text: &str| {
        let text = text.replace("%2F", "/").replace("%2f", "/");
        text.replace("%3A", ":").replace("%3a", ":")
    };
    pairs.map(|(key, value)| (key.to_owned(), plain(value))).collect()
}

fn tree_path(query: &BTreeMap<String, String>) -> Result<TreePath, Reply> {
    let path = query.get("path").map_or("fleet", String::as_str);
    path.parse().map_err(|e| error(StatusCode::BAD_REQUEST, &format!("{path}: {e}")))
}

fn settings(core: &Rc<Core>, query: &BTreeMap<String, String>) -> Reply {
    let book = core.book.borrow();
    if !query.contains_key("path") {
        return http::json(StatusCode::OK, book.tree());
    }
    match tree_path(query) {
        Ok(path) => http::json(StatusCode::OK, &book.tree().get(&path)),
        Err(reply) => reply,
    }
}

fn explain(core: &Rc<Core>, query: &BTreeMap<String, String>) -> Reply {
    let path = match tree_path(query) {
        Ok(path) => path,
        Err(reply) => return reply,
    };
    let book = core.book.borrow();
    match query.get("key") {
        None => {
            let all = KEYS.iter().filter_map(|key| book.explain(&path, key.name));
            http::json(StatusCode::OK, &all.collect::<Vec<_>>())
        }
        Some(key) => match book.explain(&path, key) {
            Some(explained) => http::json(StatusCode::OK, &vec![explained]),
            None => error(StatusCode::NOT_FOUND, &format!("unknown key {key:?}")),
        },
    }
}

fn adapters(core: &Rc<Core>) -> Reply {
    http::json(StatusCode::OK, core.book.borrow().adapters())
}

async fn audit(core: &Rc<Core>) -> Reply {
    match core.store.trail().await {
        Ok(trail) => http::json(StatusCode::OK, &trail),
        Err(e) => error(StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
    }
}

fn metrics(core: &Rc<Core>) -> Reply {
    core.sample();
    http::plain(StatusCode::OK, core.metrics.text())
}

async fn change(core: Rc<Core>, operator: Operator, request: &mut Request) -> Reply {
    let body = match read_body(request, MAX_CHANGE, Duration::from_secs(10)).await {
        Ok(body) => body,
        Err(Refusal { detail, .. }) => return error(StatusCode::BAD_REQUEST, &detail),
    };
    let change: Change = match serde_json::from_slice(&body) {
        Ok(change) => change,
        Err(e) => return error(StatusCode::BAD_REQUEST, &format!("the change is malformed: {e}")),
    };
    let result = core.store.accept(&operator.name, core.unix_ms(), &change).await;
    log_change(&operator, &change, &result);
    match result {
        Ok(accepted) => {
            core.record_platform_response();
            core.refresh_soon();
            http::json(StatusCode::OK, &accepted)
        }
        Err(e) => rejected(&e),
    }
}

fn log_change(operator: &Operator, change: &Change, result: &Result<Accepted, ChangeError>) {
    let (who, what) = (operator.name.as_str(), change.edit.what());
    match result {
        Ok(accepted) => log::info!(
            operator = who, change:% = change.id, what = what.as_str(),
            revision = accepted.revision; "change-accepted"
        ),
        Err(e) => log::warn!(
            operator = who, change:% = change.id, what = what.as_str(), why:% = e;
            "change-refused"
        ),
    }
}

fn rejected(why: &ChangeError) -> Reply {
    let status = match why {
        ChangeError::Invalid { .. } => StatusCode::BAD_REQUEST,
        ChangeError::Conflict { .. } => StatusCode::CONFLICT,
        ChangeError::Unavailable | ChangeError::Busy => StatusCode::SERVICE_UNAVAILABLE,
        ChangeError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut body = json!({ "error": why.to_string() });
    if let ChangeError::Conflict { expected, found, by } = why {
        let found: Value = serde_json::from_str(found).unwrap_or_default();
        let expected: Value = serde_json::from_str(expected).unwrap_or_default();
        body["conflict"] = json!({ "expected": expected, "found": found, "by": by });
    }
    http::json(status, &body)
}
