//! Connections for requests: direct ones where this daemon reaches the server, else through another daemon.

use super::carriers::Carriers;
use super::message::{TunnelReply, TunnelRequest};
use crate::gateway::connections::connection::{Connection, ConnectionRoute, ExchangeError};
use crate::gateway::connections::identity::{Identity, IdentityCheck};
use crate::gateway::connections::links::{PeerResult, Reachability};
use crate::gateway::connections::pool::{AcquireError, ConnectionPool, PooledConnection};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::store_sync::follower_feed::PeerRequest;
use crate::gateway::store_sync::frames::{read_frame, write_frame};
use crate::types::Clock;
use prometheus::IntCounterVec;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Delay between the close of a connection and a look whether its server runs. By then, the operating system has closed
/// all that a killed process had open: connections may go before the socket on which it listens.
pub(in crate::gateway) const LOOK_DELAY: Duration = Duration::from_millis(50);
/// How long another daemon may take to open a connection to a server.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);
/// Daemons asked for a server that is known to be out of reach from here.
const MAX_CARRIERS: usize = 2;
/// Direct connections on which a server is asked who it is: an idle one may end at that moment.
const DIRECT_CHECKS: usize = 2;
/// Daemons asked by a request whose direct attempt has just failed: the server may be down.
const FIRST_CARRIERS: usize = 1;

/// Opens connections to servers for requests.
pub struct ServerConnections {
    clock: Rc<dyn Clock>,
    pool: Rc<ConnectionPool>,
    carriers: Carriers,
    /// Counts attempts through other daemons by outcome.
    outcomes: IntCounterVec,
}

/// What other daemons told about a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerOpinion {
    /// One of them has reached it.
    Reached,
    /// None has reached it; the last one was refused, or not.
    Unreachable {
        /// The connection was refused.
        refused: bool,
    },
    /// None has told anything.
    Unknown,
    /// There is no daemon to ask.
    NobodyToAsk,
}

impl ServerConnections {
    /// Creates connections over a pool.
    pub fn new(
        clock: Rc<dyn Clock>,
        pool: Rc<ConnectionPool>,
        carriers: Carriers,
        outcomes: IntCounterVec,
    ) -> Self {
        Self { clock, pool, carriers, outcomes }
    }

    /// Acquires a connection to a server if fewer than `max_open` are open.
    pub async fn acquire(
        &self,
        backend: &Backend,
        max_open: usize,
    ) -> Result<PooledConnection, AcquireError> {
        let (id, address) = (&backend.id, backend.address);
        match self.pool.links().reachability(self.clock.now(), id) {
            Reachability::Direct => match self.pool.acquire(id, address, max_open).await {
                Err(AcquireError::Unreachable(why)) => {
                    Box::pin(self.acquire_tunnel(backend, max_open, FIRST_CARRIERS, why)).await
                }
                acquired => acquired,
            },
            Reachability::Tunnel => {
                let keeps = self.pool.links().keeps_connections(id);
                let fits = |idle: &Connection| keeps || idle.carrier().is_some();
                if let Some(idle) = self.pool.take_idle(id, fits) {
                    return Ok(idle);
                }
                let why = not_connected("no link");
                Box::pin(self.acquire_tunnel(backend, max_open, MAX_CARRIERS, why)).await
            }
            Reachability::Unreachable => {
                Err(AcquireError::Unreachable(not_connected("no daemon reaches it")))
            }
        }
    }

    async fn acquire_tunnel(
        &self,
        backend: &Backend,
        max_open: usize,
        max_carriers: usize,
        why: ExchangeError,
    ) -> Result<PooledConnection, AcquireError> {
        let opening = async {
            match self.open_tunnel(backend, max_carriers).await {
                Ok(connection) => Ok(connection),
                Err(PeerOpinion::Unknown | PeerOpinion::Reached) => Err(AcquireError::NoPath(why)),
                Err(PeerOpinion::Unreachable { .. } | PeerOpinion::NobodyToAsk) => {
                    Err(AcquireError::Unreachable(why))
                }
            }
        };
        self.pool.open_with(&backend.id, max_open, opening).await
    }

    /// Whether nothing listens at a server's address, as seen from here and from another daemon: a link that
    /// refuses connections looks the same from one side. A server that cannot be reached may only be cut off.
    pub async fn refuses(&self, backend: &Backend) -> bool {
        let refused = match self.pool.acquire(&backend.id, backend.address, usize::MAX).await {
            Ok(pooled) => {
                pooled.release();
                false
            }
            Err(AcquireError::Unreachable(ExchangeError::NotConnected { refused, .. })) => refused,
            Err(_) => false,
        };
        if !refused {
            return false;
        }
        match self.peer_opinion(backend).await {
            PeerOpinion::Unreachable { refused } => refused,
            PeerOpinion::NobodyToAsk => true,
            PeerOpinion::Reached | PeerOpinion::Unknown => false,
        }
    }

