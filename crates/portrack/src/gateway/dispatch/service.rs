//! Requests slots from the dispatcher of a service, and acts as the dispatcher for other daemons.

use super::dispatcher::{Dispatcher, ServerSlots, SlotAnswer, SlotEnd, SlotReply, SlotRequest};
use super::routing::{DispatcherRoute, dispatchers_for};
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

/// Maximum number of slots of a service with a dispatcher. In larger services, random choice loads the
/// servers almost as evenly, and a single daemon could not handle all requests.
const MAX_SLOTS: usize = 256;

/// Messages between daemons about slots.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// Request to the dispatcher.
    Ask(SlotRequest),
    /// Answer to the daemon that asked, with the call number of its request.
    Answer(u32, SlotAnswer),
    /// Report to the dispatcher that a request has ended: the service, the call number, and how it ended.
    Ended(u32, u32, SlotEnd),
}

/// The requirements of a request on a slot.
#[derive(Debug, Clone)]
pub struct SlotRequirements {
    /// The organisation that the request belongs to, if callers use keys.
    pub organisation: Option<OrganisationHash>,
    /// Time within which it should be answered.
    pub time_left: Duration,
    /// Hashes of the servers that must not get it, such as those that have failed it.
    pub tried: Vec<u32>,
}

/// Dependencies of [`SlotService`].
pub struct SlotDeps {
    /// The monotonic clock.
    pub clock: Rc<dyn Clock>,
    /// This daemon's view of the fleet.
    pub view: Rc<RefCell<FleetView>>,
    /// Load of the servers.
    pub loads: Rc<LoadTable>,
    /// Rate limits and backoffs that servers have announced.
    pub backpressure: Rc<Backpressure>,
    /// Sends the datagrams.
    pub messenger: Rc<Messenger>,
    /// This daemon.
    pub me: DaemonInfo,
    /// The daemon's data hall and region.
    pub locality: Rc<Locality>,
    /// The daemons that are eligible as dispatchers, kept up to date by other components.
    pub daemons: Rc<RefCell<Daemons>>,
}

/// Slot requests of one daemon, and the dispatchers that it runs for others.
pub struct SlotService {
    deps: SlotDeps,
    dispatchers: RefCell<HashMap<u32, Dispatcher>>,
    calls: PendingCalls<SlotAnswer>,
}

impl SlotService {
    /// Creates a service without taken slots.
    pub fn new(deps: SlotDeps) -> Self {
        Self { deps, dispatchers: RefCell::default(), calls: PendingCalls::default() }
    }

    /// The servers of a service that accept requests, with their data halls; `None` if the service is too
    /// large for a dispatcher or has no servers.
    fn servers(&self, service: u32) -> Option<Vec<(Rc<str>, ServerSlots)>> {
        let view = self.deps.view.borrow();
        let name = view.config()?.services.keys().find(|name| server_hash(name) == service)?;
        let open = view.open_backends(name);
        let servers: Vec<_> =
            open.map(|backend| (backend.hall.clone(), self.server_slots(backend))).collect();
        let all: usize = servers.iter().map(|(_, server)| server.slots).sum();
        (1..=MAX_SLOTS).contains(&all).then_some(servers)
    }

    fn server_slots(&self, backend: &Backend) -> ServerSlots {
        let (server, slots) = (backend.incarnation_hash(), backend.slots.max(1));
        let is_brittle = self.deps.backpressure.is_brittle(server);
        ServerSlots { server, slots, limit: self.deps.backpressure.rule(server, false), is_brittle }
    }

    /// The servers of a service that this daemon dispatches to: those of its own region.
    fn own_servers(&self, service: u32) -> Option<Vec<ServerSlots>> {
        let regions = self.deps.locality.regions();
        let is_own = |hall: &str| {
            !regions.is_multi_region() || regions.responsible_region(hall) == regions.own()
        };
        let servers = self.servers(service)?.into_iter();
        Some(servers.filter(|(hall, _)| is_own(hall)).map(|(_, server)| server).collect())
    }

    /// The dispatchers to ask for a slot at a server that is not in `tried`; `None` if the service has no
    /// dispatchers.
    fn routes(&self, service: u32, tried: &[u32]) -> Option<Vec<DispatcherRoute>> {
        let servers = self.servers(service)?.into_iter();
        let left = servers.filter(|(_, server)| !tried.contains(&server.server));
        let halls: Vec<Rc<str>> = left.map(|(hall, _)| hall).collect();
        let now = self.deps.clock.now();
        let is_eligible = |daemon: &DaemonInfo| {
            !self.calls.is_avoided(now, daemon.address)
                && !self.deps.loads.is_hall_silent(&daemon.hall)
        };
        Some(dispatchers_for(
            service.into(),
            &self.deps.locality,
            &self.deps.daemons.borrow(),
            &halls,
            is_eligible,
        ))
    }

