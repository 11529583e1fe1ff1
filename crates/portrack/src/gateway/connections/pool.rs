//! Pool of keep-alive connections to backend servers.

use super::connection::{BodyChunk, Connection, ConnectionRoute, ExchangeError, connect};
use super::connector::{Connector, TcpConnector};
use super::links::{LinkChange, LinkFailure, ServerLinks};
use super::response::ResponseHead;
use crate::gateway::dialect::Dialect;
use crate::http1::MalformedResponses;
use crate::http1::body::BodyDecoder;
use crate::http1::collected::BodyMemory;
use crate::types::{BootClock, Clock, Time};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;

/// Maximum number of idle connections per server.
const MAX_IDLE: usize = 24;

#[derive(Debug, Default)]
struct ServerPool {
    idle: Vec<Connection>,
    open: usize,
    /// Incremented when the server's connections are closed; connections acquired before are not reused.
    generation: u32,
}

impl ServerPool {
    /// Takes the idle connection used last of those that fit; closes those that cannot be reused.
    fn take_idle(&mut self, fits: impl Fn(&Connection) -> bool) -> Option<Connection> {
        while let Some(at) = self.idle.iter().rposition(&fits) {
            let connection = self.idle.remove(at);
            if connection.is_reusable() {
                return Some(connection);
            }
            self.open = self.open.saturating_sub(1);
        }
        None
    }

    /// Closes the idle connections that are not to be kept.
    fn retain_idle(&mut self, keep: impl Fn(&Connection) -> bool) {
        let before = self.idle.len();
        self.idle.retain(keep);
        self.open = self.open.saturating_sub(before - self.idle.len());
    }
}

/// Connections to all servers, by server id.
#[derive(Debug)]
pub struct ConnectionPool {
    connector: Rc<dyn Connector>,
    links: Rc<ServerLinks>,
    servers: RefCell<HashMap<Rc<str>, ServerPool>>,
    /// Daemons that are leaving: connections that lead through them are not used again.
    leaving_carriers: RefCell<HashSet<SocketAddr>>,
    body_memory: BodyMemory,
    malformed: MalformedResponses,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::new(Rc::new(TcpConnector), Rc::default(), MalformedResponses::default())
    }
}

/// A connection in use; closed on drop unless released.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Rc<ConnectionPool>,
    server: Rc<str>,
    generation: u32,
    connection: Option<Connection>,
}

impl PooledConnection {
    /// The connection.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a connection until it is released")
    }

    /// The daemon that the connection leads through; `None` if it is direct.
    pub fn carrier(&self) -> Option<SocketAddr> {
        self.connection.as_ref().and_then(Connection::carrier)
    }

    /// Counts the bodies that are collected from connections of the pool.
    pub fn body_memory(&self) -> &BodyMemory {
        &self.pool.body_memory
    }

    /// Reads the next response head, and records one that is malformed.
    pub async fn read_head(
        &mut self,
        dialect: &dyn Dialect,
    ) -> Result<ResponseHead, ExchangeError> {
        let head = self.connection().read_head(dialect).await;
        self.recorded(head)
    }

    /// Reads the next chunk of a body, or its end, and records one that is malformed.
    pub async fn read_chunk(&mut self, body: &mut BodyDecoder) -> Result<BodyChunk, ExchangeError> {
        let chunk = self.connection().read_chunk(body).await;
        self.recorded(chunk)
    }

    fn recorded<T>(&self, read: Result<T, ExchangeError>) -> Result<T, ExchangeError> {
        if let Err(ExchangeError::Malformed { source }) = &read {
            self.pool.malformed.record(&self.server, *source);
        }
        read
    }

    /// Returns the connection to the pool for reuse.
    pub fn release(mut self) {
        let Some(connection) = self.connection.take() else { return };
        let mut servers = self.pool.servers.borrow_mut();
        let Some(server) = servers.get_mut(&self.server) else { return };
        let ends_soon = connection.carrier().is_some_and(|carrier| self.pool.is_leaving(carrier));
        if server.idle.len() < MAX_IDLE && server.generation == self.generation && !ends_soon {
            server.idle.push(connection);
        } else {
            server.open = server.open.saturating_sub(1);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.connection.is_none() {
            return;
        }
        if let Some(server) = self.pool.servers.borrow_mut().get_mut(&self.server) {
            server.open = server.open.saturating_sub(1);
        }
    }
}

/// Reason why no connection could be acquired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcquireError {
    /// All connections of this daemon's share are in use.
    Full,
    /// The server could not be reached, also not from another daemon if there is one to ask.
    Unreachable(ExchangeError),
    /// The server could not be reached from here, and other daemons told nothing about it.
    NoPath(ExchangeError),
}

impl ConnectionPool {
    /// Creates a pool without connections. The outcome of each attempt to connect is recorded in `links`.
    pub fn new(
        connector: Rc<dyn Connector>,
        links: Rc<ServerLinks>,
        malformed: MalformedResponses,
    ) -> Self {
        let (servers, body_memory) = (RefCell::default(), BodyMemory::default());
        let leaving_carriers = RefCell::default();
        Self { connector, links, servers, leaving_carriers, body_memory, malformed }
    }

    /// The links to the servers.
    pub fn links(&self) -> &ServerLinks {
        &self.links
    }

    /// Acquires a direct connection: a reusable idle one, or a new one if fewer than `max_open` are open.
    pub async fn acquire(
        self: &Rc<Self>,
        server: &Rc<str>,
        address: SocketAddr,
        max_open: usize,
    ) -> Result<PooledConnection, AcquireError> {
        if let Some(idle) = self.take_idle(server, |idle| idle.carrier().is_none()) {
            return Ok(idle);
        }
        self.open_with(server, max_open, self.open_direct(server, address)).await
    }