    /// Whether something listens at a server's address, as seen from here or from another daemon.
    pub async fn reaches(&self, backend: &Backend) -> bool {
        let (id, now) = (&backend.id, self.clock.now());
        if self.pool.links().reachability(now, id) == Reachability::Direct
            && let Ok(pooled) = self.pool.acquire(id, backend.address, usize::MAX).await
        {
            pooled.release();
            return true;
        }
        self.peer_opinion(backend).await == PeerOpinion::Reached
    }

    /// Whether a server itself answers, on a connection from here or through another daemon.
    pub async fn answers(&self, backend: &Backend, check: &IdentityCheck<'_>) -> bool {
        for path in check.paths() {
            match self.ask_identity(backend, check, path).await {
                Some(Identity::Unnamed) => {}
                identity => return identity == Some(Identity::Confirmed),
            }
        }
        false
    }

    /// Who answers at a server's address; `None` if nobody does.
    async fn ask_identity(
        &self,
        backend: &Backend,
        check: &IdentityCheck<'_>,
        path: &str,
    ) -> Option<Identity> {
        let (id, now) = (&backend.id, self.clock.now());
        if self.pool.links().reachability(now, id) == Reachability::Direct {
            for _ in 0..DIRECT_CHECKS {
                let acquiring = self.pool.acquire(id, backend.address, usize::MAX);
                let Ok(mut pooled) = acquiring.await else { break };
                if let Ok(identity) = check.ask(pooled.connection(), path).await {
                    return Some(identity);
                }
            }
        }
        let mut connection = self.open_tunnel(backend, MAX_CARRIERS).await.ok()?;
        check.ask(&mut connection, path).await.ok()
    }

    /// Asks other daemons whether they reach a server.
    pub async fn peer_opinion(&self, backend: &Backend) -> PeerOpinion {
        match self.open_tunnel(backend, MAX_CARRIERS).await {
            Ok(_) => PeerOpinion::Reached,
            Err(opinion) => opinion,
        }
    }

    async fn open_tunnel(
        &self,
        backend: &Backend,
        max_carriers: usize,
    ) -> Result<Connection, PeerOpinion> {
        let mut tried = Vec::new();
        let mut opinion = PeerOpinion::NobodyToAsk;
        while tried.len() < max_carriers {
            let now = self.clock.now();
            let Some(carrier) = self.carriers.choose(now, &backend.hall, &tried) else { break };
            tried.push(carrier);
            let asking = actix_rt::time::timeout(OPEN_TIMEOUT, ask(carrier, backend)).await;
            let answer = asking.ok().flatten();
            let now = self.clock.now();
            self.count(answer.as_ref().map(|(reply, _)| *reply));
            match answer {
                Some((reply @ (TunnelReply::Opened | TunnelReply::OpenedFramed), stream)) => {
                    self.carriers.opened(now, carrier);
                    self.pool.links().on_peer_result(now, &backend.id, PeerResult::Reached);
                    let framed = reply == TunnelReply::OpenedFramed;
                    let route = ConnectionRoute::Tunnel { carrier, framed };
                    return Ok(Connection::over(stream, route));
                }
                Some((TunnelReply::Unreachable { refused }, _)) => {
                    self.pool.links().on_peer_result(now, &backend.id, PeerResult::Failed);
                    opinion = PeerOpinion::Unreachable { refused };
                }
                Some((TunnelReply::Declined, _)) | None => {
                    self.carriers.avoid(now, carrier);
                    if opinion == PeerOpinion::NobodyToAsk {
                        opinion = PeerOpinion::Unknown;
                    }
                }
            }
        }
        Err(opinion)
    }

    fn count(&self, reply: Option<TunnelReply>) {
        let outcome = match reply {
            Some(TunnelReply::Opened | TunnelReply::OpenedFramed) => "opened",
            Some(TunnelReply::Unreachable { .. }) => "unreachable",
            Some(TunnelReply::Declined) => "declined",
            None => "unanswered",
        };
        self.outcomes.with_label_values(&[outcome]).inc();
    }
}

async fn ask(carrier: SocketAddr, backend: &Backend) -> Option<(TunnelReply, TcpStream)> {
    let mut stream = TcpStream::connect(carrier).await.ok()?;
    let request = TunnelRequest {
        server: backend.id.to_string(),
        incarnation: backend.incarnation_hash(),
        reads_frames: true,
    };
    write_frame(&mut stream, &PeerRequest::Tunnel(request)).await?;
    let reply = read_frame(&mut stream, OPEN_TIMEOUT).await.ok()?;
    Some((reply, stream))
}

fn not_connected(why: &str) -> ExchangeError {
    ExchangeError::NotConnected { why: why.into(), refused: false }
}
