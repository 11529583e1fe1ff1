//! Processor time of the decisions and of sealing, by the thread's own clock.

use super::fit::Line;
use super::sample;
use portrack::membership::Peer;
use portrack::node::{Effect, EngineTask, Input, Node, Tunables};
use portrack::owner::{End, EngineOwner, Event, Lock};
use portrack::reserve::{Spec, Token};
use portrack::router::{View, Wanted};
use portrack::types::{Class, Fence, ReservationId, Time};
use portrack::wire::{self, Envelope, Key, KeyRing, Message};
use std::hint::black_box;

/// Repetitions of a measurement; the least counts, which noise can only raise.
const TRIES: usize = 7;

/// Microseconds of one thing, by size.
pub struct Cpu {
    /// What is done.
    pub name: &'static str,
    /// What its size counts.
    pub unit: &'static str,
    /// Microseconds.
    pub line: Line,
}

fn thread_micros() -> f64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    now.tv_sec as f64 * 1e6 + now.tv_nsec as f64 / 1e3
}

/// Microseconds of one of `count` repetitions of `work`.
fn micros(count: usize, mut work: impl FnMut(usize)) -> f64 {
    let mut least = f64::MAX;
    for _ in 0..TRIES {
        let began = thread_micros();
        for at in 0..count {
            work(at);
        }
        least = least.min((thread_micros() - began) / count as f64);
    }
    least
}

fn line(
    name: &'static str,
    unit: &'static str,
    sizes: &[usize],
    mut one: impl FnMut(usize) -> f64,
) -> Cpu {
    let points: Vec<_> = sizes.iter().map(|size| (*size as f64, one(*size))).collect();
    Cpu { name, unit, line: Line::through(&points) }
}

/// All of them.
pub fn measure() -> Vec<Cpu> {
    vec![
        line("seal and open a heartbeat", "engines", &[0, 8, 16, 24], seal_and_open),
        line("take a heartbeat in, 120 members", "engines", &[1, 8, 16, 24], take_heartbeat),
        line("tick, 8 engines of 16 slots owned", "members", &[10, 30, 120], tick),
        line("choose an engine", "engines of the base", &[60, 240, 960], choose),
        line("reserve and release at the owner", "pins held", &[1, 16, 64], reserve),
        line("a request at its entry node", "engines", &[60, 240, 960], request),
        line("take holdings in", "adapters", &[4, 8, 16], take_holdings),
    ]
}

fn ring() -> KeyRing {
    KeyRing::single(Key::new(&[7; 16]))
}

fn seal_and_open(engines: usize) -> f64 {
    let (ring, to) = (ring(), sample::peer(7, 13).node);
    let cluster = wire::cluster_hash("fleet");
    let body = Message::Heartbeat(sample::heartbeat(7, engines));
    let from = sample::instance(7, 12);
    micros(2_000, |at| {
        let (from, to, body) = (from.clone(), to.clone(), body.clone());
        let envelope = Envelope { cluster, from, to, seq: at as u64, body };
        let sealed = wire::seal(&ring, &envelope).expect("fits");
        black_box(wire::open(&ring, cluster, &envelope.to, &sealed).expect("is ours"));
    })
}

/// A node of hall 0 that knows four halls of 30 daemons, and 240 engines in each.
pub fn node(members: usize, engines: usize) -> Node {
    let now = Time(1_000);
    let mut node = Node::new(sample::peer(0, 0), 1, Tunables::default(), 7, now);
    let peers: Vec<Peer> = (1..members).map(|n| sample::peer(n / 30, n % 30)).collect();
    node.on(now, Input::Peers(peers));
    for at in 1..members {
        let body = Message::Heartbeat(sample::heartbeat(at / 30, 0));
        node.on(now, Input::Message { from: sample::instance(at / 30, at % 30), body });
    }
    let servers = (0..engines).map(|n| sample::server(n / 240, n % 240)).collect();
    node.on(now, Input::Servers(servers));
    node
}

fn take_heartbeat(engines: usize) -> f64 {
    let mut node = node(120, 960);
    let body = Message::Heartbeat(sample::heartbeat(0, engines));
    let from = sample::instance(0, 1);
    micros(500, |_| {
        let (from, body) = (from.clone(), body.clone());
        black_box(node.on(Time(1_100), Input::Message { from, body }));
    })
}

/// Brings a node's engines into its hands.
fn own(node: &mut Node, now: Time) {
    for effect in node.on(now, Input::Tick) {
        let Effect::Engine { engine, task: EngineTask::Poll } = effect else { continue };
        let event = Event::Report(sample::report(now, 0));
        node.on(now, Input::Engine { engine: engine.clone(), event });
        let event = Event::FenceRaised(Fence(1));
        node.on(now, Input::Engine { engine, event });
    }
}