    /// Takes a slot for a request. Returns `Ok(None)` if no dispatcher of the service answers, and the
    /// daemon has to select a server by itself. If one region refuses, the next one is asked while
    /// there is time left.
    pub async fn take(
        self: &Rc<Self>,
        service: &str,
        requirements: SlotRequirements,
    ) -> Result<Option<SlotGuard>, Refused> {
        let service = server_hash(service);
        let started_at = self.deps.clock.now();
        let mut first_refusal = None;
        for route in self.routes(service, &requirements.tried).unwrap_or_default() {
            let elapsed = self.deps.clock.now().since(started_at);
            let left = requirements.time_left.saturating_sub(elapsed + route.extra_round_trip);
            if first_refusal.is_some() && left.is_zero() {
                break;
            }
            match self
                .ask(route, service, SlotRequirements { time_left: left, ..requirements.clone() })
                .await
            {
                // A dispatcher that does not answer does not override an earlier refusal.
                Ok(None) if first_refusal.is_some() => break,
                Ok(slot) => return Ok(slot),
                Err(refusal) => {
                    first_refusal.get_or_insert(refusal);
                }
            }
        }
        first_refusal.map_or(Ok(None), Err)
    }

    async fn ask(
        self: &Rc<Self>,
        route: DispatcherRoute,
        service: u32,
        requirements: SlotRequirements,
    ) -> Result<Option<SlotGuard>, Refused> {
        let DispatcherRoute { dispatcher, extra_round_trip } = route;
        let (ask, mut answers) = self.calls.open();
        let left_ms = u32::try_from(requirements.time_left.as_millis()).unwrap_or(u32::MAX);
        let SlotRequirements { organisation, time_left: left, tried } = requirements;
        let request = SlotRequest { ask, service, organisation, left_ms, tried };
        // From here on the slot is released on drop, also if the caller disconnects.
        let mut guard = SlotGuard {
            slots: self.clone(),
            dispatcher,
            service,
            ask,
            server: 0,
            end: Cell::new(Some(SlotEnd::Answered)),
        };
        self.send(dispatcher, SlotMessage::Ask(request));
        match final_answer(&mut answers, extra_round_trip, left).await {
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
                self.calls.avoid(self.deps.clock.now(), dispatcher);
                Ok(None)
            }
        }
    }

    /// Reports to a dispatcher how a request ended. `Unsent` is replaced for dispatchers that do not know it.
    fn report_end(&self, dispatcher: SocketAddr, service: u32, ask: u32, end: SlotEnd) {
        let supports_unsent = self.deps.daemons.borrow().enforces_limits(dispatcher);
        let end = if end == SlotEnd::Unsent && !supports_unsent { SlotEnd::Answered } else { end };
        self.send(dispatcher, SlotMessage::Ended(service, ask, end));
    }

    fn send(&self, to: SocketAddr, message: SlotMessage) {
        if to == self.deps.me.address {
            self.on_message(message, to);
        } else {
            self.deps.messenger.send(&PeerMessage::Slots(message), to);
        }
    }

    /// Handles a message of another daemon, or of this one.
    pub fn on_message(&self, message: SlotMessage, from: SocketAddr) {
        let now = self.deps.clock.now();
        match message {
            SlotMessage::Ask(ask) => {
                // Without knowledge of the servers there is no answer, and the asking daemon selects a
                // server by itself.
                let Some(servers) = self.own_servers(ask.service) else { return };
                let replies = {
                    let mut dispatchers = self.dispatchers.borrow_mut();
                    let dispatcher = dispatchers.entry(ask.service).or_default();
                    dispatcher.set_servers(now, servers);
                    dispatcher.ask(now, from, ask)
                };
                self.send_replies(replies);
            }
            SlotMessage::Answer(ask, answer) => self.calls.answer(ask, answer),
            SlotMessage::Ended(service, ask, end) => {
                let replies = {
                    let mut dispatchers = self.dispatchers.borrow_mut();
                    let Some(dispatcher) = dispatchers.get_mut(&service) else { return };
                    dispatcher.ended(now, CallId { from, call: ask }, end)
                };
                self.send_replies(replies);
            }
        }
    }

    fn send_replies(&self, replies: Vec<SlotReply>) {
        for (id, answer) in replies {
            self.send(id.from, SlotMessage::Answer(id.call, answer));
        }
    }

    /// Refuses waiting requests that can no longer be answered in time, and frees slots whose end was
    /// never reported.
    pub fn tick(&self) {
        let now = self.deps.clock.now();
        let replies: Vec<SlotReply> = {
            let mut dispatchers = self.dispatchers.borrow_mut();
            dispatchers.values_mut().flat_map(|dispatcher| dispatcher.tick(now)).collect()
        };
        self.send_replies(replies);
    }
}

/// The final answer of a dispatcher; `None` if it stops answering.
async fn final_answer(
    answers: &mut UnboundedReceiver<SlotAnswer>,
    extra_round_trip: Duration,
    left: Duration,
) -> Option<SlotAnswer> {
    let timeout = ANSWER_TIMEOUT + extra_round_trip;
    let first = next_answer(answers, timeout).await?;
    if first != SlotAnswer::Waits {
        return Some(first);
    }
    next_answer(answers, left + timeout).await
}

/// A slot taken by a request; released on drop.
pub struct SlotGuard {
    slots: Rc<SlotService>,
    dispatcher: SocketAddr,
    service: u32,
    ask: u32,
    /// The server's hash.
    pub server: u32,
    /// How the request ended; `None` if there is nothing to release.
    end: Cell<Option<SlotEnd>>,
}

impl SlotGuard {
    /// Records how the request ended.
    pub fn ended(&self, end: SlotEnd) {
        self.end.set(Some(end));
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.slots.calls.close(self.ask);
        if let Some(end) = self.end.get() {
            self.slots.report_end(self.dispatcher, self.service, self.ask, end);
        }
    }
}
