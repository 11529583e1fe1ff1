//! Pool of keep-alive connections to backend servers.

use super::connection::{Connection, ExchangeError};
use super::connector::{Connector, TcpConnector};
use super::links::{LinkChange, ServerLinks};
use crate::types::{BootClock, Clock};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of idle connections per server.
const MAX_IDLE: usize = 24;

#[derive(Debug, Default)]
struct ServerPool {
    idle: Vec<Connection>,
    open: usize,
    /// Incremented when the server's connections are closed; connections acquired before are not reused.
    generation: u32,
}

/// Connections to all servers, by server id.
#[derive(Debug)]
pub struct ConnectionPool {
    connector: Rc<dyn Connector>,
    links: Rc<ServerLinks>,
    servers: RefCell<HashMap<Rc<str>, ServerPool>>,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::new(Rc::new(TcpConnector), Rc::default())
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

    /// Returns the connection to the pool for reuse.
    pub fn release(mut self) {
        let Some(connection) = self.connection.take() else { return };
        let mut servers = self.pool.servers.borrow_mut();
        let Some(server) = servers.get_mut(&self.server) else { return };
        if server.idle.len() < MAX_IDLE && server.generation == self.generation {
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
    /// The server could not be reached.
    Unreachable(ExchangeError),
}

impl ConnectionPool {
    /// Creates a pool without connections. The outcome of each attempt to connect is recorded in `links`.
    pub fn new(connector: Rc<dyn Connector>, links: Rc<ServerLinks>) -> Self {
        Self { connector, links, servers: RefCell::default() }
    }

    /// The links to the servers.
    pub fn links(&self) -> &ServerLinks {
        &self.links
    }

    /// Acquires a connection: a reusable idle one, or a new one if fewer than `max_open` are open.
    pub async fn acquire(
        self: &Rc<Self>,
        server: &Rc<str>,
        address: SocketAddr,
        max_open: usize,
    ) -> Result<PooledConnection, AcquireError> {
        if let Some(connection) = self.take_idle(server) {
            return Ok(self.checked_out(server, connection));
        }
        if !self.reserve(server, max_open) {
            return Err(AcquireError::Full);
        }
        let reservation = Reservation { pool: self, server, confirmed: false };
        let opened = self.open(server, address).await.map_err(AcquireError::Unreachable)?;
        reservation.confirm();
        Ok(self.checked_out(server, opened))
    }

    async fn open(
        &self,
        server: &Rc<str>,
        address: SocketAddr,
    ) -> Result<Connection, ExchangeError> {
        let opened = Connection::open(&*self.connector, address).await;
        let now = BootClock.now();
        let change = match &opened {
            Ok(_) => self.links.reached(now, server),
            Err(_) => self.links.failed(now, server),
        };
        let failing = self.links.failing_count();
        match (change, &opened) {
            (Some(LinkChange::Restored(after)), _) => {
                let after_ms = after.as_millis() as u64;
                log::info!(server = &**server, after_ms = after_ms, failing = failing; "server_link_restored");
            }
            (Some(LinkChange::Lost(reached)), Err(why)) => {
                let reached_ms = reached.map_or(-1, |reached| reached.as_millis() as i64);
                log::warn!(server = &**server, why:% = why, reached_ms = reached_ms, failing = failing; "server_link_lost");
            }
            (Some(LinkChange::Lost(_)), Ok(_)) | (None, _) => {}
        }
        opened
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

    fn take_idle(&self, server: &Rc<str>) -> Option<Connection> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(server)?;
        while let Some(connection) = server.idle.pop() {
            if connection.is_reusable() {
                return Some(connection);
            }
            server.open = server.open.saturating_sub(1);
        }
        None
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
        for server in servers.values_mut() {
            let before = server.idle.len();
            server.idle.retain(Connection::is_reusable);
            server.open = server.open.saturating_sub(before - server.idle.len());
        }
        servers.retain(|_, server| server.open > 0);
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
