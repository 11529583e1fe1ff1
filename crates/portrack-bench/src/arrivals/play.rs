//! One play: nodes, granters, servers and the messages between them.

use super::engine::{Engine, PACE};
use super::ways::{LEASE_MS, LEASE_TOKENS, Way};
use portrack::Time;
use portrack::gateway::{
    CallId, ColdBound, ColdRule, ColdStart, FallbackShares, GrantAnswer, GrantEnd, GrantReply,
    GrantRequest, Granter, PrefillRate, ServerRule,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

const LENGTH_MS: u64 = 12_000;
/// When the trouble is there.
const TROUBLED: std::ops::Range<u64> = 4_000..9_000;
/// Requests a second at a server that reads, and at a cold one that everybody wants.
const READ_PER_S: f64 = 7.0;
const COLD_PER_S: f64 = 30.0;
/// A wait that is not worth asking the other server, and how long an answer is waited for.
const SHORT_WAIT_MS: u32 = 20;
const PATIENCE_MS: u64 = 60;
/// Of twenty servers one is cold.
const COLD_EACH: usize = 20;

/// What happens in a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    Calm,
    Lossy,
    Cut,
    Split,
    Restarts,
}

impl Trouble {
    pub const ALL: [Self; 5] = [Self::Calm, Self::Lossy, Self::Cut, Self::Split, Self::Restarts];

    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "none",
            Self::Lossy => "5% of messages lost, doubled, up to 300 ms late each",
            Self::Cut => "three of ten nodes reach no granter",
            Self::Split => "two granters a server",
            Self::Restarts => "granters start again each second",
        }
    }
}

/// What came of a play.
pub struct Judged {
    pub most_cold: usize,
    pub median_wait: f64,
    pub p99_wait: f64,
    pub pauses: f64,
    pub messages: f64,
}

enum Event {
    Ask(usize, GrantRequest, usize),
    Answer(u32, GrantAnswer),
    Ended(usize, u32, GrantEnd),
    Arrive(u32),
    Patience(u32),
}

struct Request {
    node: usize,
    tokens: u32,
    at: u64,
    servers: [usize; 2],
    /// Asked so far: by ask, the granter and its server.
    asks: Vec<(u32, usize, usize)>,
    answered: bool,
    sent: Option<usize>,
}

/// One play.
pub struct Play {
    nodes: usize,
    way: Way,
    trouble: Trouble,
    random: SmallRng,
    engines: Vec<Engine>,
    granters: Vec<Granter>,
    shares: Vec<FallbackShares>,
    pace: PrefillRate,
    requests: Vec<Request>,
    asks: HashMap<u32, usize>,
    leases: HashMap<(usize, usize), (u64, u32)>,
    told: Vec<usize>,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    pending: Vec<Option<Event>>,
    cold_arrivals: BTreeMap<usize, Vec<u64>>,
    waits: Vec<f64>,
    messages: u64,
}

fn address(node: usize) -> SocketAddr {
    let [.., high, low] = node.to_be_bytes();
    ([10, 0, high, low], 7_000).into()
}

fn is_cold(server: usize) -> bool {
    server.is_multiple_of(COLD_EACH)
}

fn rule(server: usize) -> ServerRule {
    let start = ColdStart { duration: Duration::from_secs(3), per_second: 8.5 };
    let bound = ColdBound::new(&start, 1.5, 5.0);
    ServerRule {
        cold: Some(ColdRule { bound, cold: is_cold(server), is_stand_in: false }),
        limit: None,
    }
}

impl Play {
    /// A play of as many servers as the users' largest site has for its nodes.
    pub fn new(nodes: usize, way: Way, trouble: Trouble, seed: u64) -> Self {
        let servers = (nodes * 3 / 2).max(4);
        let mut shares = FallbackShares::new(Time(0));
        shares.update_daemons(Time(0), (0..nodes).map(address));
        Self {
            nodes,
            way,
            trouble,
            random: SmallRng::seed_from_u64(seed),
            engines: (0..servers).map(|_| Engine::default()).collect(),
            granters: (0..servers * 2).map(|_| Granter::new(Time(0))).collect(),
            shares: vec![shares; nodes],
            pace: PrefillRate::default(),
            requests: Vec::new(),
            asks: HashMap::new(),
            leases: HashMap::new(),
            told: vec![0; servers],
            events: BinaryHeap::new(),
            pending: Vec::new(),
            cold_arrivals: BTreeMap::new(),
            waits: Vec::new(),
            messages: 0,
        }
    }

    fn is_troubled(&self, now: u64, trouble: Trouble) -> bool {
        self.trouble == trouble && TROUBLED.contains(&now)
    }

