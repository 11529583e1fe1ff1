//! Parses the request headers of callers.

use super::headers;
use crate::types::{Class, Reason, Refusal};
use actix_http::header::HeaderMap;
use std::time::Duration;

/// Largest header value accepted, in bytes.
const MAX_TEXT: usize = 256;
/// Longest deadline accepted.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// The parsed headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Meta {
    /// The caller's id of the request.
    pub request_id: Option<String>,
    /// Time within which the request must start.
    pub deadline: Option<Duration>,
    /// The urgency class.
    pub class: Class,
    /// The service that the request belongs to.
    pub service: Option<String>,
    /// Whether it may be sent again; `None` if the caller does not specify it.
    pub repeatable: Option<bool>,
    /// The idempotency key.
    pub key: Option<String>,
}

impl Meta {
    /// Parses the headers, or returns which one is invalid.
    pub fn parse(map: &HeaderMap) -> Result<Self, Refusal> {
        let repeatable = match text(map, headers::REPEATABLE)?.as_deref() {
            None => None,
            Some("yes") => Some(true),
            Some("no") => Some(false),
            Some(other) => return Err(bad(headers::REPEATABLE, other, "yes or no")),
        };
        let class = match text(map, headers::CLASS)? {
            None => Class::default(),
            Some(value) => value
                .parse()
                .map_err(|()| bad(headers::CLASS, &value, "interactive or background"))?,
        };
        let deadline = match text(map, headers::DEADLINE)? {
            None => None,
            Some(value) => Some(deadline(&value)?),
        };
        Ok(Self {
            request_id: text(map, headers::REQUEST_ID)?,
            deadline,
            class,
            service: text(map, headers::SERVICE)?,
            repeatable,
            key: text(map, headers::IDEMPOTENCY_KEY)?,
        })
    }
}

fn deadline(value: &str) -> Result<Duration, Refusal> {
    let wanted = "a number of milliseconds from 1 to 3600000";
    let millis: u64 = value.parse().map_err(|_| bad(headers::DEADLINE, value, wanted))?;
    let deadline = Duration::from_millis(millis);
    match deadline.is_zero() || deadline > MAX_DEADLINE {
        true => Err(bad(headers::DEADLINE, value, wanted)),
        false => Ok(deadline),
    }
}

fn text(map: &HeaderMap, name: &str) -> Result<Option<String>, Refusal> {
    let Some(value) = map.get(name) else { return Ok(None) };
    let value = value.to_str().map_err(|_| bad(name, "?", "plain ASCII"))?.trim();
    if value.is_empty() || value.len() > MAX_TEXT {
        return Err(bad(name, value, "1 to 256 bytes"));
    }
    Ok(Some(value.to_owned()))
}

fn bad(name: &str, value: &str, wanted: &str) -> Refusal {
    let shown: String = value.chars().take(40).collect();
    Refusal::not_run(Reason::BadRequest, format!("header {name}: {shown:?} is not {wanted}"))
}
