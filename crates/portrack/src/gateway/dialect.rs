//! What the gateway asks of a platform's adapter: translation of messages, nothing else.

use crate::gateway::admission::Credential;
use crate::gateway::backpressure::backoff_hint::BackoffHint;
use crate::gateway::backpressure::limit::LimitHint;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::config::FleetConfig;
use actix_http::header::HeaderMap;
use snafu::Snafu;
use std::rc::Rc;
use std::time::Duration;

/// One thing that the platform's store tells.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// The operators' configuration.
    Config(Box<FleetConfig>),
    /// A backend server.
    Backend(Box<Backend>),
    /// The newest version of an adapter.
    AdapterVersion(AdapterKey, u64),
    /// The operators have a data hall evacuated, for as long as this is in the store.
    EvacuatedHall(Rc<str>),
}

/// What a key of the store stands for when it is removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemKey {
    /// The operators' configuration.
    Config,
    /// A backend server, by its id.
    Backend(Rc<str>),
    /// The newest version of an adapter.
    AdapterVersion,
    /// That a data hall is evacuated, by the hall's name.
    EvacuatedHall(Rc<str>),
    /// Nothing that the gateway knows.
    Unknown,
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AdapterKey {
    /// The base model.
    pub model: Rc<str>,
    /// The adapter.
    pub adapter: Rc<str>,
}

/// What a request for a model asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelRequest {
    /// The base model.
    pub model: Rc<str>,
    /// The adapter, if any.
    pub adapter: Option<Rc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens to generate.
    pub output_tokens: u64,
    /// The caller's guess of the tokens to come out.
    pub expected_tokens: Option<u64>,
    /// Parts of the prompt in order: identity and tokens.
    pub prefix: Vec<(u64, u32)>,
}

/// What the gateway reads of a request's headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// The id of the caller's attempt.
    pub id: Rc<str>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The model asked for.
    pub model: Option<ModelRequest>,
    /// The tokens of its prompt and the most that it may generate, together, if it tells them.
    pub tokens: Option<u64>,
    /// What the caller shows to be let in.
    pub credential: Credential,
}

/// What the gateway sets on a request that it sends to a server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ForwardMeta<'a> {
    /// What is left of the caller's time.
    pub time_left: Option<Duration>,
    /// The server meant.
    pub instance: &'a str,
    /// 0 is admitted first, 9 last.
    pub urgency: Option<u8>,
    /// The version of the adapter that must be in use.
    pub adapter_version: Option<u64>,
    /// The last event that the caller has.
    pub last_event: Option<&'a str>,
    /// The organisation whose key the caller holds.
    pub organisation: Option<&'a str>,
    /// Callers show keys here, which no server is to see.
    pub withholds_key: bool,
}

/// What an answer's headers say of it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMeta {
    /// The request it belongs to.
    pub request_id: Option<String>,
    /// It carries the server's signature.
    pub signed: bool,
    /// The server says that it did not run the request.
    pub not_run: bool,
    /// How many requests a second the server takes, if it says so.
    pub limit: LimitHint,
    /// The server says that it is leaving.
    pub leaving: bool,
    /// For how long it wants nothing, if it turns the request away.
    pub rest: BackoffHint,
}

/// What a server is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load a base model or an adapter.
    Load,
    /// Drop it.
    Unload,
}

/// An order to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Load or drop.
    pub kind: OrderKind,
    /// The base model.
    pub model: Rc<str>,
    /// The adapter; the base model itself if left out.
    pub adapter: Option<Rc<str>>,
    /// The version to load; the newest if left out.
    pub version: Option<u64>,
    /// The daemon that orders.
    pub holder: Rc<str>,
    /// Its fencing token.
    pub fence: u64,
    /// The number of orders that the server must have taken before; any if left out.
    pub expected: Option<u64>,
}

/// What a server reports of itself, as it stood a moment ago.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// The start of the life that it is of; see [`Backend::born`].
    pub born: Option<u64>,
    /// Orders taken.
    pub orders_taken: u64,
    /// The base models it holds.
    pub models: Vec<Rc<str>>,
    /// The adapters it holds, with their versions.
    pub held: Vec<(AdapterKey, u64)>,
    /// The adapters on their way, with their versions.
    pub pending: Vec<(AdapterKey, u64)>,
    /// Requests that run there or wait to run.
    pub requests: u32,
}

/// How a server answers an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It already holds.
    Holds,
    /// Another order is under way.
    Busy,
    /// Refused for good.
    Refused,
    /// Another server has the address.
    Elsewhere,
}

/// A message that cannot be translated.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum DialectError {
    /// A body that is not in the platform's form.
    #[snafu(display("{what}: {message}"))]
    Malformed {
        /// Which message.
        what: String,
        /// What is wrong with it.
        message: String,
    },
}

/// Translates between the platform's messages and the gateway's types.
pub trait Dialect {
    /// The prefix of the store to follow, with everything that [`Dialect::key`] knows.
    fn prefix(&self) -> &'static str;
    /// What a key stands for.
    fn key(&self, key: &str) -> ItemKey;
    /// Reads a value of the store; `None` for what the gateway does not use.
    fn item(&self, key: &str, value: &[u8]) -> Result<Option<Item>, DialectError>;
    /// A value of the store with digests in place of callers' keys, as it is kept and handed on.
    fn without_keys(&self, key: &str, value: Vec<u8>) -> Result<Vec<u8>, DialectError>;
    /// Reads a request's headers.
    fn request(&self, headers: &HeaderMap) -> Result<RequestMeta, DialectError>;
    /// True for a header that the gateway sets itself, in lower case.
    fn is_set_by_us(&self, name: &str) -> bool;
    /// True for the header that carries a caller's key.
    fn is_credential(&self, name: &str) -> bool;
    /// Appends the gateway's headers of a request to a server.
    fn write_forward(&self, meta: &ForwardMeta<'_>, out: &mut Vec<u8>);
    /// Takes note of a header of an answer.
    fn response_header(&self, name: &str, value: &str, meta: &mut ResponseMeta);
    /// The last event that a caller says it has.
    fn last_event(&self, headers: &HeaderMap) -> Option<String>;
    /// The path of the readiness check.
    fn readiness_path(&self) -> &'static str;
    /// The path and body of an order.
    fn order(&self, order: &Order) -> (&'static str, Vec<u8>);
    /// The header and value that name the server meant by an order.
    fn order_target(&self, instance: &str) -> (&'static str, String);
    /// The path of a server's report.
    fn report_path(&self) -> &'static str;
    /// Reads a server's report.
    fn report(&self, body: &[u8]) -> Result<ServerReport, DialectError>;
    /// Reads the answer to an order.
    fn order_answer(&self, status: u16) -> OrderAnswer;
}
