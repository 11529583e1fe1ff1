//! The gateway: serves callers on the users' machines, word by word, over one request path.

mod adapter_demand;
mod admission;
mod answer;
mod backend;
mod body;
mod caller;
mod choose;
mod claim_record;
mod claim_records;
mod claiming;
mod claims;
mod config;
mod connection;
mod crowding;
mod daemon;
mod daemons;
mod decay;
mod demand;
mod dialect;
mod dispatch;
mod events;
mod exchange;
mod fetch_limit;
mod following;
mod frames;
mod gossip;
mod hall_feed;
mod heartbeats;
mod holdings;
mod homes;
mod host;
mod ingress;
mod job;
mod load;
mod load_budget;
mod load_reports;
mod logging;
mod message;
mod messenger;
mod metrics;
mod mirror;
mod order_call;
mod orderers;
mod ordering;
mod pacing;
mod path;
mod peers;
mod placing;
mod planned_server;
mod planner;
mod pool;
mod relay;
mod replicas;
mod retries;
mod routes;
mod run;
mod settings;
mod sync;
mod timings;
mod vacancies;
mod versions;
mod view;

pub use admission::{
    Admitted, BlindShare, Charge, Credential, KeyDigest, KeyRules, Ledger, Organisation,
    OrganisationMark, Organisations, Pace, Quota, QuotaAnswer, QuotaAsk, QuotaCount, QuotaCounts,
    QuotaMessage, QuotaReturned, QuotaUnit, Quotas, RevokedKeys, StoreProof, TokenBucket, Verdict,
    organisation_of,
};
pub use answer::{AnswerError, AnswerHead, Framing, take_head};
pub use backend::{Backend, HeldAdapter, HeldModel};
pub use body::{BodyDecoder, Step};
pub use caller::{CallerGone, CallerRequest, RefusalReason, Refused, ReplyHead, ReplySink};
pub use choose::{cheaper_of_two, cheapest, two_of};
pub use claim_record::{ClaimKey, ClaimRecord};
pub use claim_records::{ClaimRecords, SeenRecord};
pub use claims::{Claim, Claims, Predecessor};
pub use config::{
    CallerLimits, EngineSpec, FleetConfig, ModelSpec, Route, RouteKind, Service, Target,
};
pub use connection::{Connection, ExchangeError};
pub use crowding::copy_pays;
pub use daemon::GatewayDaemon;
pub use daemons::{DaemonAt, Daemons};
pub use demand::{DemandLog, Use, Wish};
pub use dialect::{
    AdapterKey, AnswerMeta, Dialect, DialectError, ForwardMeta, Item, ItemKey, MalformedSnafu,
    ModelRequest, Order, OrderAnswer, OrderKind, RequestMeta, ServerReport,
};
pub use dispatch::{
    AskId, Dispatcher, ServerSlots, SlotAnswer, SlotAsk, SlotEnd, SlotGuard, SlotMessage, SlotNeed,
    SlotOrder, Slots,
};
pub use events::EventSplitter;
pub use fetch_limit::FetchLimit;
pub use following::{NewsSource, Watching, news_source};
pub use holdings::{Holdings, Presence};
pub use homes::{Home, home};
pub use job::{Progress, RequestEnd, Served};
pub use load::{LoadTable, Work, server_mark};
pub use load_budget::LoadBudget;
pub use logging::{LogSink, log_field};
pub use message::{
    AdapterUse, AdapterWish, Heartbeat, MAX_DATAGRAM, NoticeState, PeerMessage, PlacementNotice,
    ServerLoad, decode as decode_message, encode as encode_message,
};
pub use metrics::GatewayMetrics;
pub use mirror::{Mirror, MirrorItem, MirrorNews, Mirrored};
pub use orderers::Orderers;
pub use ordering::{NoticeSink, Ordering};
pub use pacing::WatchPacing;
pub use path::RequestPath;
pub use peers::{Peer, PeerChange, Peers};
pub use planner::{LoadProgress, Plan, PlanEnd, PlannedLoad, Planner, WishAnswer};
pub use pool::Pool;
pub use replicas::{ReplicaDemand, run_time};
pub use retries::{RetryBounds, ServiceRetries};
pub use routes::{RouteTable, pick_target};
pub use run::{GatewayError, RunningGateway, start_gateway};
pub use settings::{Bounds, GatewaySettings, NodeLimits};
pub use timings::Timings;
pub use vacancies::{Candidates, ClaimTry, Claimant, Vacancies};
pub use versions::{NamedVersions, UsableVersions, VERSION_GRACE, VersionChoice};
pub use view::{FIRST_VERSION, FleetView, ViewChange};
