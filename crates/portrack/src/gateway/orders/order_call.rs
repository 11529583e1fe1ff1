//! Calls to servers about what they hold, on connections of their own.

use crate::gateway::connections::body::BodyDecoder;
use crate::gateway::connections::pool::{ConnectionPool, PooledConnection};
use crate::gateway::connections::response::ResponseHead;
use crate::gateway::dialect::Dialect;
use actix_http::StatusCode;
use bytes::{Bytes, BytesMut};
use std::cell::OnceCell;
use std::io::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Connections to one server for such calls.
const CONNECTIONS: usize = 2;

/// One call.
#[derive(Debug, Clone, Copy)]
pub(in crate::gateway) struct OrderCall<'a> {
    /// The server that is meant; another one at its address refuses.
    pub server: &'a Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// A JSON body.
    pub body: &'a [u8],
    /// The longest wait for the answer.
    pub patience: Duration,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub(in crate::gateway) struct CallAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// What became of a call.
#[derive(Debug, Clone)]
pub(in crate::gateway) enum Called {
    /// It was answered.
    Answer(CallAnswer),
    /// It was sent, at least in part.
    NoAnswer,
    /// Nothing of it was sent.
    NotSent,
}

/// Told of the head of each answer, with the server that was meant.
pub(in crate::gateway) type AnswerHeard = Box<dyn Fn(&str, &ResponseHead)>;

/// Makes calls.
pub(in crate::gateway) struct OrderCalls {
    dialect: Rc<dyn Dialect>,
    pool: Rc<ConnectionPool>,
    heard: OnceCell<AnswerHeard>,
}

impl OrderCalls {
    /// No connections yet.
    pub fn new(dialect: Rc<dyn Dialect>) -> Self {
        Self { dialect, pool: Rc::default(), heard: OnceCell::new() }
    }

    /// Has the head of each answer told from now on; the first one who asks hears.
    pub fn set_response_hook(&self, heard: AnswerHeard) {
        let _ = self.heard.set(heard);
    }

    /// Forgets a server that is gone.
    pub fn forget(&self, server: &str) {
        self.pool.close_server(server);
    }

    /// Closes connections that can no longer be used.
    pub fn sweep(&self) {
        self.pool.close_unusable();
    }

    /// Makes one call; `still` is asked right before the first byte leaves.
    pub async fn call(&self, call: &OrderCall<'_>, still: impl Fn() -> bool) -> Called {
        let Ok(pooled) = self.pool.acquire(call.server, call.address, CONNECTIONS).await else {
            return Called::NotSent;
        };
        let bytes = self.bytes(call);
        if !still() {
            pooled.release();
            return Called::NotSent;
        }
        let answering = self.answer(call.server, pooled, &bytes);
        match actix_rt::time::timeout(call.patience, answering).await {
            Ok(Some(answer)) => Called::Answer(answer),
            Ok(None) | Err(_) => Called::NoAnswer,
        }
    }

    fn bytes(&self, call: &OrderCall<'_>) -> Vec<u8> {
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

    async fn answer(
        &self,
        server: &str,
        mut pooled: PooledConnection,
        bytes: &[u8],
    ) -> Option<CallAnswer> {
        let connection = pooled.connection();
        connection.send(bytes).await.ok()?;
        let head: ResponseHead = connection.read_head(&*self.dialect).await.ok()?;
        if let Some(heard) = self.heard.get() {
            heard(server, &head);
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        while let Some(part) = connection.read_chunk(&mut decoder).await.ok()? {
            body.extend_from_slice(&part);
        }
        connection.response_complete();
        if !head.close && !connection.has_leftover() {
            connection.mark_idle(head.keep_alive);
            pooled.release();
        }
        Some(CallAnswer { status: head.status, body: body.freeze() })
    }
}
