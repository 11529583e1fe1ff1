//! Starts and stops a gateway daemon.

use crate::gateway::connections::connector::{Connector, TcpConnector};
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::dialect::Dialect;
use crate::gateway::fleet::incarnation::Incarnation;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::shutdown::{LAST_REPLIES_TIMEOUT, RELEASE_TIMEOUT, RESIGN_TIMEOUT};
use crate::gateway::store_sync::staleness::Staleness;
use crate::http::{Limits, plain, serve};
use crate::store::KvStore;
use crate::types::{Clock, Time};
use actix_http::{Request, StatusCode};
use actix_rt::net::TcpListener;
use snafu::{ResultExt, Snafu};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Interval between checks for running requests during a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between sweeps of expired state.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// An error that keeps a daemon from starting.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// A listener cannot be bound to its address.
    #[snafu(display("cannot listen on {what} address {address}: {source}"))]
    Listen {
        /// The name of the listener.
        what: &'static str,
        /// Its address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// A running daemon.
pub struct RunningGateway {
    daemon: Rc<GatewayDaemon>,
}

/// Binds the listeners and starts the tasks of a daemon.
pub async fn start_gateway(
    settings: GatewaySettings,
    clock: Rc<dyn Clock>,
    dialect: Rc<dyn Dialect>,
    store: Rc<dyn KvStore>,
) -> Result<RunningGateway, GatewayError> {
    start_gateway_with(settings, clock, dialect, store, Rc::new(TcpConnector)).await
}

/// Like [`start_gateway`], and connects to servers with the given connector.
pub async fn start_gateway_with(
    mut settings: GatewaySettings,
    clock: Rc<dyn Clock>,
    dialect: Rc<dyn Dialect>,
    store: Rc<dyn KvStore>,
    connector: Rc<dyn Connector>,
) -> Result<RunningGateway, GatewayError> {
    let (callers, bound) = listen("callers", settings.callers).await?;
    settings.callers = bound;
    let (readiness, bound) = listen("readiness", settings.readiness).await?;
    settings.readiness = bound;
    let (members, members_bound) =
        listen("members", settings.members_listen.unwrap_or(settings.members)).await?;
    if settings.members_listen.is_none() {
        settings.members = members_bound;
    }
    let metrics = match settings.metrics {
        Some(address) => Some(listen("metrics", address).await?.0),
        None => None,
    };
    let address = members_bound;
    let socket =
        UdpSocket::bind(address).await.context(ListenSnafu { what: "members", address })?;
    log::info!(
        node = settings.node.as_str(), hall = settings.hall.as_str(),
        callers:% = settings.callers, version = env!("CARGO_PKG_VERSION"); "start"
    );
    let incarnation = Incarnation::now();
    let daemon =
        GatewayDaemon::new(settings, clock, dialect, store, socket, incarnation, connector);
    let daemon = Rc::new(daemon);
    let weak_daemon = Rc::downgrade(&daemon);
    daemon.order_executor.set_response_hook(Box::new(move |server, head| {
        if let Some(daemon) = weak_daemon.upgrade() {
            daemon.on_call_answered(server, head);
        }
    }));
    actix_rt::spawn(daemon.clone().follow_store());
    actix_rt::spawn(daemon.clone().catch_up_from_peers());
    actix_rt::spawn(daemon.clone().serve_peers(members));
    actix_rt::spawn(daemon.clone().report_loads());
    actix_rt::spawn(daemon.clone().log_peers());
    actix_rt::spawn(daemon.clone().receive_datagrams());
    actix_rt::spawn(daemon.clone().run_quota_reports());
    actix_rt::spawn(daemon.clone().run_queue_timers());
    actix_rt::spawn(daemon.clone().run_held_request_records());
    actix_rt::spawn(daemon.clone().write_software_record());
    actix_rt::spawn(daemon.clone().send_heartbeats());
    actix_rt::spawn(daemon.clone().run_load_request_reports());
    actix_rt::spawn(daemon.clone().run_use_reports());
    actix_rt::spawn(daemon.clone().run_use_change_reports());
    actix_rt::spawn(daemon.clone().claim_servers());
    actix_rt::spawn(daemon.clone().renew_lease());
    actix_rt::spawn(daemon.clone().hold_retry_slack());
    actix_rt::spawn(daemon.clone().plan_steps());
    actix_rt::spawn(daemon.clone().run_evacuations());
    actix_rt::spawn(daemon.clone().run_leaving_updates());
    actix_rt::spawn(daemon.clone().probe_servers());
    actix_rt::spawn(daemon.clone().sweep());
    actix_rt::spawn(daemon.clone().accept_callers(callers));
    actix_rt::spawn(serve_readiness(daemon.clone(), readiness));
    if let Some(listener) = metrics {
        actix_rt::spawn(serve_metrics(daemon.clone(), listener));
    }
    Ok(RunningGateway { daemon })
}

/// Binds a listener and returns it with its address; port 0 is replaced by the port that the system
/// assigned.
async fn listen(
    what: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), GatewayError> {
    let listener = TcpListener::bind(address).await.context(ListenSnafu { what, address })?;
    let bound = listener.local_addr().context(ListenSnafu { what, address })?;
    Ok((listener, bound))
}

async fn serve_readiness(daemon: Rc<GatewayDaemon>, listener: TcpListener) {
    let answer = move |request: Request| {
        let daemon = daemon.clone();
        async move {
            let is_known_path = request.path() == daemon.dialect.readiness_path();
            let status = match (is_known_path, daemon.is_ready()) {
                (false, _) => StatusCode::NOT_FOUND,
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            };
            plain(status, "")
        }
    };
    serve(listener, Limits::default(), answer).await;
}

async fn serve_metrics(daemon: Rc<GatewayDaemon>, listener: TcpListener) {
    let answer = move |_request: Request| {
        let daemon = daemon.clone();
        async move { plain(StatusCode::OK, daemon.metrics.text()) }
    };
    serve(listener, Limits::default(), answer).await;
}

impl GatewayDaemon {
    /// True while the balancer should send new callers here. A daemon that has no proof fresh enough to
    /// accept keys is not ready, so that callers go to other daemons.
    pub fn is_ready(&self) -> bool {
        let view = self.handler.view.borrow();
        let can_serve = view
            .config()
            .is_some_and(|config| config.organisations.is_none() || self.handler.accepts_keys());
        !self.stopping() && can_serve
    }

    async fn sweep(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(SWEEP_INTERVAL).await;
            let now: Time = self.now();
            self.handler.pool.close_unusable();
            self.handler.pool.links().sweep(now);
            self.metrics.unreachable_servers.set(self.handler.pool.links().failing_count() as i64);
            self.order_executor.sweep();
            self.order_executor.planner.borrow_mut().sweep(now);
            self.handler.view.borrow_mut().adapter_locations.expire_notices(now);
            self.remove_stale_limits();
            self.metrics.in_flight.set(self.in_flight.count() as i64);
            self.check_proof();
        }
    }
}

