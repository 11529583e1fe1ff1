//! The daemon's shared state; feeds inputs to the node and executes its effects.

use super::leases::Leases;
use super::metrics::Metrics;
use super::peers::Link;
use crate::engine::EngineClient;
use crate::http1::MalformedResponses;
use crate::http1::bounds::{MAX_PLAIN_BYTES, MAX_PLAIN_TOTAL_BYTES};
use crate::http1::collected::BodyMemory;
use crate::limits::{Breakers, RetryBudget};
use crate::node::{Effect, Input, Node, Tunables};
use crate::reserve::{Grant, Token};
use crate::router::BackendServer;
use crate::settings::{Book, Bootstrap, Effective, Operators, Place, Store};
use crate::store::{Etcd, Kv};
use crate::types::{AdapterVersion, Clock, EngineName, InFlight, Reason, Refusal, Time};
use crate::wire::KeyVerdict;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// A signal to a waiting request.
#[derive(Debug)]
pub enum Signal {
    /// Start with this grant.
    Start(Grant),
    /// Stop with this refusal.
    GiveUp(Refusal),
    /// The claim of the idempotency key has ended; a granted key must be used before the time.
    Key(KeyVerdict, Time),
}

/// State shared by all tasks of a daemon, on one thread.
pub struct Core {
    pub bootstrap: Bootstrap,
    pub clock: Rc<dyn Clock>,
    pub node: RefCell<Node>,
    pub base: Tunables,
    pub book: RefCell<Book>,
    pub etcd: Etcd,
    pub store: Store,
    pub engines: EngineClient,
    pub malformed: MalformedResponses,
    pub body_memory: BodyMemory,
    pub leases: Leases,
    pub link: Link,
    pub operators: Operators,
    pub metrics: Metrics,
    pub in_flight: InFlight,
    pub breakers: RefCell<Breakers>,
    pub retries: RefCell<RetryBudget>,
    pub ready: Cell<bool>,
    pub leaving: Cell<bool>,
    /// When a planned stop ends, once it sends only requests that are answered before that.
    pub stop_ends_at: Cell<Option<Time>>,
    pub platform_seen: Cell<Option<Time>>,
    pub seen_revision: Cell<u64>,
    waiting: RefCell<HashMap<Token, UnboundedSender<Signal>>>,
    next_token: Cell<u64>,
}

/// Dependencies of a [`Core`].
pub struct CoreDeps {
    pub bootstrap: Bootstrap,
    pub clock: Rc<dyn Clock>,
    pub node: Node,
    pub base: Tunables,
    pub link: Link,
    pub operators: Operators,
}

impl Core {
    pub fn new(parts: CoreDeps) -> Rc<Self> {
        let CoreDeps { bootstrap, clock, node, base, link, operators } = parts;
        let metrics = Metrics::new();
        let malformed = MalformedResponses::new(metrics.malformed_responses.clone());
        let etcd = Etcd::recording(bootstrap.platform.key_value.clone(), malformed.clone());
        let kv: Rc<dyn Kv> = Rc::new(etcd.clone());
        let store = Store::new(kv.clone(), bootstrap.platform.prefix.clone());
        let owner = bootstrap.node.to_string();
        let leases = Leases::new(kv, bootstrap.platform.prefix.clone(), owner);
        let share = Effective::of([]).retry_budget();
        Rc::new(Self {
            bootstrap,
            clock,
            node: RefCell::new(node),
            base,
            book: RefCell::default(),
            etcd,
            store,
            engines: EngineClient::new(&malformed),
            malformed,
            body_memory: BodyMemory::new(MAX_PLAIN_BYTES, MAX_PLAIN_TOTAL_BYTES),
            leases,
            link,
            operators,
            metrics,
            in_flight: InFlight::default(),
            breakers: RefCell::default(),
            retries: RefCell::new(RetryBudget::new(share)),
            ready: Cell::new(false),
            leaving: Cell::new(false),
            stop_ends_at: Cell::new(None),
            platform_seen: Cell::new(None),
            seen_revision: Cell::new(0),
            waiting: RefCell::default(),
            next_token: Cell::new(1),
        })
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Refuses a request if a planned stop may end before its answer. `answered_by` is the latest end of that;
    /// `None` if it has no bound.
    pub fn check_stop(&self, answered_by: Option<Time>) -> Result<(), Refusal> {
        let Some(end) = self.stop_ends_at.get() else { return Ok(()) };
        match answered_by.is_some_and(|answered| answered <= end) {
            true => Ok(()),
            false => Err(Refusal::not_run(Reason::NoBackend, "the node is stopping")),
        }
    }

    /// Milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
    }

    /// Feeds an input to the node and executes its effects.
    pub fn feed(self: &Rc<Self>, input: Input) {
        let began = Instant::now();
        let effects = self.node.borrow_mut().on(self.now(), input);
        for effect in effects {
            self.execute(effect);
        }
        let spent = u64::try_from(began.elapsed().as_micros()).unwrap_or(0);
        self.metrics.control_cpu.inc_by(spent);
    }

    fn execute(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send { to, body } => self.send(&to, body),
            Effect::Engine { engine, task } => self.engine_task(engine, task),
            Effect::Start { token, grant } => self.signal(token, Signal::Start(grant)),
            Effect::GiveUp { token, refusal } => self.signal(token, Signal::GiveUp(refusal)),
            Effect::KeySettled { token, verdict, use_by } => {
                self.signal(token, Signal::Key(verdict, use_by));
            }
        }
    }

    fn signal(&self, token: Token, signal: Signal) {
        if let Some(waiting) = self.waiting.borrow().get(&token) {
            let _ = waiting.send(signal);
        }
    }

    /// Creates a token and the receiver of its signals.
    pub fn open_token(&self) -> (Token, UnboundedReceiver<Signal>) {
        let token = Token(self.next_token.get());
        self.next_token.set(token.0 + 1);
        let (sender, receiver) = unbounded_channel();
        self.waiting.borrow_mut().insert(token, sender);
        (token, receiver)
    }

    /// Removes a token.
    pub fn close_token(&self, token: Token) {
        self.waiting.borrow_mut().remove(&token);
    }

    /// The effective settings of a service in this hall.
    pub fn effective(&self, service: Option<&str>) -> Effective {
        let hall = Some(self.bootstrap.hall.to_string());
        let service = service.map(str::to_owned);
        self.book.borrow().effective(&Place { hall, class: None, service })
    }

    /// Returns a backend server's entry in the node list.
    pub fn server(&self, name: &EngineName) -> Option<BackendServer> {
        self.node.borrow().view().engine(name).map(|state| state.server.clone())
    }

    /// The location of an adapter in the weight store.
    pub fn weights(&self, adapter: &AdapterVersion) -> Option<String> {
        let book = self.book.borrow();
        let spec = book.adapters().get(&adapter.adapter)?;
        Some(spec.versions.get(&adapter.version)?.weights.clone())
    }

    /// Records that the key-value service has responded.
    pub fn record_platform_response(&self) {
        self.platform_seen.set(Some(self.now()));
    }

    /// Updates all state that is derived from the settings.
    pub fn settings_changed(&self) {
        let effective = self.effective(None);
        self.node.borrow_mut().set_tunables(effective.tunables(&self.base));
        self.retries.borrow_mut().set_share(effective.retry_budget());
        let revision = self.book.borrow().mark().revision;
        self.metrics.settings_revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
    }
}
