//! Asks the dispatcher of a service on behalf of requests, and is it for other daemons.

use super::dispatcher::{Dispatcher, ServerSlots, SlotAnswer, SlotEnd, SlotReply, SlotRequest};
use super::whom::{DispatcherRoute, dispatchers_for};
use crate::gateway::admission::OrganisationHash;
use crate::gateway::arrivals::{ANSWER_TIMEOUT, CallId, PendingCalls, next_answer};
use crate::gateway::backpressure::tracker::Backpressure;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::fleet::message::PeerMessage;
use crate::gateway::fleet::messenger::Messenger;
use crate::gateway::fleet::view::FleetView;
use crate::gateway::regions::locality::Locality;
use crate::gateway::requests::caller::{RefusalReason, Refused};
use crate::gateway::selection::load::{LoadTable, server_hash};
use crate::types::Clock;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// Services with more slots have no dispatcher: there, servers chosen at random are nearly as evenly
/// filled, and one daemon could not answer for all.
const MOST_SLOTS: usize = 256;

/// What daemons tell each other of slots.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// To the dispatcher.
    Ask(SlotRequest),
    /// To the daemon that asked: its count, and the answer.
    Answer(u32, SlotAnswer),
    /// To the dispatcher: the service and the daemon's count of a request that has ended.
    Ended(u32, u32, SlotEnd),
}

/// What a request needs of a service.
#[derive(Debug, Clone)]
pub struct SlotRequirements {
    /// Whose request it is, if callers show keys.
    pub organisation: Option<OrganisationHash>,
    /// Within this it should be answered.
    pub time_left: Duration,
    /// Servers that have failed it.
    pub tried: Vec<u32>,
}

/// What slots hang on.
pub struct SlotDeps {
    /// The monotonic clock.
    pub clock: Rc<dyn Clock>,
    /// What is known of the fleet.
    pub view: Rc<RefCell<FleetView>>,
    /// Load of the servers.
    pub loads: Rc<LoadTable>,
    /// What servers say of how much they take.
    pub backpressure: Rc<Backpressure>,
    /// For datagrams.
    pub messenger: Rc<Messenger>,
    /// This daemon.
    pub me: DaemonInfo,
    /// Where it is.
    pub locality: Rc<Locality>,
    /// Those that may be dispatchers, kept up to date by others.
    pub daemons: Rc<RefCell<Daemons>>,
}

/// The slots of small services as one daemon sees them.
pub struct SlotService {
    parts: SlotDeps,
    dispatchers: RefCell<HashMap<u32, Dispatcher>>,
    asks: PendingCalls<SlotAnswer>,
}

impl SlotService {
    /// SlotService of which none is taken.
    pub fn new(parts: SlotDeps) -> Self {
        Self { parts, dispatchers: RefCell::default(), asks: PendingCalls::default() }
    }

    /// The servers of a service that take work, if it is small enough for a dispatcher, with their halls.
    fn servers(&self, service: u32) -> Option<Vec<(Rc<str>, ServerSlots)>> {
        let view = self.parts.view.borrow();
        let name = view.config()?.services.keys().find(|name| server_hash(name) == service)?;
        let open = view.open_backends(name);
        let servers: Vec<_> =
            open.map(|backend| (backend.hall.clone(), self.slots_of(backend))).collect();
        let all: usize = servers.iter().map(|(_, server)| server.slots).sum();
        (1..=MOST_SLOTS).contains(&all).then_some(servers)
    }

    fn slots_of(&self, backend: &Backend) -> ServerSlots {
        let (server, slots) = (backend.incarnation_hash(), backend.slots.max(1));
        ServerSlots { server, slots, limit: self.parts.backpressure.rule(server, false) }
    }

    /// Those whose slots this daemon gives out if it is asked: the ones of its region.
    fn dispatched(&self, service: u32) -> Option<Vec<ServerSlots>> {
        let regions = self.parts.locality.regions();
        let ours = |hall: &str| {
            !regions.is_multi_region() || regions.responsible_region(hall) == regions.own()
        };
        let servers = self.servers(service)?.into_iter();
        Some(servers.filter(|(hall, _)| ours(hall)).map(|(_, server)| server).collect())
    }

    /// DispatcherRoute to ask for a slot at a server that is not among `tried`; `None` for a service that has no
    /// dispatchers.
    fn whom(&self, service: u32, tried: &[u32]) -> Option<Vec<DispatcherRoute>> {
        let servers = self.servers(service)?.into_iter();
        let left = servers.filter(|(_, server)| !tried.contains(&server.server));
        let halls: Vec<Rc<str>> = left.map(|(hall, _)| hall).collect();
        let now = self.parts.clock.now();
        let fits = |daemon: &DaemonInfo| {
            !self.asks.is_avoided(now, daemon.address)
                && !self.parts.loads.is_hall_silent(&daemon.hall)
        };
        Some(dispatchers_for(
            service.into(),
            &self.parts.locality,
            &self.parts.daemons.borrow(),
            &halls,
            fits,
        ))
    }

