//! HTTP responses.

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::Stream;

/// The body of a response.
pub type ReplyBody = BoxBody;
/// A response.
pub type Reply = Response<ReplyBody>;

/// A JSON response.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Reply {
    let body = serde_json::to_vec(value).expect("responses have string keys only");
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", "application/json"));
    builder.body(body).map_into_boxed_body()
}

/// A plain text response.
pub fn plain(status: StatusCode, text: impl Into<String>) -> Reply {
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", "text/plain; charset=utf-8"));
    builder.body(text.into()).map_into_boxed_body()
}

/// A response of server-sent events.
pub fn events(stream: impl Stream<Item = Result<Bytes, std::io::Error>> + 'static) -> Reply {
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header(("content-type", "text/event-stream"));
    builder.insert_header(("cache-control", "no-store"));
    builder.body(BodyStream::new(stream).boxed()).map_into_boxed_body()
}
