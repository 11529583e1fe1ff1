//! A stand-in server that answers with given bytes, whether or not they are an answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A request as it was received.
#[derive(Debug, Clone)]
pub struct RawRequest {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub target: String,
    /// Index of the connection that it came on, from 0.
    pub connection: usize,
}

/// What follows the bytes of an answer.
#[derive(Debug, Clone)]
pub enum Then {
    /// The connection stays open for the next request.
    KeepOpen,
    /// The connection is closed.
    Close,
    /// These bytes again and again until the client closes the connection.
    SendWithoutEnd(Vec<u8>),
}

/// The bytes of an answer and what follows them.
pub type RawAnswer = (Vec<u8>, Then);

type Script = Rc<dyn Fn(&RawRequest) -> RawAnswer>;

/// A running server; clones share its counters.
#[derive(Clone)]
pub struct RawServer {
    address: SocketAddr,
    connections: Rc<Cell<usize>>,
    sent_without_end: Rc<Cell<usize>>,
    closed_by_client: Rc<Cell<usize>>,
}

impl RawServer {
    /// Starts a server on a free loopback port.
    pub async fn start(
        script: impl Fn(&RawRequest) -> RawAnswer + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let server = Self {
            address: listener.local_addr()?,
            connections: Rc::default(),
            sent_without_end: Rc::default(),
            closed_by_client: Rc::default(),
        };
        let (running, script): (_, Script) = (server.clone(), Rc::new(script));
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = running.connections.replace(running.connections.get() + 1);
                let (server, script) = (running.clone(), script.clone());
                actix_rt::spawn(async move { server.serve(stream, connection, &script).await });
            }
        });
        Ok(server)
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `http://host:port`
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Number of connections so far.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Number of bytes that were sent without end.
    pub fn sent_without_end(&self) -> usize {
        self.sent_without_end.get()
    }

    /// Number of connections that the client closed while bytes were sent without end.
    pub fn closed_by_client(&self) -> usize {
        self.closed_by_client.get()
    }

    async fn serve(&self, mut stream: TcpStream, connection: usize, script: &Script) {
        let mut received = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut received, connection).await {
            let (bytes, then) = script(&request);
            if stream.write_all(&bytes).await.is_err() {
                return;
            }
            match then {
                Then::KeepOpen => {}
                Then::Close => return,
                Then::SendWithoutEnd(more) => {
                    while stream.write_all(&more).await.is_ok() {
                        self.sent_without_end.set(self.sent_without_end.get() + more.len());
                    }
                    self.closed_by_client.set(self.closed_by_client.get() + 1);
                    return;
                }
            }
        }
    }
}

/// Reads a request with its body; `None` once the connection is closed.
async fn read_request(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
    connection: usize,
) -> Option<RawRequest> {
    loop {
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..end]).into_owned();
            let length = end + 4 + content_length(&head);
            if received.len() >= length {
                received.drain(..length);
                let mut words = head.split(' ').map(str::to_owned);
                let (method, target) = (words.next()?, words.next()?);
                return Some(RawRequest { method, target, connection });
            }
        }
        if stream.read_buf(received).await.ok()? == 0 {
            return None;
        }
    }
}

fn content_length(head: &str) -> usize {
    let head = head.to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse().ok()).unwrap_or(0)
}
