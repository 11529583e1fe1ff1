//! Opens TCP connections to servers.

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Opens connections from this node to servers.
pub trait Connector: Debug {
    /// Opens a connection. May wait forever if the server cannot be reached.
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>>;
}

/// Connects by the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        TcpStream::connect(address).boxed_local()
    }
}
