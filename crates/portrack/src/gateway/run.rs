//! Starts and stops a gateway daemon.

use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::dialect::Dialect;
use crate::gateway::fleet::incarnation::Incarnation;
use crate::gateway::settings::GatewaySettings;
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

/// After a stop was asked for, idle connections are kept this long: by then the balancer sends no
/// new ones.
const IDLE_KEPT: Duration = Duration::from_millis(2_600);
/// Kept back of the time to stop.
const STOP_RESERVE: Duration = Duration::from_millis(700);
/// For giving up the servers at the end of a stop.
const RESIGN: Duration = Duration::from_millis(300);
/// Then for writing the refusals of requests that came meanwhile.
const REFUSED_WITHIN: Duration = Duration::from_millis(200);
/// Between looks at what is still running.
const STOP_LOOK: Duration = Duration::from_millis(25);
/// Between sweeps of what is kept.
const SWEEP: Duration = Duration::from_millis(1_000);

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[snafu(display("{what} {address}: {source}"))]
    Listen {
        /// Which listener.
        what: &'static str,
        /// Its address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
}

/// A daemon that runs.
pub struct RunningGateway {
    daemon: Rc<GatewayDaemon>,
}

/// Starts a daemon.
pub async fn start_gateway(
    mut settings: GatewaySettings,
    clock: Rc<dyn Clock>,
    dialect: Rc<dyn Dialect>,
    store: Rc<dyn KvStore>,
) -> Result<RunningGateway, GatewayError> {
    let (callers, bound) = listen("callers", settings.callers).await?;
    settings.callers = bound;
    let (readiness, bound) = listen("readiness", settings.readiness).await?;
    settings.readiness = bound;
    let (members, bound) = listen("members", settings.members).await?;
    settings.members = bound;
    let metrics = match settings.metrics {
        Some(address) => Some(listen("metrics", address).await?.0),
        None => None,
    };
    let address = settings.members;
    let socket =
        UdpSocket::bind(address).await.context(ListenSnafu { what: "members", address })?;
    log::info!(
        node = settings.node.as_str(), hall = settings.hall.as_str(),
        callers:% = settings.callers, version = env!("CARGO_PKG_VERSION"); "start"
    );
    let daemon = GatewayDaemon::new(settings, clock, dialect, store, socket, Incarnation::now());
    let daemon = Rc::new(daemon);
    let hearing = Rc::downgrade(&daemon);
    daemon.order_executor.set_response_hook(Box::new(move |server, head| {
        if let Some(daemon) = hearing.upgrade() {
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
    actix_rt::spawn(daemon.clone().send_heartbeats());
    actix_rt::spawn(daemon.clone().run_load_request_reports());
    actix_rt::spawn(daemon.clone().run_use_reports());
    actix_rt::spawn(daemon.clone().run_use_change_reports());
    actix_rt::spawn(daemon.clone().claim_servers());
    actix_rt::spawn(daemon.clone().renew_lease());
    actix_rt::spawn(daemon.clone().plan_steps());
    actix_rt::spawn(daemon.clone().run_evacuations());
    actix_rt::spawn(daemon.clone().see_to_leaving());
    actix_rt::spawn(daemon.clone().sweep());
    actix_rt::spawn(daemon.clone().accept_callers(callers));
    actix_rt::spawn(answer_readiness(daemon.clone(), readiness));
    if let Some(listener) = metrics {
        actix_rt::spawn(answer_metrics(daemon.clone(), listener));
    }
    Ok(RunningGateway { daemon })
}

/// Listens, and tells the address with its port if that was left to the system.
async fn listen(
    what: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), GatewayError> {
    let listener = TcpListener::bind(address).await.context(ListenSnafu { what, address })?;
    let bound = listener.local_addr().context(ListenSnafu { what, address })?;
    Ok((listener, bound))
}

async fn answer_readiness(daemon: Rc<GatewayDaemon>, listener: TcpListener) {
    let answer = move |request: Request| {
        let daemon = daemon.clone();
        async move {
            let asked = request.path() == daemon.dialect.readiness_path();
            let status = match (asked, daemon.is_ready()) {
                (false, _) => StatusCode::NOT_FOUND,
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            };
            plain(status, "")
        }
    };
    serve(listener, Limits::default(), answer).await;
}

async fn answer_metrics(daemon: Rc<GatewayDaemon>, listener: TcpListener) {
    let answer = move |_request: Request| {
        let daemon = daemon.clone();
        async move { plain(StatusCode::OK, daemon.metrics.text()) }
    };
    serve(listener, Limits::default(), answer).await;
}

impl GatewayDaemon {
    /// True while new callers are wanted. A daemon that can believe in no key leaves them to others.
    pub fn is_ready(&self) -> bool {
        let view = self.handler.view.borrow();
        let serves = view
            .config()
            .is_some_and(|config| config.organisations.is_none() || self.handler.accepts_keys());
        !self.stopping() && serves
    }

    async fn sweep(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(SWEEP).await;
            let now: Time = self.now();
            self.handler.pool.close_unusable();
            self.order_executor.sweep();
            self.order_executor.planner.borrow_mut().sweep(now);
            self.handler.view.borrow_mut().adapter_locations.expire_notices(now);
            self.forget_limits();
            self.metrics.in_flight.set(self.in_flight.get() as i64);
            self.check_proof();
        }
    }
}

impl GatewayDaemon {
    /// Forgets what servers said that are gone.
    fn forget_limits(&self) {
        let view = self.handler.view.borrow();
        let marks: HashSet<u32> =
            view.backends().map(|backend| backend.incarnation_hash()).collect();
        self.handler.backpressure.retain(|server| marks.contains(&server));
    }

    /// Waits for the refusals of requests that came at the very end of a stop.
    async fn end_refusals(&self) {
        let began = self.now();
        while self.in_flight.get() > 0 && self.now().since(began) < REFUSED_WITHIN {
            actix_rt::time::sleep(STOP_LOOK).await;
        }
    }
}

impl RunningGateway {
    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.daemon.settings.callers
    }

    /// Where readiness is asked.
    pub fn readiness(&self) -> SocketAddr {
        self.daemon.settings.readiness
    }

    /// Where other daemons reach it.
    pub fn members(&self) -> SocketAddr {
        self.daemon.settings.members
    }

    /// How old what the daemon knows of the store may be.
    pub fn staleness(&self) -> Staleness {
        self.daemon.staleness()
    }

    /// Tells the daemon of another one.
    pub fn introduce(&self, peer: SocketAddr) {
        self.daemon.peers.borrow_mut().add_candidate(peer);
    }

    /// Stops: refuses readiness at once, finishes what runs, and returns what could not be
    /// finished in time.
    pub async fn stop(self) -> usize {
        let daemon = &self.daemon;
        let began = daemon.now();
        let within = Duration::from_secs_f64(daemon.settings.bounds.stop_within_s);
        let within = within.saturating_sub(STOP_RESERVE);
        daemon.stopping_since.set(Some(began));
        log::info!(in_flight = daemon.in_flight.get(); "stop_begun");
        daemon.beat();
        loop {
            let passed = daemon.now().since(began);
            if passed >= IDLE_KEPT && !daemon.closing_idle.get() {
                daemon.closing_idle.set(true);
                daemon.closing.notify_waiters();
            }
            let idle = daemon.in_flight.get() == 0 && passed >= IDLE_KEPT + STOP_LOOK * 4;
            if idle || passed >= within {
                break;
            }
            actix_rt::time::sleep(STOP_LOOK).await;
        }
        // Nothing may be sent to a server between here and the end of the process.
        daemon.takes_no_more.set(true);
        if actix_rt::time::timeout(RESIGN, daemon.resign()).await.is_err() {
            log::warn!(after_ms = RESIGN.as_millis() as u64; "servers_not_given_up");
        }
        daemon.end_refusals().await;
        let left = daemon.in_flight.get();
        log::info!(left = left, took_ms = daemon.now().since(began).as_millis() as u64; "stop");
        left
    }
}
