//! The state that the tasks of a gateway daemon share.

use crate::gateway::admission::{FreshnessProof, KeyFreshnessRules, Quotas};
use crate::gateway::arrivals::{GrantDeps, GrantMetrics, Grants};
use crate::gateway::backpressure::leaving::{LeavingDeps, LeavingServers};
use crate::gateway::backpressure::tracker::{Backpressure, BackpressureDeps, BackpressureMetrics};
use crate::gateway::connections::connector::Connector;
use crate::gateway::connections::links::ServerLinks;
use crate::gateway::connections::pool::ConnectionPool;
use crate::gateway::connections::response::ResponseHead;
use crate::gateway::dialect::Dialect;
use crate::gateway::dispatch::{SlotDeps, SlotService};
use crate::gateway::fleet::cold_start_tracker::{EntrySource, SOURCE_REPORT};
use crate::gateway::fleet::daemons::Daemons;
use crate::gateway::fleet::incarnation::Incarnation;
use crate::gateway::fleet::messenger::Messenger;
use crate::gateway::fleet::peers::Peers;
use crate::gateway::fleet::view::{FleetView, ViewChange};
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::orders::claim_holders::ClaimHolders;
use crate::gateway::orders::claim_records::ClaimRecords;
use crate::gateway::orders::claims::Claims;
use crate::gateway::orders::order_executor::OrderExecutor;
use crate::gateway::orders::unclaimed_servers::UnclaimedServers;
use crate::gateway::quarantine::coordinator::{Quarantine, QuarantineDeps, QuarantineMetrics};
use crate::gateway::regions::locality::Locality;
use crate::gateway::regions::traffic::RegionTraffic;
use crate::gateway::requests::handler::RequestHandler;
use crate::gateway::retries::bounds::RetryBounds;
use crate::gateway::retries::budgets::{RetryBudgets, RetryBudgetsDeps};
use crate::gateway::selection::demand::AdapterDemandTracker;
use crate::gateway::selection::load::LoadTable;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::shutdown::Shutdown;
use crate::gateway::software::registry::SoftwareRegistry;
use crate::gateway::software::resolver::{StreamOrigins, StreamOriginsDeps};
use crate::gateway::store_sync::attempts::CatchUpAttempts;
use crate::gateway::store_sync::era::EraTracker;
use crate::gateway::store_sync::follower_feed::FollowerFeed;
use crate::gateway::store_sync::large_values::{CompressedValues, PartialValues};
use crate::gateway::store_sync::mirror::{Mirror, MirrorChange};
use crate::gateway::store_sync::source_selector::{PeerTopology, SourceSelector};
use crate::gateway::store_sync::staleness::Staleness;
use crate::gateway::store_sync::timings::SyncTimings;
use crate::gateway::store_sync::update_server::MAX_LARGE_REPLIES;
use crate::gateway::tunnels::carriers::Carriers;
use crate::gateway::tunnels::connecting::ServerConnections;
use crate::gateway::tunnels::pauses::PauseDetector;
use crate::http1::MalformedResponses;
use crate::store::{CountedStore, KvStore, StoreEra};
use crate::types::{Clock, InFlight, Time};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore};