    /// A slot for a request: `Ok(None)` if the service has no dispatcher that answers, and the daemon
    /// has to choose by itself. Where one region refuses, the next is asked while there is time.
    pub async fn take(
        self: &Rc<Self>,
        service: &str,
        need: SlotRequirements,
    ) -> Result<Option<SlotGuard>, Refused> {
        let service = server_hash(service);
        let began = self.parts.clock.now();
        let mut refused = None;
        for whom in self.whom(service, &need.tried).unwrap_or_default() {
            let passed = self.parts.clock.now().since(began);
            let left = need.time_left.saturating_sub(passed + whom.extra_round_trip);
            if refused.is_some() && left.is_zero() {
                break;
            }
            match self
                .ask(whom, service, SlotRequirements { time_left: left, ..need.clone() })
                .await
            {
                // A dispatcher that is silent says nothing against the one that refused.
                Ok(None) if refused.is_some() => break,
                Ok(slot) => return Ok(slot),
                Err(refusal) => {
                    refused.get_or_insert(refusal);
                }
            }
        }
        refused.map_or(Ok(None), Err)
    }

    async fn ask(
        self: &Rc<Self>,
        whom: DispatcherRoute,
        service: u32,
        need: SlotRequirements,
    ) -> Result<Option<SlotGuard>, Refused> {
        let DispatcherRoute { dispatcher, extra_round_trip } = whom;
        let (ask, mut answers) = self.asks.open();
        let left_ms = u32::try_from(need.time_left.as_millis()).unwrap_or(u32::MAX);
        let SlotRequirements { organisation, time_left: left, tried } = need;
        let question = SlotRequest { ask, service, organisation, left_ms, tried };
        // From here on the slot is given back, also if the caller leaves.
        let mut guard = SlotGuard {
            slots: self.clone(),
            dispatcher,
            service,
            ask,
            server: 0,
            end: Cell::new(Some(SlotEnd::Answered)),
        };
        self.send(dispatcher, SlotMessage::Ask(question));
        match last_answer(&mut answers, extra_round_trip, left).await {
            Some(SlotAnswer::Granted(server)) => {
                guard.server = server;
                Ok(Some(guard))
            }
            Some(SlotAnswer::Refused(millis)) => {
                guard.end.set(None);
                let after = Duration::from_millis(millis.into());
                Err(Refused::new(RefusalReason::Busy, Some(after)))
            }
            Some(SlotAnswer::Waits) | None => {
                self.asks.avoid(self.parts.clock.now(), dispatcher);
                Ok(None)
            }
        }
    }

    /// Tells a dispatcher how a request ended, in words that it knows.
    fn tell_end(&self, dispatcher: SocketAddr, service: u32, ask: u32, end: SlotEnd) {
        let knows_all = self.parts.daemons.borrow().enforces_limits(dispatcher);
        let end = if end == SlotEnd::Unsent && !knows_all { SlotEnd::Answered } else { end };
        self.send(dispatcher, SlotMessage::Ended(service, ask, end));
    }

    fn send(&self, to: SocketAddr, message: SlotMessage) {
        if to == self.parts.me.address {
            self.on_message(message, to);
        } else {
            self.parts.messenger.send(&PeerMessage::Slots(message), to);
        }
    }

    /// Takes in a message of another daemon, or of this one.
    pub fn on_message(&self, message: SlotMessage, from: SocketAddr) {
        let now = self.parts.clock.now();
        match message {
            SlotMessage::Ask(ask) => {
                // Who does not know the servers leaves the asking daemon to itself.
                let Some(servers) = self.dispatched(ask.service) else { return };
                let orders = {
                    let mut dispatchers = self.dispatchers.borrow_mut();
                    let dispatcher = dispatchers.entry(ask.service).or_default();
                    dispatcher.set_servers(now, servers);
                    dispatcher.ask(now, from, ask)
                };
                self.carry_out(orders);
            }
            SlotMessage::Answer(ask, answer) => self.asks.answer(ask, answer),
            SlotMessage::Ended(service, ask, end) => {
                let orders = {
                    let mut dispatchers = self.dispatchers.borrow_mut();
                    let Some(dispatcher) = dispatchers.get_mut(&service) else { return };
                    dispatcher.ended(now, CallId { from, call: ask }, end)
                };
                self.carry_out(orders);
            }
        }
    }

    fn carry_out(&self, orders: Vec<SlotReply>) {
        for (id, answer) in orders {
            self.send(id.from, SlotMessage::Answer(id.call, answer));
        }
    }

    /// Lets those wait no longer that cannot be in time, and frees slots whose end was never told.
    pub fn tick(&self) {
        let now = self.parts.clock.now();
        let orders: Vec<SlotReply> = {
            let mut dispatchers = self.dispatchers.borrow_mut();
            dispatchers.values_mut().flat_map(|dispatcher| dispatcher.tick(now)).collect()
        };
        self.carry_out(orders);
    }
}

/// What a dispatcher says in the end; `None` if it falls silent.
async fn last_answer(
    answers: &mut UnboundedReceiver<SlotAnswer>,
    extra_round_trip: Duration,
    left: Duration,
) -> Option<SlotAnswer> {
    let patience = ANSWER_TIMEOUT + extra_round_trip;
    let first = next_answer(answers, patience).await?;
    if first != SlotAnswer::Waits {
        return Some(first);
    }
    next_answer(answers, left + patience).await
}

/// A slot that a request has; given back when dropped.
pub struct SlotGuard {
    slots: Rc<SlotService>,
    dispatcher: SocketAddr,
    service: u32,
    ask: u32,
    /// The server, by its mark.
    pub server: u32,
    /// How the request ended; `None` if there is nothing to give back.
    end: Cell<Option<SlotEnd>>,
}

impl SlotGuard {
    /// Takes note of how the request ended.
    pub fn ended(&self, end: SlotEnd) {
        self.end.set(Some(end));
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.slots.asks.close(self.ask);
        if let Some(end) = self.end.get() {
            self.slots.tell_end(self.dispatcher, self.service, self.ask, end);
        }
    }
}
