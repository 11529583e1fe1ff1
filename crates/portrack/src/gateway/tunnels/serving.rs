//! Opens connections to servers for other daemons.

use super::copying::copy_tunnel;
use super::message::{TunnelReply, TunnelRequest};
use crate::gateway::connections::connection::ExchangeError;
use crate::gateway::connections::links::LinkFailure;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::store_sync::frames::write_frame;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum number of tunnels that a daemon carries: each takes two descriptors and 16 KB.
const MAX_TUNNELS: usize = 512;
/// Timeout for writing the reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts a tunnel until dropped.
struct CarriedTunnel<'a>(&'a GatewayDaemon);

impl<'a> CarriedTunnel<'a> {
    fn new(daemon: &'a GatewayDaemon) -> Self {
        daemon.metrics.carried_tunnels.inc();
        Self(daemon)
    }
}

impl Drop for CarriedTunnel<'_> {
    fn drop(&mut self) {
        self.0.metrics.carried_tunnels.dec();
    }
}

impl GatewayDaemon {
    /// Number of tunnels that this daemon carries.
    pub(in crate::gateway) fn carried_tunnels(&self) -> usize {
        usize::try_from(self.metrics.carried_tunnels.get()).unwrap_or(0)
    }

    /// Opens a connection to a server for another daemon and copies bytes until one side ends it.
    pub(in crate::gateway) async fn serve_tunnel(
        &self,
        mut peer: TcpStream,
        request: TunnelRequest,
    ) -> Option<()> {
        let _counted = CarriedTunnel::new(self);
        let pauses = self.pauses.check(self.now());
        let from = peer.peer_addr().ok()?;
        let connected = self.connect_for(from, &request).await;
        let reply = match &connected {
            Ok(_) if request.reads_frames => TunnelReply::OpenedFramed,
            Ok(_) => TunnelReply::Opened,
            Err(reply) => *reply,
        };
        let writing = write_frame(&mut peer, &reply);
        actix_rt::time::timeout(REPLY_TIMEOUT, writing).await.ok()??;
        let Ok(mut server) = connected else { return Some(()) };
        let _ = peer.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let opened_at = self.now();
        // After a pause the other daemon may have given up what it sent before.
        let may_forward = || self.pauses.check(self.now()) == pauses;
        let end = copy_tunnel(&mut peer, &mut server, request.reads_frames, may_forward).await;
        let took_ms = self.now().since(opened_at).as_millis() as u64;
        log::info!(server = &*request.server, from:% = from.ip(), end:? = end, took_ms = took_ms; "tunnel_closed");
        Some(())
    }

    async fn connect_for(
        &self,
        from: SocketAddr,
        request: &TunnelRequest,
    ) -> Result<TcpStream, TunnelReply> {
        let links = self.handler.pool.links();
        let is_known = self.peers.borrow().all().any(|peer| peer.ip() == from.ip());
        let declines = !is_known
            || self.stopping()
            || links.is_cut_off()
            || self.carried_tunnels() > MAX_TUNNELS;
        if declines {
            return Err(TunnelReply::Declined);
        }
        let server: Rc<str> = request.server.as_str().into();
        let address =
            self.open_server(&server, request.incarnation).ok_or(TunnelReply::Declined)?;
        if let Some(failure) = links.failure(&server) {
            return Err(TunnelReply::Unreachable { refused: failure == LinkFailure::Refused });
        }
        let connected = self.handler.pool.connect(&server, address).await;
        connected.map_err(|why| TunnelReply::Unreachable {
            refused: matches!(why, ExchangeError::NotConnected { refused: true, .. }),
        })
    }

    /// The address of a server if it accepts requests in this incarnation.
    fn open_server(&self, server: &Rc<str>, incarnation: u32) -> Option<SocketAddr> {
        let view = self.handler.view.borrow();
        let backend = view.backend(server)?;
        let accepts = view.accepts_requests(self.now(), server);
        (accepts && backend.incarnation_hash() == incarnation).then_some(backend.address)
    }
}