/// State shared by the tasks of one gateway daemon.
pub struct GatewayDaemon {
    /// Settings read at the start.
    pub settings: GatewaySettings,
    /// The monotonic clock.
    pub clock: Rc<dyn Clock>,
    /// Translates the platform's messages.
    pub dialect: Rc<dyn Dialect>,
    /// The platform's store.
    pub store: Rc<dyn KvStore>,
    /// Serves callers' requests.
    pub handler: RequestHandler,
    /// Local copy of the store.
    pub mirror: RefCell<Mirror>,
    /// Tracks the era of the store.
    pub(super) eras: RefCell<EraTracker>,
    /// Era for which a peer was last asked for its retained items.
    pub(super) kept_asked: Cell<StoreEra>,
    /// Set if the last update from a peer could not be applied: the next one must be a full copy.
    pub(super) wants_all: Cell<bool>,
    /// The other daemons.
    pub peers: Rc<RefCell<Peers>>,
    /// Orders to servers.
    pub order_executor: Rc<OrderExecutor>,
    /// Sends datagrams to other daemons.
    pub messenger: Rc<Messenger>,
    /// Number of this start; higher with every start.
    pub incarnation: Incarnation,
    /// When the store last answered, or the end of the pause between two watches, if later.
    pub store_seen: Cell<Option<Time>>,
    /// Requests being served.
    pub in_flight: InFlight,
    /// Requests of which a part has been received.
    pub receiving: InFlight,
    /// The planned stop.
    pub shutdown: Rc<Shutdown>,
    /// Claims on servers, as recorded in the store.
    pub records: Rc<RefCell<ClaimRecords>>,
    /// Looks up the daemon that holds the claim on a server.
    pub claim_holders: ClaimHolders,
    /// Set while this daemon watches the store itself.
    pub watches: Cell<bool>,
    /// Selects the source of store changes.
    pub(super) course: RefCell<SourceSelector>,
    /// The peers and their distances, as of the last heartbeat.
    pub(super) around: RefCell<Rc<PeerTopology>>,
    /// Set if the copy of the store was stale at the last check.
    pub(super) news_old: Cell<bool>,
    /// Set if the last check found no proof fresh enough to accept keys.
    pub(super) proof_lost: Cell<bool>,
    /// Requests for updates from peers that are under way.
    pub(super) attempts: RefCell<CatchUpAttempts>,
    /// Large values of which a part has arrived from peers.
    pub(super) partial_values: RefCell<PartialValues>,
    /// Large values as they are sent to peers.
    pub(super) compressed_values: RefCell<CompressedValues>,
    /// Permits for holding large replies for peers.
    pub(super) large_replies: Semaphore,
    /// Store changes forwarded to the followers of this daemon.
    pub(super) feed: FollowerFeed,
    /// Notified when datagrams from peers arrive again after this daemon was cut off.
    pub(super) reconnected: Notify,
    /// Servers without a live claim.
    pub unclaimed_servers: RefCell<UnclaimedServers>,
    /// When this daemon started.
    pub started_at: Time,
    /// Detects that this process stood still.
    pub(in crate::gateway) pauses: PauseDetector,
    /// The metrics of this daemon.
    pub metrics: GatewayMetrics,
}

/// Returns a predicate: whether this daemon or a live peer holds the claim on a server.
fn claim_predicate(
    clock: Rc<dyn Clock>,
    order_executor: Rc<OrderExecutor>,
    claim_holders: ClaimHolders,
) -> Box<dyn Fn(&str) -> bool> {
    Box::new(move |server| {
        let now = clock.now();
        let own = order_executor.claims.borrow().may_order(now, server).is_some();
        own || claim_holders.address(now, server).is_some()
    })
}

/// Logged characters of the reason why an entry is refused: it may quote text of another writer.
const MAX_REASON_CHARS: usize = 160;
/// The store counts as reachable for this long after an answer.
const STORE_REACHABLE_FOR: Duration = Duration::from_millis(4_500);

