//! HTTP server that passes each request to a handler, on one thread.

use super::reply::Reply;
use crate::types::{Reason, Refusal};
use actix_http::{HttpService, Request};
use actix_rt::net::TcpListener;
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Handles a request.
pub trait Handler: Fn(Request) -> Self::Answer + Clone + 'static {
    /// The future of the response.
    type Answer: Future<Output = Reply> + 'static;
}

impl<F, A> Handler for F
where
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Reply> + 'static,
{
    type Answer = A;
}

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Timeout for receiving a request head.
    pub head: Duration,
    /// Time that an idle connection is kept open.
    pub keep_alive: Duration,
    /// Largest number of open connections; further ones wait in the system's queue.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(5),
            keep_alive: Duration::from_secs(30),
            connections: 4_096,
        }
    }
}

/// Pause before the next accept if all connections are in use or accepting failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves until the future is dropped. Connections that are open by then are served to their end.
pub async fn serve(listener: TcpListener, limits: Limits, handler: impl Handler) {
    let factory = HttpService::build()
        .keep_alive(limits.keep_alive)
        .client_request_timeout(limits.head)
        .finish(fn_service(move |request: Request| {
            let answer = handler(request);
            async move { Ok::<Reply, Infallible>(answer.await) }
        }))
        .tcp();
    let Ok(service) = factory.new_service(()).await else { return };
    let service = Rc::new(service);
    let open = Rc::new(Cell::new(0_usize));
    loop {
        if open.get() >= limits.connections {
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        }
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (service, open) = (service.clone(), open.clone());
        open.set(open.get() + 1);
        actix_rt::spawn(async move {
            let _ = service.call(stream).await;
            open.set(open.get() - 1);
        });
    }
}

/// Reads a request's body up to `limit` bytes, each part within `part_timeout`.
pub async fn read_body(
    request: &mut Request,
    limit: usize,
    part_timeout: Duration,
) -> Result<Bytes, Refusal> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    loop {
        let Ok(part) = actix_rt::time::timeout(part_timeout, payload.next()).await else {
            return Err(Refusal::not_run(Reason::BadRequest, "the body came too slowly"));
        };
        let Some(part) = part else { return Ok(body.freeze()) };
        let part = part.map_err(|e| {
            Refusal::not_run(Reason::BadRequest, format!("the body broke off: {e}"))
        })?;
        if body.len() + part.len() > limit {
            let detail = format!("the body exceeds {limit} bytes");
            return Err(Refusal::not_run(Reason::TooLarge, detail));
        }
        body.extend_from_slice(&part);
    }
}
