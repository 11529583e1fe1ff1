//! HTTP calls to servers for orders and reports, on a connection pool of their own.

use crate::gateway::connections::connection::BodyChunk;
use crate::gateway::connections::pool::{ConnectionPool, PooledConnection};
use crate::gateway::connections::response::ResponseHead;
use crate::gateway::dialect::Dialect;
use crate::http1::body::BodyDecoder;
use crate::http1::bounds::MAX_REPORT_BYTES;
use actix_http::StatusCode;
use bytes::{Bytes, BytesMut};
use std::cell::OnceCell;
use std::io::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of connections per server.
const CONNECTIONS: usize = 2;

/// One call.
#[derive(Debug, Clone, Copy)]
pub(in crate::gateway) struct OrderCall<'a> {
    /// The intended server; another one at its address refuses the call.
    pub server: &'a Rc<str>,
    /// The server's address.
    pub address: SocketAddr,
    /// The HTTP method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The JSON body.
    pub body: &'a [u8],
    /// How long to wait for the response.
    pub timeout: Duration,
}

/// A complete response.
#[derive(Debug, Clone)]
pub(in crate::gateway) struct CallResponse {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// The result of a call.
#[derive(Debug, Clone)]
pub(in crate::gateway) enum CallOutcome {
    /// The server responded.
    Response(CallResponse),
    /// At least part of the call was sent, but no response arrived.
    NoResponse,
    /// Nothing was sent.
    NotSent,
}

/// Called with the head of each response and the id of the intended server.
pub(in crate::gateway) type ResponseHook = Box<dyn Fn(&str, &ResponseHead)>;

/// Makes calls to servers.
pub(in crate::gateway) struct OrderCalls {
    dialect: Rc<dyn Dialect>,
    pool: Rc<ConnectionPool>,
    response_hook: OnceCell<ResponseHook>,
}

impl OrderCalls {
    /// Creates a client without connections.
    pub fn new(dialect: Rc<dyn Dialect>, pool: ConnectionPool) -> Self {
        Self { dialect, pool: Rc::new(pool), response_hook: OnceCell::new() }
    }

    /// Sets the hook for response heads. Only the first call has an effect.
    pub fn set_response_hook(&self, hook: ResponseHook) {
        let _ = self.response_hook.set(hook);
    }

    /// Closes the connections to a removed server.
    pub fn forget(&self, server: &str) {
        self.pool.close_server(server);
    }

    /// Closes connections that can no longer be used.
    pub fn sweep(&self) {
        self.pool.close_unusable();
    }

    /// Makes one call. `still_allowed` is checked right before the first byte is sent.
    pub async fn call(
        &self,
        call: &OrderCall<'_>,
        still_allowed: impl Fn() -> bool,
    ) -> CallOutcome {
        let Ok(pooled) = self.pool.acquire(call.server, call.address, CONNECTIONS).await else {
            return CallOutcome::NotSent;
        };
        let bytes = self.encode(call);
        if !still_allowed() {
            pooled.release();
            return CallOutcome::NotSent;
        }
        let exchange = self.exchange(call.server, pooled, &bytes);
        match actix_rt::time::timeout(call.timeout, exchange).await {
            Ok(Some(response)) => CallOutcome::Response(response),
            Ok(None) | Err(_) => CallOutcome::NoResponse,
        }
    }

    fn encode(&self, call: &OrderCall<'_>) -> Vec<u8> {
        let OrderCall { server, address, method, path, body, .. } = call;
        let (name, value) = self.dialect.order_target(server);
        let mut bytes = Vec::with_capacity(256 + body.len());
        write!(
            bytes,
            "{method} {path} HTTP/1.1\r\nhost: {address}\r\n{name}: {value}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        )
        .expect("writing to memory does not fail");
        bytes.extend_from_slice(body);
        bytes
    }

    async fn exchange(
        &self,
        server: &str,
        mut pooled: PooledConnection,
        bytes: &[u8],
    ) -> Option<CallResponse> {
        pooled.connection().send(bytes).await.ok()?;
        let head: ResponseHead = pooled.read_head(&*self.dialect).await.ok()?;
        if let Some(hook) = self.response_hook.get() {
            hook(server, &head);
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        while let BodyChunk::Part(part) = pooled.read_chunk(&mut decoder).await.ok()? {
            body.extend_from_slice(&part);
            if body.len() > MAX_REPORT_BYTES {
                return None;
            }
        }
        let connection = pooled.connection();
        connection.response_complete();
        if !head.close && !connection.has_leftover() {
            connection.mark_idle(head.keep_alive);
            pooled.release();
        }
        Some(CallResponse { status: head.status, body: body.freeze() })
    }
}