impl GatewayDaemon {
    /// Creates a daemon with an empty copy of the store.
    pub fn new(
        settings: GatewaySettings,
        clock: Rc<dyn Clock>,
        dialect: Rc<dyn Dialect>,
        store: Rc<dyn KvStore>,
        socket: UdpSocket,
        incarnation: Incarnation,
        connector: Rc<dyn Connector>,
    ) -> Self {
        let metrics = GatewayMetrics::new();
        let store = Rc::new(CountedStore::new(store, metrics.store_calls.clone()));
        let bounds = &settings.bounds;
        let retry_bounds = RetryBounds {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: Duration::from_secs_f64(bounds.retry_window_s),
        };
        let claims = Claims::new(
            Duration::from_millis(bounds.lease_ttl_ms),
            Duration::from_millis(bounds.order_quiet_ms),
        );
        let member_port = settings.members.port();
        let seeds = settings.seeds.iter().map(|seed| (seed.ip(), member_port).into()).collect();
        let peers = Peers::new(settings.members, settings.limits.capacity(), seeds);
        let peers = Rc::new(RefCell::new(peers.with_regions(settings.regions())));
        let locality = Rc::new(Locality::new(&settings.hall, settings.regions()));
        let traffic = Rc::new(RegionTraffic::new(locality.clone(), metrics.region_bytes.clone()));
        let node: Rc<str> = settings.node.as_str().into();
        let records = Rc::new(RefCell::default());
        let claim_holders = ClaimHolders { peers: peers.clone(), records: records.clone() };
        let links = Rc::<ServerLinks>::default();
        let malformed = MalformedResponses::new(metrics.malformed_responses.clone());
        let order_pool = ConnectionPool::new(connector.clone(), links.clone(), malformed.clone());
        let order_executor =
            Rc::new(OrderExecutor::new(clock.clone(), dialect.clone(), node, claims, order_pool));
        let started_at = clock.now();
        let view = Rc::new(RefCell::new(FleetView::default()));
        let messenger =
            Rc::new(Messenger::new(socket, metrics.peer_bytes.clone(), traffic.clone()));
        let me = settings.as_daemon();
        let eligible_daemons = Rc::new(RefCell::new(Daemons::new(vec![me.clone()])));
        let quotas = Quotas::new(
            clock.clone(),
            view.clone(),
            messenger.clone(),
            me.clone(),
            eligible_daemons.clone(),
            incarnation.clone(),
            bounds.quota_slack,
        );
        let source_selector =
            SourceSelector::new(settings.members, SyncTimings::new(bounds.news_within()));
        let loads = Rc::new(LoadTable::default());
        let (proof, cold_starts) = (Rc::<FreshnessProof>::default(), Rc::<RefCell<_>>::default());
        let backpressure = Rc::new(Backpressure::new(BackpressureDeps {
            clock: clock.clone(),
            messenger: messenger.clone(),
            me: me.clone(),
            daemons: eligible_daemons.clone(),
            metrics: BackpressureMetrics {
                limited: metrics.limited_servers.clone(),
                unreadable: metrics.invalid_hints.clone(),
                resting: metrics.backed_off_servers.clone(),
                rests: metrics.backoffs.clone(),
                full: metrics.full_servers.clone(),
            },
        }));
        let leaving_deps = LeavingDeps {
            clock: clock.clone(),
            view: view.clone(),
            messenger: messenger.clone(),
            me: me.clone(),
            daemons: eligible_daemons.clone(),
        };
        let slots = SlotService::new(SlotDeps {
            clock: clock.clone(),
            view: view.clone(),
            loads: loads.clone(),
            backpressure: backpressure.clone(),
            messenger: messenger.clone(),
            me: me.clone(),
            locality: locality.clone(),
            daemons: eligible_daemons.clone(),
        });
        let grants = Grants::new(GrantDeps {
            clock: clock.clone(),
            view: view.clone(),
            proof: proof.clone(),
            coldness: cold_starts.clone(),
            loads: loads.clone(),
            backpressure: backpressure.clone(),
            messenger: messenger.clone(),
            me,
            daemons: eligible_daemons.clone(),
            regions: settings.regions(),
            cold_ratio: bounds.cold_ratio,
            cold_slack: bounds.cold_slack,
            metrics: GrantMetrics {
                outcomes: metrics.grants.clone(),
                waits: metrics.grant_waits.clone(),
            },
        });
        let retries = RetryBudgets::new(RetryBudgetsDeps {
            clock: clock.clone(),
            messenger: messenger.clone(),
            me: settings.members,
            daemons: eligible_daemons.clone(),
            bounds: retry_bounds,
        });
        let origins_deps = StreamOriginsDeps {
            clock: clock.clone(),
            messenger: messenger.clone(),
            me: settings.as_daemon(),
            regions: settings.regions(),
            daemons: eligible_daemons.clone(),
            taken_up: metrics.streams_taken_up.clone(),
        };
        let registry =
            SoftwareRegistry::new(started_at, settings.first_start, bounds.news_within());
        let pool = Rc::new(ConnectionPool::new(connector, links, malformed));
        let connections = Rc::new(ServerConnections::new(
            clock.clone(),
            pool.clone(),
            Carriers::new(peers.clone(), settings.regions()),
            metrics.tunnels.clone(),
        ));
        let quarantine = Quarantine::new(QuarantineDeps {
            clock: clock.clone(),
            view: view.clone(),
            daemons: eligible_daemons.clone(),
            me: settings.as_daemon(),
            messenger: messenger.clone(),
            connections: connections.clone(),
            store: store.clone(),
            metrics: QuarantineMetrics {
                server_ends: metrics.server_ends.clone(),
                held: metrics.held_requests.clone(),
                trials: metrics.trials.clone(),
            },
        });
        let stop_within = Duration::from_secs_f64(bounds.stop_within_s);
        let shutdown = Rc::new(Shutdown::new(clock.clone(), stop_within));
        let handler = RequestHandler {
            clock: clock.clone(),
            dialect: dialect.clone(),
            view,
            proof,
            key_rules: KeyFreshnessRules::new(
                bounds.revoke_within_ms.map(Duration::from_millis),
                Duration::from_millis(bounds.config_within_ms),
            ),
            quotas: Rc::new(quotas),
            grants: Rc::new(grants),
            slots: Rc::new(slots),
            eligible_daemons,
            view_changed: Rc::new(Notify::new()),
            coldness: cold_starts,
            loads,
            pool,
            connections,
            backpressure,
            leaving: Rc::new(LeavingServers::new(leaving_deps)),
            quarantine: Rc::new(quarantine),
            retries: Rc::new(retries),
            origins: Rc::new(StreamOrigins::new(origins_deps, registry)),
            demand: Rc::new(AdapterDemandTracker::default()),
            locality,
            traffic,
            daemon_count: Cell::new(1),
            loads_are_delayed: Cell::new(false),
            retry_counts: metrics.retries.clone(),
            held_back: metrics.held_back.clone(),
            shutdown: shutdown.clone(),
            is_ordered: claim_predicate(
                clock.clone(),
                order_executor.clone(),
                claim_holders.clone(),
            ),
        };
        Self {
            peers,
            settings,
            clock,
            dialect,
            store,
            handler,
            mirror: RefCell::default(),
            eras: RefCell::default(),
            kept_asked: Cell::default(),
            wants_all: Cell::new(false),
            order_executor,
            messenger,
            incarnation,
            store_seen: Cell::new(None),
            in_flight: InFlight::default(),
            receiving: InFlight::default(),
            shutdown,
            records,
            claim_holders,
            watches: Cell::new(false),
            course: RefCell::new(source_selector),
            around: RefCell::default(),
            news_old: Cell::new(false),
            proof_lost: Cell::new(false),
            attempts: RefCell::default(),
            partial_values: RefCell::default(),
            compressed_values: RefCell::default(),
            large_replies: Semaphore::new(MAX_LARGE_REPLIES),
            feed: FollowerFeed::default(),
            reconnected: Notify::new(),
            unclaimed_servers: RefCell::default(),
            started_at,
            pauses: PauseDetector::default(),
            metrics,
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// True once a stop was requested.
    pub fn stopping(&self) -> bool {
        self.shutdown.has_begun()
    }

    /// True if the store answered recently.
    pub fn sees_store(&self) -> bool {
        self.store_seen.get().is_some_and(|at| self.now().since(at) < STORE_REACHABLE_FOR)
    }

    /// Time since the store last answered, in milliseconds; -1 if it never did.
    pub fn store_age_ms(&self) -> i64 {
        let age = self.store_seen.get().map(|at| self.now().since(at).as_millis());
        age.and_then(|age| i64::try_from(age).ok()).unwrap_or(-1)
    }

    /// Age of the proof that the configuration is the newest, in milliseconds; -1 without one.
    pub fn proof_age_ms(&self) -> i64 {
        self.staleness().millis()
    }

    /// Upper bound on the age of this daemon's copy of the store.
    pub fn staleness(&self) -> Staleness {
        self.handler.staleness()
    }

    /// Applies changes of the mirror; `source` is logged.
    pub fn apply(self: &Rc<Self>, changes: Vec<MirrorChange>, source: &str) {
        self.update_era();
        let now = self.now();
        let learned_at = self.update_learned_at(now);
        let mut changed = false;
        for change in changes {
            self.note_claim(&change);
            let is_own_record = self.records.borrow_mut().apply(&change)
                || self.handler.quarantine.apply(&change)
                || self.handler.retries.apply(&change)
                || self.handler.origins.apply(&change);
            if is_own_record {
                continue;
            }
            let key = match &change {
                MirrorChange::Put(entry) => entry.key.clone(),
                MirrorChange::Removed(key) => key.clone(),
            };
            let applied = self.handler.view.borrow_mut().apply(learned_at, &*self.dialect, change);
            match applied {
                Ok(changes) => {
                    changed |= !changes.is_empty();
                    for change in &changes {
                        self.on_view_change(now, change, source);
                        self.apply_evacuation_change(now, change, source);
                    }
                }
                Err(error) => {
                    log::error!(key = key.as_str(), error:% = error, source = source; "store_item_refused");
                }
            }
        }
        let refused = self.handler.view.borrow().refused_entries();
        self.metrics.entries_refused.set(refused as i64);
        if changed {
            self.handler.view_changed.notify_waiters();
        }
    }

    /// Handles a server's own report of an incarnation that is not in the store yet.
    pub(in crate::gateway) fn on_newer_incarnation(self: &Rc<Self>, server: &Rc<str>, born: u64) {
        let changes = self.handler.view.borrow_mut().on_newer_incarnation(server, born);
        let now = self.now();
        for change in &changes {
            self.on_view_change(now, change, SOURCE_REPORT);
            self.apply_evacuation_change(now, change, SOURCE_REPORT);
        }
        self.handler.view_changed.notify_waiters();
    }

    /// Applies servers' own announcements that they are leaving, until the process ends.
    pub(in crate::gateway) async fn run_leaving_updates(self: Rc<Self>) {
        loop {
            let changes = self.handler.leaving.changes().await;
            let now = self.now();
            changes
                .iter()
                .for_each(|(change, source)| self.on_view_change(now, change, source.name()));
            self.handler.view_changed.notify_waiters();
        }
    }

    /// Handles the response head of an order or of a report request.
    pub(in crate::gateway) fn on_call_answered(&self, server: &str, head: &ResponseHead) {
        let backend = self.handler.view.borrow().backend(server).cloned();
        let Some(backend) = backend else { return };
        self.handler.backpressure.on_order_response(&backend, &head.meta);
        self.handler.leaving.on_response(&backend, head.meta.leaving);
    }

    fn on_view_change(self: &Rc<Self>, now: Time, change: &ViewChange, source: &str) {
        let view = self.handler.view.borrow();
        let mut planner = self.order_executor.planner.borrow_mut();
        match change {
            ViewChange::Config(version) => {
                if let Some(config) = view.config() {
                    planner.set_config(now, config.clone());
                    self.metrics.config_version.set(*version as i64);
                    log::info!(version = version, routes = config.routes.len(), source = source, news_age_ms = self.staleness().millis(); "config_in_force");
                }
            }
            ViewChange::Backend(id) => {
                if let Some(backend) = view.backend(id) {
                    let entry_source = EntrySource::of(source);
                    self.handler.coldness.borrow_mut().on_entry(now, backend, entry_source);
                    self.handler.loads.set_incarnation(id, backend.incarnation_hash());
                    self.handler.loads.set_one_cold(id, self.cold_server(now, &view, backend));
                    planner.update_server(now, backend);
                }
            }
            ViewChange::Draining(id) => {
                if let Some(backend) = view.backend(id) {
                    self.handler.loads.set_incarnation(id, backend.incarnation_hash());
                    planner.update_server(now, backend);
                }
                self.handler.pool.close_server(id);
                log::info!(server = &**id, source = source; "server_draining");
            }
            ViewChange::Restarted { server, before } => {
                planner.server_restarted(now, server);
                self.handler.pool.close_server(server);
                self.order_executor.forget(server);
                self.metrics.servers_restarted.inc();
                let (born, before) = (view.born(server).unwrap_or(0), before.unwrap_or(0));
                log::info!(server = &**server, born = born, before = before, source = source; "server_born_again");
            }
            ViewChange::BackendStale(id) => {
                log::info!(server = &**id, source = source; "server_entry_older");
            }
            ViewChange::BackendRefused { server, why } => {
                let reason: String = why.chars().take(MAX_REASON_CHARS).collect();
                log::warn!(server:? = server, why = reason.as_str(), source = source; "server_entry_refused");
            }
            ViewChange::BackendGone(id) => {
                planner.server_gone(id);
                self.handler.pool.close_server(id);
                self.handler.pool.links().forget(id);
                self.handler.loads.forget(id);
                self.handler.coldness.borrow_mut().gone(id);
                self.order_executor.forget(id);
                self.drop_claim(id);
                log::info!(server = &**id, source = source; "server_gone");
            }
            ViewChange::Version(key, version) => {
                planner.announce_version(key, *version);
                log::info!(adapter = &*key.adapter, version = version, source = source; "adapter_version");
            }
            ViewChange::HallEvacuated(_) | ViewChange::HallRestored(..) => {}
        }
    }
}
