//! The interface to a platform: translation of messages between the platform and the gateway.

use crate::gateway::admission::Credential;
use crate::gateway::backpressure::backoff_hint::BackoffHint;
use crate::gateway::backpressure::limit::LimitHint;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::config::FleetConfig;
use actix_http::header::HeaderMap;
use snafu::Snafu;
use std::rc::Rc;
use std::time::Duration;

/// A decoded item of the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// The operators' configuration.
    Config(Box<FleetConfig>),
    /// A backend server.
    Backend(Box<Backend>),
    /// The newest announced version of an adapter.
    AdapterVersion(AdapterKey, u64),
    /// A data hall is evacuated for as long as this item is in the store.
    EvacuatedHall(Rc<str>),
}

/// What a key of the store identifies. Unlike [`Item`], it is known without the value, also for a
/// removed key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemKey {
    /// The operators' configuration.
    Config,
    /// A backend server, by its id.
    Backend(Rc<str>),
    /// The newest announced version of an adapter.
    AdapterVersion,
    /// The evacuation of a data hall, by the hall's name.
    EvacuatedHall(Rc<str>),
    /// A key that the gateway does not use.
    Unknown,
}

/// Identifies an adapter of a base model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AdapterKey {
    /// Name of the base model.
    pub model: Rc<str>,
    /// Name of the adapter.
    pub adapter: Rc<str>,
}

/// The part of a request's metadata that concerns the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelRequest {
    /// The base model.
    pub model: Rc<str>,
    /// The adapter, if any.
    pub adapter: Option<Rc<str>>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub output_tokens: u64,
    /// The caller's estimate of the number of generated tokens.
    pub expected_tokens: Option<u64>,
    /// Identity and number of tokens of each prompt part, in order.
    pub prefix: Vec<(u64, u32)>,
}

impl ModelRequest {
    /// The parts of the prompt that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[(u64, u32)] {
        self.prefix.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Metadata read from a request's headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// Id of the caller's attempt.
    pub id: Rc<str>,
    /// How long the caller waits for the response.
    pub patience: Option<Duration>,
    /// The requested model.
    pub model: Option<ModelRequest>,
    /// Sum of prompt tokens and maximum generated tokens, if the headers give both.
    pub tokens: Option<u64>,
    /// The caller's credential.
    pub credential: Credential,
    /// The attempt whose answer brought the first event of the stream that this request continues.
    pub resumes: Option<Rc<str>>,
}

/// Metadata that the gateway writes into a request to a server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ForwardMeta<'a> {
    /// Time left until the caller's deadline.
    pub time_left: Option<Duration>,
    /// Id of the intended server.
    pub instance: &'a str,
    /// Urgency from 0 (admitted first) to 9 (admitted last).
    pub urgency: Option<u8>,
    /// The adapter version that the server must run the request on.
    pub adapter_version: Option<u64>,
    /// Id of the last stream event that the caller received.
    pub last_event: Option<&'a str>,
    /// The organisation of the caller's key.
    pub organisation: Option<&'a str>,
    /// Removes the caller's credential, which servers must not see.
    pub withholds_key: bool,
}

/// Metadata read from a response's headers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMeta {
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// True if the response has a server signature.
    pub signed: bool,
    /// True if the server declares that it did not run the request.
    pub not_run: bool,
    /// The id of the server, if it names itself.
    pub instance: Option<String>,
    /// The request rate that the server accepts, in requests per second.
    pub limit: LimitHint,
    /// True if the server announces that it is leaving.
    pub leaving: bool,
    /// The rate of rejected requests, per second, that the server survives.
    pub brittle: LimitHint,
    /// How long to send nothing to the server, if it rejects the request.
    pub rest: BackoffHint,
}

/// The operation of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load a base model or an adapter.
    Load,
    /// Unload a base model or an adapter.
    Unload,
}

