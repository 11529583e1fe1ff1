//! The state of a node and the dispatch of its inputs.

use super::claims::PendingClaim;
use super::ownership::Ownership;
use super::releases::PendingRelease;
use super::reported_loads::ReportedLoads;
use super::takeovers::PendingTakeover;
use super::{Effect, Input, Tunables};
use crate::loads::{LoadPlanner, PlannerSelector};
use crate::membership::{Membership, Peer};
use crate::once::Keeper;
use crate::owner::{End, EngineOwner};
use crate::reserve::{Request, Token};
use crate::router::{PrefixMemory, View};
use crate::types::{EngineName, FenceMaker, Instance, NodeName, ReservationId, Time};
use crate::wire::{Message, SettingsMark};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Largest number of prompt prefixes stored by an entry node.
const PREFIX_CAPACITY: usize = 16_384;

/// The state machine that makes the decisions of one daemon.
#[derive(Debug, Clone)]
pub struct Node {
    pub(super) me: Instance,
    pub(super) fences: FenceMaker,
    pub(super) tunables: Tunables,
    pub(super) members: Membership,
    pub(super) view: View,
    pub(super) owners: BTreeMap<EngineName, EngineOwner>,
    pub(super) ownership: Ownership,
    pub(super) sent_holdings: BTreeMap<EngineName, u32>,
    pub(super) reported_loads: ReportedLoads,
    pub(super) pending_takeovers: BTreeMap<EngineName, PendingTakeover>,
    pub(super) planner: LoadPlanner,
    pub(super) planners: PlannerSelector,
    pub(super) keeper: Keeper,
    pub(super) requests: BTreeMap<Token, Request>,
    pub(super) reserving: BTreeMap<ReservationId, Token>,
    pub(super) started: BTreeSet<ReservationId>,
    pub(super) releases: BTreeMap<ReservationId, PendingRelease>,
    pub(super) claims: BTreeMap<Token, PendingClaim>,
    pub(super) prefixes: PrefixMemory,
    pub(super) rng: SmallRng,
    pub(super) mark: SettingsMark,
    pub(super) platform: bool,
    local: VecDeque<Message>,
}

impl Node {
    /// Creates a node that knows only itself.
    pub fn new(me: Peer, incarnation: u64, tunables: Tunables, seed: u64, now: Time) -> Self {
        let instance = Instance { node: me.node.clone(), incarnation };
        Self {
            keeper: Keeper::new(me.node.clone(), tunables.key_window),
            members: Membership::new(me, tunables.timing.clone(), now),
            planner: LoadPlanner::new(tunables.budget, now),
            planners: PlannerSelector::default(),
            fences: FenceMaker::new(&instance, now),
            me: instance,
            tunables,
            view: View::default(),
            owners: BTreeMap::new(),
            ownership: Ownership::default(),
            sent_holdings: BTreeMap::new(),
            reported_loads: ReportedLoads::default(),
            pending_takeovers: BTreeMap::new(),
            requests: BTreeMap::new(),
            reserving: BTreeMap::new(),
            started: BTreeSet::new(),
            releases: BTreeMap::new(),
            claims: BTreeMap::new(),
            prefixes: PrefixMemory::new(PREFIX_CAPACITY),
            rng: SmallRng::seed_from_u64(seed),
            mark: SettingsMark::default(),
            platform: false,
            local: VecDeque::new(),
        }
    }

    /// Handles an input and returns the effects to execute, in order.
    pub fn on(&mut self, now: Time, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        self.dispatch(now, input, &mut out);
        while let Some(body) = self.local.pop_front() {
            let from = self.me.clone();
            self.message(now, from, body, &mut out);
        }
        out
    }

