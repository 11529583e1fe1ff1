//! Refusals as problem details according to RFC 9457.

use super::headers;
use super::reply::Reply;
use crate::types::{Reason, Refusal};
use actix_http::{Response, StatusCode};
use serde::Serialize;

#[derive(Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    run: &'a str,
}

/// The status code of a reason.
pub fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::UnknownAdapter | Reason::NotFound => StatusCode::NOT_FOUND,
        Reason::NotAllowed => StatusCode::FORBIDDEN,
        Reason::DuplicateKey => StatusCode::CONFLICT,
        Reason::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        Reason::BackendRefused | Reason::BackendLost => StatusCode::BAD_GATEWAY,
        Reason::NoSettings
        | Reason::NoBackend
        | Reason::Deadline
        | Reason::LoadFailed
        | Reason::Stopping
        | Reason::KeyMemory => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the response for a refusal.
pub fn problem(refusal: &Refusal) -> Reply {
    let status = status_of(refusal.reason);
    let body = Problem {
        r#type: format!("urn:portrack:{}", refusal.reason.as_str()),
        title: refusal.reason.as_str(),
        status: status.as_u16(),
        detail: &refusal.detail,
        run: refusal.run.as_str(),
    };
    let body = serde_json::to_vec(&body).expect("a problem serialises to JSON");
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", "application/problem+json"));
    builder.insert_header((headers::RUN, refusal.run.as_str()));
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_millis().div_ceil(1_000).max(1);
        builder.insert_header(("retry-after", seconds.to_string()));
    }
    builder.body(body).map_into_boxed_body()
}
