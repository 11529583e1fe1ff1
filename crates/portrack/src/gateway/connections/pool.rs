//! Connections to backend servers, kept between requests.

use super::connection::{Connection, ExchangeError};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Idle connections kept to one server.
const IDLE_KEPT: usize = 24;

#[derive(Debug, Default)]
struct ServerPool {
    idle: Vec<Connection>,
    open: usize,
    /// How often the server was forgotten: connections lent before that are not kept.
    forgotten: u32,
}

/// Pools by the server's id.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    servers: RefCell<HashMap<Rc<str>, ServerPool>>,
}

/// A connection in use; gives its place back when dropped.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Rc<ConnectionPool>,
    server: Rc<str>,
    forgotten: u32,
    connection: Option<Connection>,
}

impl PooledConnection {
    /// The connection.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("lent until it is kept")
    }

    /// Puts the connection back for another request.
    pub fn release(mut self) {
        let Some(connection) = self.connection.take() else { return };
        let mut servers = self.pool.servers.borrow_mut();
        let Some(server) = servers.get_mut(&self.server) else { return };
        if server.idle.len() < IDLE_KEPT && server.forgotten == self.forgotten {
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

/// Why no connection was lent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcquireError {
    /// This daemon's share of the server's connections is in use.
    Full,
    /// The server could not be reached.
    Unreachable(ExchangeError),
}

impl ConnectionPool {
    /// Lends a connection: a clean idle one, or a new one if fewer than `most` are open.
    pub async fn acquire(
        self: &Rc<Self>,
        server: &Rc<str>,
        address: SocketAddr,
        most: usize,
    ) -> Result<PooledConnection, AcquireError> {
        if let Some(connection) = self.clean(server) {
            return Ok(self.lent(server, connection));
        }
        if !self.take_place(server, most) {
            return Err(AcquireError::Full);
        }
        let place = Place { pool: self, server, kept: false };
        let opened = Connection::open(address).await.map_err(AcquireError::Unreachable)?;
        place.keep();
        Ok(self.lent(server, opened))
    }

    fn lent(self: &Rc<Self>, server: &Rc<str>, connection: Connection) -> PooledConnection {
        let forgotten = self.servers.borrow().get(server).map_or(0, |pool| pool.forgotten);
        PooledConnection {
            pool: self.clone(),
            server: server.clone(),
            forgotten,
            connection: Some(connection),
        }
    }

    fn clean(&self, server: &Rc<str>) -> Option<Connection> {
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

    fn take_place(&self, server: &Rc<str>, most: usize) -> bool {
        let mut servers = self.servers.borrow_mut();
        let server = servers.entry(server.clone()).or_default();
        if server.open >= most.max(1) {
            return false;
        }
        server.open += 1;
        true
    }

    /// Closes idle connections that can no longer be used.
    pub fn close_unusable(&self) {
        let mut servers = self.servers.borrow_mut();
        for server in servers.values_mut() {
            let before = server.idle.len();
            server.idle.retain(Connection::is_reusable);
            server.open = server.open.saturating_sub(before - server.idle.len());
        }
        servers.retain(|_, server| server.open > 0);
    }

    /// Closes the idle connections to a server that is gone or has started again; those that are lent
    /// are closed when they come back.
    pub fn close_server(&self, server: &str) {
        let mut servers = self.servers.borrow_mut();
        let Some(pool) = servers.get_mut(server) else { return };
        let idle = pool.idle.len();
        pool.idle.clear();
        pool.forgotten += 1;
        pool.open = pool.open.saturating_sub(idle);
    }
}

/// A place taken for a connection that is coming up; given back unless kept.
struct Place<'a> {
    pool: &'a ConnectionPool,
    server: &'a Rc<str>,
    kept: bool,
}

impl Place<'_> {
    fn keep(mut self) {
        self.kept = true;
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.kept {
            return;
        }
        if let Some(server) = self.pool.servers.borrow_mut().get_mut(self.server) {
            server.open = server.open.saturating_sub(1);
        }
    }
}
