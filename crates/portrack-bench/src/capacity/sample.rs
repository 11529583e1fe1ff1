//! Typical names and values of a fleet of the users' size.

use portrack::membership::Peer;
use portrack::owner::{Ask, Holdings, Load, Report, Tuning};
use portrack::router::{BackendKind, BackendServer};
use portrack::settings::{AdapterSpec, Rule, VersionSpec};
use portrack::types::{AdapterVersion, Class, Fence, FenceMaker, Instance, ReservationId, Time};
use portrack::wire::{Heartbeat, MemberState, SettingsMark};

/// An incarnation as the wall clock gives it.
pub const INCARNATION: u64 = 1_795_000_000_000;
/// Slots of a typical engine.
pub const SLOTS: usize = 16;

/// A name that the program itself made.
fn name<T: std::str::FromStr>(text: String) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("sample names are valid")
}

/// A daemon of a hall.
pub fn peer(hall: usize, number: usize) -> Peer {
    Peer {
        node: name(format!("h{hall:02}-n{number:03}")),
        hall: name(format!("h{hall:02}")),
        region: name(format!("r{}", hall / 4)),
        address: ([10, 0, hall as u8, number as u8], 7_000).into(),
    }
}

/// The running instance of a daemon.
pub fn instance(hall: usize, number: usize) -> Instance {
    Instance { node: peer(hall, number).node, incarnation: INCARNATION }
}

/// An engine of a hall.
pub fn server(hall: usize, number: usize) -> BackendServer {
    BackendServer {
        name: name(format!("h{hall:02}-e{number:03}")),
        hall: name(format!("h{hall:02}")),
        region: name(format!("r{}", hall / 4)),
        address: format!("http://10.1.{hall}.{number}:8000"),
        class: "gen3".into(),
        speed: 100,
        leaving: false,
        kind: BackendKind::Engine { base: name("base-7b".into()), checks_fence: true },
    }
}

/// An adapter version.
pub fn adapter(number: usize) -> AdapterVersion {
    AdapterVersion { adapter: name(format!("adapter-{number:05}")), version: name("v12".into()) }
}

/// An adapter in the settings, with a number of rules.
pub fn spec(number: usize, rules: usize) -> AdapterSpec {
    let version = adapter(number).version;
    let weights = format!("store://bucket/adapter-{number:05}/v12");
    let rule =
        Rule { version: version.clone(), share: 100, service: None, hall: None, class: None };
    AdapterSpec {
        base: name("base-7b".into()),
        versions: [(version, VersionSpec { weights })].into(),
        rules: vec![rule; rules],
    }
}

/// A load as heartbeats carry it.
pub fn load(hall: usize, number: usize) -> Load {
    let engine = server(hall, number).name;
    Load { engine, holdings: 900, free: 20, queued: 3, spare_slots: 5 }
}

/// A heartbeat with a number of loads.
pub fn heartbeat(hall: usize, loads: usize) -> Heartbeat {
    Heartbeat {
        state: MemberState::Alive,
        settings: SettingsMark { revision: 2_400_000, digest: 0x9E37_79B9_7F4A_7C15 },
        platform: true,
        suspects: Vec::new(),
        loads: (0..loads).map(|number| load(hall, number)).collect(),
    }
}

/// Holdings of a number of adapters.
pub fn holdings(hall: usize, engine: usize, adapters: usize) -> Holdings {
    let first = engine * SLOTS;
    let ready = (first..first + adapters).map(adapter).collect();
    Holdings { engine: server(hall, engine).name, version: 900, ready, loading: Vec::new() }
}

/// An ask for a place.
pub fn ask(number: u128) -> Ask {
    let id = ReservationId(number << 64 | 0x5DEE_CE66_D1CE_4E5B);
    let adapter = adapter(number as usize % SLOTS);
    Ask { id, attempt: 1, adapter, class: Class::Interactive, wait_ms: 30_000 }
}

/// A report of an engine that holds adapters 0 to 15.
pub fn report(at: Time, fence: u64) -> Report {
    Report {
        asked_at: at,
        epoch: 1,
        fence: Fence(fence),
        lease_at: None,
        leaving: false,
        loaded: (0..SLOTS).map(adapter).collect(),
        loading: Vec::new(),
        running: Vec::new(),
        slots: SLOTS,
        batch: 4_096,
    }
}

/// A maker of fences.
pub fn fences() -> FenceMaker {
    FenceMaker::new(&instance(0, 0), Time(0))
}

/// The owners' numbers.
pub fn tuning() -> Tuning {
    Tuning::default()
}
