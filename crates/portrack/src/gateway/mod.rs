//! The gateway: receives callers' requests and forwards each to a backend server, streaming the
//! response.

mod admission;
mod arrivals;
mod backpressure;
mod cold;
mod connections;
mod daemon;
mod dialect;
mod dispatch;
mod evacuation;
mod fleet;
mod hex;
mod logging;
mod metrics;
mod orders;
mod quarantine;
mod regions;
mod requests;
mod retries;
mod run;
mod selection;
mod settings;
mod shutdown;
mod software;
mod store_lease;
mod store_sync;
mod tunnels;

pub use admission::{
    AuthenticatedCaller, Charge, Credential, DecayingRate, FallbackShare, FreshnessProof,
    KeyDigest, KeyFreshnessRules, Organisation, OrganisationHash, Organisations, Quota,
    QuotaAnswer, QuotaCount, QuotaCounts, QuotaDecision, QuotaLedger, QuotaMessage, QuotaRefunds,
    QuotaRequest, QuotaUnit, Quotas, RevokedKeys, TokenBucket, authenticate,
};
pub use arrivals::{
    CallId, ColdBound, ColdRule, ColdWindow, FallbackShares, GrantAnswer, GrantEnd, GrantMessage,
    GrantReply, GrantRequest, GrantTimings, Granter, Grants, PendingCalls, PrefillLimit,
    PrefillRate, PrefillWindow, Quantile, RetryScheduler, ServerRule, choose_evicted,
};
pub use backpressure::announcements::AnnouncementQueue;
pub use backpressure::backoff_hint::BackoffHint;
pub use backpressure::backoffs::Backoffs;
pub use backpressure::bucket::{LimitRule, RateBucket};
pub use backpressure::leaving::{LeavingDeps, LeavingServers, LeavingSource};
pub use backpressure::limit::{LimitHint, RateLimit};
pub use backpressure::limit_state::{LimitObservation, LimitState};
pub use backpressure::limit_table::{LimitChange, LimitTable};
pub use backpressure::message::LimitReport;
pub use backpressure::tracker::{Backpressure, BackpressureDeps, BackpressureMetrics};
pub use cold::server::ColdServer;
pub use connections::connection::{Connection, ExchangeError};
pub use connections::connector::{Connector, TcpConnector};
pub use connections::links::{LinkChange, LinkFailure, PeerResult, Reachability, ServerLinks};
pub use connections::pool::{AcquireError, ConnectionPool, PooledConnection};
pub use connections::response::{ResponseHead, parse_head};
pub use daemon::GatewayDaemon;
pub use dialect::{
    AdapterKey, Dialect, DialectError, ForwardMeta, Item, ItemKey, MalformedSnafu, ModelRequest,
    Order, OrderAnswer, OrderKind, RequestMeta, ResponseMeta, ServerReport,
};
pub use dispatch::{
    Dispatcher, DispatcherRoute, ServerSlots, SlotAnswer, SlotEnd, SlotGuard, SlotMessage,
    SlotReply, SlotRequest, SlotRequirements, SlotService, dispatchers_for,
};
pub use evacuation::halls::{EvacuatedHalls, Evacuation};
pub use fleet::backend::{Backend, HeldAdapter, HeldModel, incarnation_hash};
pub use fleet::cold_start_tracker::{ColdStartTracker, EntrySource, SOURCE_PEER, SOURCE_REPORT};
pub use fleet::config::{
    CallerLimits, ColdStart, EngineSpec, FleetConfig, ModelSpec, Route, RouteKind, Service, Target,
};
pub use fleet::daemons::{DaemonInfo, Daemons};
pub use fleet::incarnation::Incarnation;
pub use fleet::message::{
    AdapterLoadRequest, AdapterUsage, Capabilities, Heartbeat, MAX_DATAGRAM, NoticeState,
    PeerMessage, PlacementNotice, ServerLoad, decode as decode_message, encode as encode_message,
};
pub use fleet::peers::{Peer, PeerChange, Peers};
pub use fleet::recipients::Recipients;
pub use fleet::regions::{AllowedRegions, Regions};
pub use fleet::server_incarnations::{EntryStatus, MAX_REMOVED_INCARNATIONS, ServerIncarnations};
pub use fleet::versions::{AnnouncedVersions, UsableVersions, VERSION_GRACE, VersionChoice};
pub use fleet::view::{FIRST_VERSION, FleetView, ViewChange};
pub use logging::{LogSink, log_field};
pub use metrics::GatewayMetrics;
pub use orders::claim_holders::ClaimHolders;
pub use orders::claim_record::{ClaimKey, ClaimRecord, RecordEras};
pub use orders::claim_records::{ClaimRecords, SeenRecord};
pub use orders::claims::{Claim, Claims, Predecessor};
pub use orders::fetch_limit::FetchLimit;
pub use orders::late_orders::{LateOrders, UnansweredOrder};
pub use orders::load_budget::LoadBudget;
pub use orders::order_executor::{NoticeSink, OrderExecutor};
pub use orders::planner::{
    LoadProgress, LoadRequestAnswer, Plan, PlanOutcome, PlannedLoad, Planner,
};
pub use orders::unclaimed_servers::{Candidates, ClaimAttempt, Claimant, UnclaimedServers};
pub use quarantine::coordinator::{Quarantine, QuarantineDeps, QuarantineMetrics};
pub use quarantine::ends::{EndCheck, LostRequest, ServerEnds};
pub use quarantine::fingerprint::{
    CallerIdentity, FingerprintInput, PartInput, RequestFingerprint, SuspectKind,
};
pub use quarantine::message::{EndReport, HoldReport, PartEndReport, QuarantineMessage};
pub use quarantine::parts::{OtherAnswers, PromptPart, must_be_held};
pub use quarantine::record::HoldRecord;
pub use quarantine::state::{ChangeSource, QuarantineChange, QuarantineState};
pub use quarantine::suspect_requests::{
    Cleared, CountOutcome, HeldRequest, MOST_ENDS, SendVerdict, ServerEnd, SuspectRequests, Trial,
    Unrecorded,
};
pub use regions::allowed::RegionConstraints;
pub use regions::locality::Locality;
pub use regions::silence::silent_regions;
pub use requests::caller::{
    CallerGone, CallerRequest, RefusalReason, Refused, ReplyHead, ReplySink,
};
pub use requests::events::EventSplitter;
pub use requests::exchange::{
    NotRunReason, OutgoingRequest, SendOutcome, ServerResponse, send_request,
};
pub use requests::handler::RequestHandler;
pub use requests::job::{Progress, RequestOutcome, RequestRecord};
pub use requests::routes::{RouteTable, pick_target};
pub use requests::scanner::EventScanner;
pub use requests::timings::Timings;
pub use retries::account::RetryAccount;
pub use retries::bounds::RetryBounds;
pub use retries::holder::{SLACK_KEY, SlackHolder};
pub use retries::lease::{SLACK_LEASE_TTL, SlackLease};
pub use retries::message::RetryMessage;
pub use retries::slack::SlackAccount;
pub use run::{GatewayError, RunningGateway, start_gateway, start_gateway_with};
pub use selection::adapter_locations::{AdapterLocations, Presence};
pub use selection::choose::{
    ScoredServer, better_of_two, cheaper_of_two, cheapest, two_random_choices,
};
pub use selection::crowding::is_copy_worthwhile;
pub use selection::demand::{AdapterDemandTracker, LoadRequest, UsageReport};
pub use selection::load::{LoadTable, OutstandingGuard, OutstandingWork, server_hash};
pub use selection::load_target::{LoadTarget, choose_load_target};
pub use selection::replicas::{ReplicaDemand, mean_run_time};
pub use settings::{Bounds, GatewaySettings, NodeLimits};
pub use shutdown::{AnswerBound, Shutdown, StopTimes};
pub use software::message::{OriginAnswer, OriginMessage, OriginReport};
pub use software::origin::{Origin, StreamKey};
pub use software::origin_table::{KnownOrigin, MAX_ORIGINS, ORIGIN_TTL, OriginTable};
pub use software::record::{ServiceVersions, SoftwareRecord, VersionState};
pub use software::registry::{ListedVersions, SoftwareRegistry};
pub use software::replicas::{asked, keepers};
pub use software::resolver::{OriginSource, StreamOrigins, StreamOriginsDeps};
pub use store_sync::attempts::{
    Attempt, AttemptId, CatchUpAttempts, LARGE_REPLY_BYTES, MAX_ATTEMPTS,
};
pub use store_sync::era::{EraChange, EraReport, EraTracker};
pub use store_sync::era_delta::EraDelta;
pub use store_sync::large_values::{
    CompressedValue, CompressedValues, LARGE_VALUE_BYTES, LargeValue, MAX_PARTIAL_VALUES,
    PARTIAL_VALUE_TTL, PartialValues,
};
pub use store_sync::mirror::{Mirror, MirrorChange, MirrorItem, MirrorUpdate};
pub use store_sync::pacing::WatchPacing;
pub use store_sync::peer_freshness::{PeerFreshness, PeerFreshnessTable};
pub use store_sync::report::{SyncReport, SyncState};
pub use store_sync::retained::{RestoreConflict, RetainFn, RetainedItem};
pub use store_sync::retention::{RETENTION_PERIOD, should_retain};
pub use store_sync::source_selector::{
    Distance, PeerTopology, SourceFailure, SourceSelector, SyncSource,
};
pub use store_sync::staleness::Staleness;
pub use store_sync::timings::SyncTimings;
pub use tunnels::carriers::Carriers;
pub use tunnels::connecting::{PeerOpinion, ServerConnections};
pub use tunnels::framing::{FrameDecoder, SERVER_CLOSED, header as tunnel_header};
pub use tunnels::message::{TunnelReply, TunnelRequest};
pub use tunnels::pauses::PauseDetector;
