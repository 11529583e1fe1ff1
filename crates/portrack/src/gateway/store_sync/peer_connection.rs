//! Connections to other daemons for copies of the store.

use crate::gateway::daemon::GatewayDaemon;
use std::io::Result;
use std::net::SocketAddr;
use tokio::net::{TcpSocket, TcpStream};

impl GatewayDaemon {
    /// Connects to a peer, from this node's own address for that if it is set.
    pub(super) async fn connect_to_peer(&self, peer: SocketAddr) -> Result<TcpStream> {
        let Some(own) = self.settings.members_listen else {
            return TcpStream::connect(peer).await;
        };
        let socket = if own.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.bind(SocketAddr::new(own.ip(), 0))?;
        socket.connect(peer).await
    }
}