    fn dispatch(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Servers(list) => self.take_servers(now, list, out),
            Input::Peers(peers) => self.members.seed(now, peers),
            Input::Listed(peers) => self.members.listed(now, peers),
            Input::Settings { mark, platform } => {
                self.mark = mark;
                self.platform = platform;
            }
            Input::Message { from, body } => self.message(now, from, body, out),
            Input::Engine { engine, event } => self.engine_event(now, &engine, event, out),
            Input::Begin { token, spec } => self.begin(now, token, spec, out),
            Input::NotRun { token, engine, id, missing } => {
                self.not_run(now, token, engine, id, missing, out);
            }
            Input::Finished { token, engine, id, ended } => {
                self.requests.remove(&token);
                self.release(now, engine, id, End::of(ended), out);
            }
            Input::Cancel(token) => self.cancel(now, token, out),
            Input::Claim { token, key } => self.claim(now, token, key, out),
            Input::FreeKey { token } => self.free_key(token, out),
            Input::KeepKey { token } => self.keep_key(token),
            Input::Leave => self.leave(now, out),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.heartbeat(now, out);
        self.update_owners(now, out);
        self.tick_owners(now, out);
        self.tick_takeovers(now, out);
        self.push_holdings(now, out);
        self.tick_requests(now, out);
        self.tick_releases(now, out);
        self.tick_claims(now, out);
        self.tick_planner(now, out);
    }

    fn message(&mut self, now: Time, from: Instance, body: Message, out: &mut Vec<Effect>) {
        match body {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, &from, heartbeat, out),
            Message::Loads(loads) => self.take_loads(now, &from.node, loads, out),
            Message::Holdings(holdings) => self.view.holdings(holdings),
            Message::HoldingsAsk(engine) => self.send_holdings(&from.node, &engine, out),
            Message::Reserve { engine, ask } => self.reserve(now, from, &engine, ask, out),
            Message::Answer(answer) => self.answer(now, from, &answer, out),
            Message::Release { engine, id, end } => {
                self.take_release(now, from, &engine, id, end, out);
            }
            Message::Released(id) => {
                self.releases.remove(&id);
            }
            Message::Takeover { engine, fence } => {
                self.takeover(now, from.node, engine, fence, out);
            }
            Message::TakeoverSeen { engine, fence } => {
                self.takeover_seen(from.node, &engine, fence);
            }
            Message::PermitAsk(ask) => self.permit_ask(now, from.node, ask, out),
            Message::PermitSeen(_) => self.planners.on_reply(&from.node),
            Message::PermitGrant(load) => self.permit_grant(now, from.node, load, out),
            Message::PermitDone(load) => self.permit_done(now, &load, out),
            Message::KeyClaim(claim) => self.key_claim(now, claim, out),
            Message::KeyCopy(claim) => self.key_copy(now, from.node, claim, out),
            Message::KeyCopied(reply) => self.key_copied(reply, out),
            Message::KeyReply(reply) => self.key_reply(now, &reply, out),
            Message::KeyFree(claim) => self.keeper.free(&claim),
        }
    }

    /// Sends a message. A message to this node itself is handled at the end of the same input.
    pub(super) fn send(&mut self, to: NodeName, body: Message, out: &mut Vec<Effect>) {
        if to == self.me.node {
            self.local.push_back(body);
            return;
        }
        out.push(Effect::Send { to, body });
    }

    /// Applies changed settings.
    pub fn set_tunables(&mut self, tunables: Tunables) {
        self.planner.set_budget(tunables.budget);
        self.keeper.set_window(tunables.key_window);
        for owner in self.owners.values_mut() {
            owner.retune(tunables.owner.clone());
        }
        self.tunables = tunables;
    }

    /// This daemon and its incarnation.
    pub fn me(&self) -> &Instance {
        &self.me
    }

    /// The parameters in force.
    pub fn tunables(&self) -> &Tunables {
        &self.tunables
    }

    /// The daemons of the cluster.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// The known state of the backend servers.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The engines this node owns.
    pub fn owners(&self) -> impl Iterator<Item = &EngineOwner> {
        self.owners.values()
    }
}