    fn at(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.pending.len())));
        self.pending.push(Some(event));
    }

    /// A datagram between a node and the granters: lost, doubled or late in some troubles.
    fn tell(&mut self, now: u64, node: usize, make: impl Fn() -> Event) {
        self.messages += 1;
        let lossy = self.is_troubled(now, Trouble::Lossy);
        let mut luck = || lossy && self.random.random::<f64>() < 0.05;
        let (lost, twice, late) = (luck(), luck(), luck());
        if lost || (self.is_troubled(now, Trouble::Cut) && node % 10 < 3) {
            return;
        }
        for _ in 0..1 + usize::from(twice) {
            let late = if late { self.random.random_range(20..300) } else { 0 };
            let way = self.random.random_range(1..4);
            self.at(now + way + late, make());
        }
    }

    /// Plays it.
    pub fn run(mut self) -> Judged {
        for now in 0..LENGTH_MS {
            self.demand(now);
            if now.is_multiple_of(300) {
                self.told = self.engines.iter().map(|engine| engine.running).collect();
            }
            if self.is_troubled(now, Trouble::Restarts) && now.is_multiple_of(20) {
                let granter = (now as usize / 20 * 7) % self.granters.len();
                self.granters[granter] = Granter::new(Time(now));
            }
            while self.events.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                let Some(Reverse((_, place))) = self.events.pop() else { break };
                if let Some(event) = self.pending[place].take() {
                    self.on(now, event);
                }
            }
            for server in 0..self.engines.len() {
                for request in self.engines[server].until(now as f64) {
                    self.read(now, server, request);
                }
            }
            if now.is_multiple_of(20) {
                for granter in 0..self.granters.len() {
                    let rule = rule(granter / 2);
                    let orders = self.granters[granter].tick(Time(now), &rule, PACE);
                    self.answer(now, orders);
                }
            }
        }
        self.judged()
    }

    fn demand(&mut self, now: u64) {
        for server in 0..self.engines.len() {
            let rate = if is_cold(server) { COLD_PER_S } else { READ_PER_S };
            if self.random.random::<f64>() >= rate / 1_000.0 {
                continue;
            }
            let tokens = (200.0 - 900.0 * self.random.random::<f64>().max(0.02).ln()) as u32;
            let tokens = if is_cold(server) { 1 } else { tokens };
            let other = match self.random.random_range(0..self.engines.len()) {
                _ if is_cold(server) => server,
                other if is_cold(other) => other + 1,
                other => other,
            };
            let node = self.random.random_range(0..self.nodes);
            let servers = [server, other];
            let (asks, answered, sent) = (Vec::new(), false, None);
            self.requests.push(Request { node, tokens, at: now, servers, asks, answered, sent });
            self.begin(now, self.requests.len() - 1);
        }
    }

    fn begin(&mut self, now: u64, request: usize) {
        let Request { node, tokens, servers, .. } = self.requests[request];
        match self.way {
            Way::Late => {
                let best = servers.into_iter().min_by_key(|server| self.told[*server]);
                self.send(now, request, best.unwrap_or(servers[0]));
            }
            Way::Leases => {
                for server in servers {
                    let lease = self.leases.get_mut(&(node, server));
                    let lease = lease.filter(|(until, left)| now < *until && *left >= tokens);
                    if let Some((_, left)) = lease.filter(|_| !is_cold(server)) {
                        *left -= tokens;
                        return self.send(now, request, server);
                    }
                }
                self.ask(now, request, servers[0]);
            }
            Way::Grants => self.ask(now, request, servers[0]),
        }
    }

    fn ask(&mut self, now: u64, request: usize, server: usize) {
        let ask = self.asks.len() as u32;
        self.asks.insert(ask, request);
        let Request { node, tokens, .. } = self.requests[request];
        let second = self.is_troubled(now, Trouble::Split) && node.is_multiple_of(2);
        let granter = server * 2 + usize::from(second);
        self.requests[request].asks.push((ask, granter, server));
        let tokens = if self.way == Way::Leases { tokens.max(LEASE_TOKENS) } else { tokens };
        let question = GrantRequest {
            ask,
            server: server as u32,
            organisation: None,
            tokens,
            priority: 0,
            left_ms: 700,
            most_ms: 2_200,
            gap_ms: if is_cold(server) { 0 } else { 300 },
            event_ms: 33,
            limit: None,
        };
        self.tell(now, node, || Event::Ask(granter, question.clone(), node));
        self.at(now + PATIENCE_MS, Event::Patience(ask));
    }

    fn on(&mut self, now: u64, event: Event) {
        match event {
            Event::Ask(granter, ask, node) => {
                let from = address(node);
                let rule = rule(granter / 2);
                let orders = self.granters[granter].ask(Time(now), from, ask, &rule, PACE);
                self.answer(now, orders);
            }
            Event::Answer(ask, answer) => self.answered(now, ask, answer),
            Event::Ended(granter, ask, end) => {
                let from = address(self.requests[self.asks[&ask]].node);
                let (id, rule) = (CallId { from, call: ask }, rule(granter / 2));
                let pace = &mut self.pace;
                let orders = self.granters[granter].ended(Time(now), id, end, &rule, pace);
                self.answer(now, orders);
            }
            Event::Arrive(request) => self.arrive(now, request as usize),
            Event::Patience(ask) => self.patience(now, ask),
        }
    }

    fn answer(&mut self, now: u64, orders: Vec<GrantReply>) {
        for (id, answer) in orders {
            let node = self.requests[self.asks[&id.call]].node;
            self.tell(now, node, || Event::Answer(id.call, answer));
        }
    }

    fn answered(&mut self, now: u64, ask: u32, answer: GrantAnswer) {
        let request = self.asks[&ask];
        let Some((_, granter, server)) = self.asked(request, ask) else { return };
        self.requests[request].answered = true;
        if self.requests[request].sent.is_some() {
            return;
        }
        match answer {
            GrantAnswer::Granted(_) => {
                let Request { node, tokens, .. } = self.requests[request];
                if self.way == Way::Leases {
                    let left = LEASE_TOKENS.saturating_sub(tokens);
                    self.leases.insert((node, server), (now + LEASE_MS, left));
                }
                self.give_back(now, request, Some(granter));
                self.send(now, request, server);
            }
            GrantAnswer::Waits(wait) if wait > SHORT_WAIT_MS => self.ask_other(now, request),
            GrantAnswer::Waits(_) => {}
            GrantAnswer::Refused(_) => self.ask_other(now, request),
        }
    }

    fn asked(&self, request: usize, ask: u32) -> Option<(u32, usize, usize)> {
        self.requests[request].asks.iter().copied().find(|asked| asked.0 == ask)
    }

    fn ask_other(&mut self, now: u64, request: usize) {
        let Request { servers, ref asks, .. } = self.requests[request];
        if asks.len() == 1 && servers[0] != servers[1] {
            self.ask(now, request, servers[1]);
        }
    }

    /// Gives back what other granters may have given.
    fn give_back(&mut self, now: u64, request: usize, but: Option<usize>) {
        let node = self.requests[request].node;
        for (ask, granter, _) in self.requests[request].asks.clone() {
            if Some(granter) != but {
                self.tell(now, node, || Event::Ended(granter, ask, GrantEnd::Unsent));
            }
        }
    }

    fn patience(&mut self, now: u64, ask: u32) {
        let request = self.asks[&ask];
        let Request { node, answered, sent, ref asks, .. } = self.requests[request];
        if answered || sent.is_some() || asks.len() > 1 {
            return;
        }
        let Some((_, _, server)) = self.asked(request, ask) else { return };
        self.give_back(now, request, None);
        self.requests[request].asks.clear();
        let share = &mut self.shares[node];
        let ours = share.is_sharer(server as u32, address(node), 2);
        if !is_cold(server) || (ours && share.take(Time(now), server as u32)) {
            self.send(now, request, server);
        }
    }

    fn send(&mut self, now: u64, request: usize, server: usize) {
        self.requests[request].sent = Some(server);
        self.at(now + 1, Event::Arrive(request as u32));
    }

    fn arrive(&mut self, now: u64, request: usize) {
        let Request { tokens, sent, .. } = self.requests[request];
        let Some(server) = sent else { return };
        if is_cold(server) {
            self.cold_arrivals.entry(server).or_default().push(now);
        }
        self.engines[server].arrive(request, tokens);
    }

    fn read(&mut self, now: u64, server: usize, request: usize) {
        let Request { node, tokens, at, .. } = self.requests[request];
        if !is_cold(server) {
            self.waits.push(((now - at) as f64 - f64::from(tokens) / PACE).max(0.0));
        }
        let asked = self.requests[request].asks.iter().find(|asked| asked.2 == server);
        if let Some((ask, granter, _)) = asked.copied() {
            self.tell(now, node, || Event::Ended(granter, ask, GrantEnd::Begun(50)));
        }
    }

    fn judged(mut self) -> Judged {
        let most = self.cold_arrivals.values().flat_map(|arrived| {
            let within =
                |at: &u64| arrived.iter().filter(|other| (*at..at + 1_000).contains(other)).count();
            arrived.iter().map(within)
        });
        let most_cold = most.max().unwrap_or(0);
        self.waits.sort_by(f64::total_cmp);
        let at = |share: f64| self.waits[(self.waits.len() as f64 * share) as usize];
        let warm = self.engines.iter().enumerate().filter(|(server, _)| !is_cold(*server));
        let (events, pauses) = warm
            .fold((0, 0), |sum, (_, engine)| (sum.0 + engine.events.0, sum.1 + engine.events.1));
        let seconds = LENGTH_MS as f64 / 1_000.0;
        Judged {
            most_cold,
            median_wait: at(0.5),
            p99_wait: at(0.99),
            pauses: pauses as f64 * 1_000.0 / events as f64,
            messages: self.messages as f64 / seconds / self.nodes as f64,
        }
    }
}