impl GatewayDaemon {
    /// Whether nothing is left that a stop has to wait for.
    fn is_idle(&self) -> bool {
        self.receiving.count() == 0 && self.in_flight.count() == 0 && self.carried_tunnels() == 0
    }

    /// Drops the limits and backoffs of server incarnations that no longer exist.
    fn remove_stale_limits(&self) {
        let view = self.handler.view.borrow();
        let hashes: HashSet<u32> =
            view.backends().map(|backend| backend.incarnation_hash()).collect();
        self.handler.backpressure.retain(|server| hashes.contains(&server));
    }

    /// Waits until the last replies are written: to requests that the end of the wait has cut, or that arrived later.
    async fn wait_for_last_replies(&self) {
        let began = self.now();
        while self.in_flight.count() > 0 && self.now().since(began) < LAST_REPLIES_TIMEOUT {
            actix_rt::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

impl RunningGateway {
    /// The address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.daemon.settings.callers
    }

    /// The address of the readiness check.
    pub fn readiness(&self) -> SocketAddr {
        self.daemon.settings.readiness
    }

    /// The address for other daemons.
    pub fn members(&self) -> SocketAddr {
        self.daemon.settings.members
    }

    /// Upper bound on the age of the daemon's copy of the store.
    pub fn staleness(&self) -> Staleness {
        self.daemon.staleness()
    }

    /// Adds the address of another daemon to try.
    pub fn introduce(&self, peer: SocketAddr) {
        self.daemon.peers.borrow_mut().add_candidate(peer);
    }

    /// Stops the daemon: fails readiness checks at once, waits for running requests, and returns the
    /// number of requests that were not finished in time.
    pub async fn stop(self) -> usize {
        let daemon = &self.daemon;
        let began = daemon.now();
        let times = daemon.shutdown.begin();
        log::info!(in_flight = daemon.in_flight.count(); "stop_begun");
        daemon.beat();
        while daemon.now() < times.wait_ends_at() {
            if daemon.is_idle() && daemon.now() >= times.may_end_at() {
                break;
            }
            actix_rt::time::sleep(STOP_POLL_INTERVAL).await;
        }
        let cut = daemon.in_flight.count();
        daemon.shutdown.end_wait();
        if actix_rt::time::timeout(RESIGN_TIMEOUT, daemon.resign()).await.is_err() {
            log::warn!(after_ms = RESIGN_TIMEOUT.as_millis() as u64; "servers_not_given_up");
        }
        let released = actix_rt::time::timeout(RELEASE_TIMEOUT, daemon.release_retry_slack()).await;
        if released.is_err() {
            log::warn!(after_ms = RELEASE_TIMEOUT.as_millis() as u64; "retry_slack_not_released");
        }
        daemon.wait_for_last_replies().await;
        let left = cut.max(daemon.in_flight.count());
        log::info!(left = left, took_ms = daemon.now().since(began).as_millis() as u64; "stop");
        left
    }
}