/// An order to a server to load or unload a base model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The operation.
    pub kind: OrderKind,
    /// The base model.
    pub model: Rc<str>,
    /// The adapter; `None` for the base model itself.
    pub adapter: Option<Rc<str>>,
    /// The version to load; `None` for the newest.
    pub version: Option<u64>,
    /// The daemon that sends the order and holds the claim.
    pub holder: Rc<str>,
    /// Fencing token of the claim.
    pub fence: u64,
    /// The server must have accepted exactly this many orders before; `None` for no condition.
    pub expected: Option<u64>,
}

/// A server's report of its own state at the time of the response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// Start of the reporting incarnation; see [`Backend::born`].
    pub born: Option<u64>,
    /// Number of orders accepted by this incarnation.
    pub orders_taken: u64,
    /// Loaded base models.
    pub models: Vec<Rc<str>>,
    /// Loaded adapters with their versions.
    pub held: Vec<(AdapterKey, u64)>,
    /// Adapters that are being loaded, with their versions.
    pub pending: Vec<(AdapterKey, u64)>,
    /// Number of running and queued requests.
    pub requests: u32,
}

/// A server's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Accepted,
    /// The requested state already holds.
    Holds,
    /// The server cannot take the order now, for example because another one is in progress.
    Busy,
    /// The server refused the order; sending it again does not help.
    Refused,
    /// A different server listens on the address.
    Elsewhere,
}

/// Displayed characters of a problem: it may quote text of another writer.
const MAX_MESSAGE_CHARS: usize = 160;

/// Error for a message that cannot be translated.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum DialectError {
    /// The message does not have the platform's format.
    #[snafu(display("{what}: {message:.MAX_MESSAGE_CHARS$}"))]
    Malformed {
        /// Names the message.
        what: String,
        /// Describes the problem.
        message: String,
    },
}

/// Translates between the platform's messages and the gateway's types.
pub trait Dialect {
    /// Key prefix to watch in the store; it covers every key that [`Dialect::key`] recognises.
    fn prefix(&self) -> &'static str;
    /// Returns what a key identifies.
    fn key(&self, key: &str) -> ItemKey;
    /// Decodes a value of the store; `None` if the gateway does not use it.
    fn item(&self, key: &str, value: &[u8]) -> Result<Option<Item>, DialectError>;
    /// Replaces callers' keys in a value of the store by digests. Only the result is stored locally and
    /// sent to other daemons.
    fn without_keys(&self, key: &str, value: Vec<u8>) -> Result<Vec<u8>, DialectError>;
    /// Decodes a request's headers.
    fn request(&self, headers: &HeaderMap) -> Result<RequestMeta, DialectError>;
    /// True for a request header that the gateway sets itself; `name` is in lower case.
    fn is_set_by_us(&self, name: &str) -> bool;
    /// True for the header that carries a caller's key.
    fn is_credential(&self, name: &str) -> bool;
    /// Appends the gateway's own headers of a request to a server.
    fn write_forward(&self, meta: &ForwardMeta<'_>, out: &mut Vec<u8>);
    /// Records a response header in `meta`.
    fn response_header(&self, name: &str, value: &str, meta: &mut ResponseMeta);
    /// Id of the last stream event that the caller received.
    fn last_event(&self, headers: &HeaderMap) -> Option<String>;
    /// Path of the readiness check.
    fn readiness_path(&self) -> &'static str;
    /// Path and body of an order.
    fn order(&self, order: &Order) -> (&'static str, Vec<u8>);
    /// Header and value that name the intended server of an order.
    fn order_target(&self, instance: &str) -> (&'static str, String);
    /// Path of a server's report.
    fn report_path(&self) -> &'static str;
    /// Decodes a server's report.
    fn report(&self, body: &[u8]) -> Result<ServerReport, DialectError>;
    /// Decodes the response status of an order.
    fn order_answer(&self, status: u16) -> OrderAnswer;
}