    async fn open_direct(
        &self,
        server: &Rc<str>,
        address: SocketAddr,
    ) -> Result<Connection, AcquireError> {
        let stream = self.connect(server, address).await.map_err(AcquireError::Unreachable)?;
        Ok(Connection::over(stream, ConnectionRoute::Direct(self.links.contact())))
    }

    /// Opens a connection by `opening` if fewer than `max_open` are open.
    pub async fn open_with(
        self: &Rc<Self>,
        server: &Rc<str>,
        max_open: usize,
        opening: impl Future<Output = Result<Connection, AcquireError>>,
    ) -> Result<PooledConnection, AcquireError> {
        if !self.reserve(server, max_open) {
            return Err(AcquireError::Full);
        }
        let reservation = Reservation { pool: self, server, confirmed: false };
        let opened = opening.await?;
        reservation.confirm();
        Ok(self.checked_out(server, opened))
    }

    /// Connects to a server and records the outcome.
    pub async fn connect(
        &self,
        server: &Rc<str>,
        address: SocketAddr,
    ) -> Result<TcpStream, ExchangeError> {
        let connected = connect(&*self.connector, address).await;
        let now = BootClock.now();
        match &connected {
            Ok(_) => self.on_reached(now, server),
            Err(why) => self.on_failed(now, server, why),
        }
        connected
    }

    fn on_reached(&self, now: Time, server: &Rc<str>) {
        if let Some(LinkChange::Restored(after)) = self.links.reached(now, server) {
            let (after_ms, failing) = (after.as_millis() as u64, self.links.failing_count());
            log::info!(server = &**server, after_ms = after_ms, failing = failing; "server_link_restored");
        }
    }

    fn on_failed(&self, now: Time, server: &Rc<str>, why: &ExchangeError) {
        let failure = match why {
            ExchangeError::NotConnected { refused: true, .. } => LinkFailure::Refused,
            _ => LinkFailure::TimedOut,
        };
        if let Some(LinkChange::Lost(reached)) = self.links.failed(now, server, failure) {
            let reached_ms = reached.map_or(-1, |reached| reached.as_millis() as i64);
            let failing = self.links.failing_count();
            log::warn!(server = &**server, why:% = why, reached_ms = reached_ms, failing = failing; "server_link_lost");
        }
    }

    /// Tries to reach a server directly, and keeps the connection for the next request.
    pub async fn probe(self: Rc<Self>, server: Rc<str>, address: SocketAddr, max_open: usize) {
        let opening = self.open_direct(&server, address);
        if let Ok(connection) = self.open_with(&server, max_open, opening).await {
            connection.release();
        }
    }

    fn checked_out(self: &Rc<Self>, server: &Rc<str>, connection: Connection) -> PooledConnection {
        let generation = self.servers.borrow().get(server).map_or(0, |pool| pool.generation);
        PooledConnection {
            pool: self.clone(),
            server: server.clone(),
            generation,
            connection: Some(connection),
        }
    }

    /// Takes a reusable idle connection that `fits`.
    pub fn take_idle(
        self: &Rc<Self>,
        server: &Rc<str>,
        fits: impl Fn(&Connection) -> bool,
    ) -> Option<PooledConnection> {
        let connection = {
            let mut servers = self.servers.borrow_mut();
            servers.get_mut(server)?.take_idle(fits)?
        };
        Some(self.checked_out(server, connection))
    }

    fn reserve(&self, server: &Rc<str>, max_open: usize) -> bool {
        let mut servers = self.servers.borrow_mut();
        let server = servers.entry(server.clone()).or_default();
        if server.open >= max_open.max(1) {
            return false;
        }
        server.open += 1;
        true
    }

    /// Closes idle connections that can no longer be reused.
    pub fn close_unusable(&self) {
        let mut servers = self.servers.borrow_mut();
        servers.values_mut().for_each(|server| server.retain_idle(Connection::is_reusable));
        servers.retain(|_, server| server.open > 0);
    }

    /// Closes the idle connections that lead through a daemon which is leaving; those in use are closed when they are
    /// released.
    pub fn carrier_leaves(&self, carrier: SocketAddr) {
        self.leaving_carriers.borrow_mut().insert(carrier);
        let mut servers = self.servers.borrow_mut();
        let others = |idle: &Connection| idle.carrier() != Some(carrier);
        servers.values_mut().for_each(|server| server.retain_idle(others));
    }

    /// Records that a daemon is back after it left.
    pub fn carrier_returns(&self, carrier: SocketAddr) {
        self.leaving_carriers.borrow_mut().remove(&carrier);
    }

    fn is_leaving(&self, carrier: SocketAddr) -> bool {
        self.leaving_carriers.borrow().contains(&carrier)
    }

    /// Closes the idle connections to a server that was removed or has restarted; those in use are
    /// closed when they are released.
    pub fn close_server(&self, server: &str) {
        let mut servers = self.servers.borrow_mut();
        let Some(pool) = servers.get_mut(server) else { return };
        let idle = pool.idle.len();
        pool.idle.clear();
        pool.generation += 1;
        pool.open = pool.open.saturating_sub(idle);
    }
}

/// Counts a connection that is being opened; undone on drop unless confirmed.
struct Reservation<'a> {
    pool: &'a ConnectionPool,
    server: &'a Rc<str>,
    confirmed: bool,
}

impl Reservation<'_> {
    fn confirm(mut self) {
        self.confirmed = true;
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        if self.confirmed {
            return;
        }
        if let Some(server) = self.pool.servers.borrow_mut().get_mut(self.server) {
            server.open = server.open.saturating_sub(1);
        }
    }
}