fn tick(members: usize) -> f64 {
    let mut node = node(members, members.min(30) * 8);
    let mut now = Time(1_100);
    own(&mut node, now);
    micros(200, |_| {
        now = now + std::time::Duration::from_millis(50);
        black_box(node.on(now, Input::Tick));
    })
}

fn wanted(number: usize) -> Wanted {
    Wanted {
        adapter: sample::adapter(number),
        base: sample::spec(0, 0).base,
        node_class: None,
        class: Class::Interactive,
        prefix: number as u64,
        tried: Vec::new(),
    }
}

/// A request of the users' kind.
pub fn spec(number: usize) -> Spec {
    Spec { wanted: wanted(number), deadline: Time(60_000) }
}

/// A view of one hall's engines, all slots taken.
pub fn view(engines: usize) -> View {
    let mut view = View::default();
    view.servers(Time(0), (0..engines).map(|n| sample::server(0, n)).collect());
    for at in 0..engines {
        view.load(Time(0), &sample::peer(0, 1).node, sample::load(0, at));
        view.holdings(sample::holdings(0, at, sample::SLOTS));
    }
    view
}

fn choose(engines: usize) -> f64 {
    use rand::SeedableRng;
    let view = view(engines);
    let (weights, hall) = (Default::default(), sample::peer(0, 1).hall);
    let prefixes = portrack::router::PrefixMemory::new(16);
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    micros(300, |at| {
        let wanted = wanted(at % (engines * sample::SLOTS));
        black_box(view.choose(&wanted, &hall, &weights, &prefixes, &mut rng, |_| true));
    })
}

/// An owner that serves, with a number of pins.
pub fn owner(pins: usize) -> EngineOwner {
    let now = Time(0);
    let engine = sample::server(0, 0).name;
    let mut owner = EngineOwner::new(engine, Lock::Fence, sample::tuning(), sample::fences(), now);
    owner.on(now, Event::Report(sample::report(now, 0)));
    owner.on(now, Event::FenceRaised(Fence(1)));
    for at in 0..pins {
        let (from, ask) = (sample::instance(0, 1), sample::ask(1_000_000 + at as u128));
        owner.on(now, Event::Reserve { from, ask });
    }
    owner
}

fn reserve(pins: usize) -> f64 {
    let mut owner = owner(pins);
    let from = sample::instance(0, 1);
    micros(1_000, |at| {
        let (from, ask) = (from.clone(), sample::ask(at as u128));
        let id = ask.id;
        black_box(owner.on(Time(1), Event::Reserve { from, ask }));
        black_box(owner.on(Time(1), Event::Release { id, end: End::Ended }));
    })
}

fn request(engines: usize) -> f64 {
    let mut node = node(30, engines.min(240));
    let mut next = 0_u64;
    micros(200, |at| {
        next += 1;
        let token = Token(next);
        let spec = spec(at);
        let effects = node.on(Time(1_200), Input::Begin { token, spec });
        black_box(&effects);
        node.on(Time(1_200), Input::Cancel(token));
        let sent = effects.iter().find_map(|effect| match effect {
            Effect::Send { body: Message::Reserve { ask, .. }, .. } => Some(ask.id),
            _ => None,
        });
        if let Some(id) = sent {
            released(&mut node, id);
        }
    })
}

fn released(node: &mut Node, id: ReservationId) {
    let from = sample::instance(0, 1);
    node.on(Time(1_200), Input::Message { from, body: Message::Released(id) });
}

fn take_holdings(adapters: usize) -> f64 {
    let mut view = view(240);
    micros(500, |at| {
        view.holdings(black_box(sample::holdings(0, at % 240, adapters)));
    })
}

/// The slope of one thing.
pub fn find<'a>(all: &'a [Cpu], name: &str) -> &'a Line {
    &all.iter().find(|cpu| cpu.name.starts_with(name)).expect("it is measured").line
}

/// The slopes as a table.
pub fn table(all: &[Cpu]) -> String {
    let mut text = String::from(
        "| work | fixed us | us each | of | worst fit |\n| --- | --- | --- | --- | --- |\n",
    );
    for cpu in all {
        let Line { fixed, slope, worst } = cpu.line;
        text.push_str(&format!(
            "| {} | {fixed:.2} | {slope:.3} | {} | {:.0}% |\n",
            cpu.name,
            cpu.unit,
            worst * 100.0
        ));
    }
    text
}
