//! Slope times count: what a daemon needs at a size.

use super::bytes::{self, Bytes, HEADERS};
use super::cpu::{self, Cpu};
use super::memory::{self, Memory};
use super::sample::SLOTS;
use portrack::membership::Timing;
use portrack::owner::Tuning;

/// Ticks of a daemon's decisions a second.
const TICKS: f64 = 20.0;
/// Times a load changes what an engine holds: loading, ready, and the same for the one it evicts.
const PUSHES_PER_LOAD: f64 = 4.0;
/// Share of requests that claim an idempotency key; a guess from the users' mix.
const KEYED: f64 = 0.1;
/// The row of status calls, which go one way only.
const ENGINE_REPORTS: &str = "engine reports";
/// Share of an owner's loads whose magnitude changes from one heartbeat to the next; a guess.
const NEWS: f64 = 0.1;
/// One heartbeat in this many carries all loads.
const FULL_EVERY: f64 = 5.0;
/// Bytes around the body of a status call: both heads and the headers of TCP and IP, counted by
/// hand.
const STATUS_AROUND: f64 = 400.0;
/// Seconds that a request runs.
const RUNS_FOR: f64 = 5.0;

/// A fleet.
pub struct Size {
    name: &'static str,
    halls: f64,
    halls_per_region: f64,
    daemons: f64,
    engines: f64,
    requests: f64,
    adapters: f64,
    loads_per_hour: f64,
    changes_per_day: f64,
}

const PEDALA: Size = Size {
    name: "Pedala today",
    halls: 3.0,
    halls_per_region: 3.0,
    daemons: 7.0,
    engines: 12.0,
    requests: 20.0,
    adapters: 5_000.0,
    loads_per_hour: 3_600.0,
    changes_per_day: 100.0,
};

const SIZES: [Size; 4] = [
    Size {
        name: "the fleet that was run, one hall of 30 daemons",
        halls: 1.0,
        halls_per_region: 1.0,
        daemons: 30.0,
        engines: 60.0,
        requests: 15.0,
        adapters: 60.0,
        loads_per_hour: 0.0,
        changes_per_day: 0.0,
    },
    PEDALA,
    Size { name: "Gopherline today", halls: 4.0, halls_per_region: 4.0, ..PEDALA },
    Size {
        name: "the letter's",
        halls: 12.0,
        halls_per_region: 4.0,
        daemons: 360.0,
        engines: 2_900.0,
        requests: 2_000.0,
        adapters: 10_000.0,
        loads_per_hour: 1_830.0,
        changes_per_day: 6_500.0,
    },
];

/// One row: messages and bytes a second sent by a daemon, and its processor time.
struct Row {
    what: &'static str,
    sent: f64,
    bytes: f64,
    micros: f64,
}

impl Size {
    fn peers(&self) -> (f64, f64, f64) {
        let per_hall = self.daemons / self.halls;
        let region = per_hall * (self.halls_per_region - 1.0);
        let far_halls = self.halls - self.halls_per_region;
        let far = far_halls * Timing::default().far_peers as f64;
        ((per_hall - 1.0).max(0.0), region, far)
    }

    fn rows(&self, sizes: &[Bytes], cpu: &[Cpu]) -> Vec<Row> {
        let (hall, region, far) = self.peers();
        let timing = Timing::default();
        let owned = self.engines / self.daemons;
        let pace = (1.0 / timing.hall_every.as_secs_f64(), 1.0 / timing.remote_every.as_secs_f64());
        let datagram = |name: &str, size: f64| bytes::find(sizes, name).at(size) + HEADERS;
        let news = owned * (NEWS + (1.0 - NEWS) / FULL_EVERY);
        let (near, remote) = (hall * pace.0, region * pace.1);
        let take =
            |loads: f64| both(cpu, "seal and open", loads) + both(cpu, "take a heartbeat", loads);
        let beats = Row {
            what: "heartbeats, hall",
            sent: near,
            bytes: near * datagram("heartbeat", news),
            micros: near * take(news),
        };
        let remote_beats = Row {
            what: "heartbeats, region",
            sent: remote,
            bytes: remote * datagram("heartbeat", owned),
            micros: remote * take(owned),
        };
        let far = far * pace.1;
        let far_beats = Row {
            what: "heartbeats, other regions",
            sent: far,
            bytes: far * datagram("heartbeat", 0.0),
            micros: far * both(cpu, "seal and open", 0.0),
        };
        let per_second = self.loads_per_hour / 3_600.0;
        let regions = self.halls / self.halls_per_region;
        let receivers = hall + region;
        let pushes = per_second / regions * PUSHES_PER_LOAD * receivers / (self.daemons / regions);
        let holdings = Row {
            what: "holdings",
            sent: pushes,
            bytes: pushes * datagram("holdings", SLOTS as f64),
            micros: pushes * (both(cpu, "seal and open", 16.0) + both(cpu, "take holdings", 16.0)),
        };
        vec![
            beats,
            remote_beats,
            far_beats,
            holdings,
            self.reservations(sizes, cpu),
            self.permits(sizes, cpu),
            self.keys(sizes, cpu),
            self.settings(sizes),
            self.ticks(cpu),
            self.polls(sizes, owned),
        ]
    }

    /// A daemon is entry node of its share of requests and owner of as many.
    fn reservations(&self, sizes: &[Bytes], cpu: &[Cpu]) -> Row {
        let each = self.requests / self.daemons;
        let kinds = ["reserve", "answer-granted", "release", "released"];
        let bytes: f64 = kinds.iter().map(|k| bytes::find(sizes, k).fixed + HEADERS).sum();
        let engines = self.engines / self.halls;
        let decide = both(cpu, "a request", engines) + both(cpu, "reserve and release", 16.0);
        let micros = each * (decide + 4.0 * both(cpu, "seal and open", 0.0));
        Row { what: "reservations", sent: each * 4.0, bytes: each * bytes, micros }
    }

    fn permits(&self, sizes: &[Bytes], cpu: &[Cpu]) -> Row {
        let loads = self.loads_per_hour / 3_600.0 / self.daemons;
        let kinds = ["permit-ask", "permit-grant", "permit-done"];
        let bytes: f64 = kinds.iter().map(|k| bytes::find(sizes, k).fixed + HEADERS).sum();
        let micros = loads * 3.0 * both(cpu, "seal and open", 0.0);
        Row { what: "load permits", sent: loads * 3.0, bytes: loads * bytes, micros }
    }

    fn keys(&self, sizes: &[Bytes], cpu: &[Cpu]) -> Row {
        let claims = self.requests * KEYED / self.daemons;
        let kinds = ["key-claim", "key-copy", "key-copied", "key-reply"];
        let bytes: f64 = kinds.iter().map(|k| bytes::find(sizes, k).fixed + HEADERS).sum();
        let micros = claims * 4.0 * both(cpu, "seal and open", 0.0);
        Row { what: "idempotency keys", sent: claims * 4.0, bytes: claims * bytes, micros }
    }

    /// Every daemon fetches every changed bucket once.
    fn settings(&self, sizes: &[Bytes]) -> Row {
        let changes = self.changes_per_day / 86_400.0;
        let in_bucket = self.adapters / portrack::settings::BUCKETS as f64;
        let reply = bytes::find(sizes, "fetch-reply, one bucket").at(in_bucket);
        let ask = bytes::find(sizes, "fetch-ask").at(portrack::settings::BUCKETS as f64);
        Row { what: "settings", sent: changes * 2.0, bytes: changes * (reply + ask), micros: 0.0 }
    }

    fn ticks(&self, cpu: &[Cpu]) -> Row {
        let (hall, region, _) = self.peers();
        let tick = both(cpu, "tick", hall + region + 1.0);
        Row { what: "ticks", sent: 0.0, bytes: 0.0, micros: TICKS * tick }
    }

    /// The engine's answer is nearly all of it, so it counts as received.
    fn polls(&self, sizes: &[Bytes], owned: f64) -> Row {
        let polls = owned / Tuning::default().poll_idle.as_secs_f64();
        let running = self.requests * RUNS_FOR / self.engines;
        let held = (self.adapters / self.engines).min(SLOTS as f64);
        let body = bytes::find(sizes, "engine status, JSON body").at(held)
            + bytes::find(sizes, "engine status, idle").slope * running;
        Row {
            what: ENGINE_REPORTS,
            sent: polls,
            bytes: polls * (body + STATUS_AROUND),
            micros: 0.0,
        }
    }

    fn resident(&self, memory: &[Memory]) -> f64 {
        let (hall, region, far) = self.peers();
        let engines = self.engines / self.halls * self.halls_per_region;
        let state = |name: &str, count: f64| memory::find(memory, name).slope * count;
        state("member", hall + region + far)
            + state("engine", engines)
            + state("adapter", self.adapters)
            + state("pin", self.requests / self.daemons * 20.0)
    }
}

fn both(cpu: &[Cpu], name: &str, size: f64) -> f64 {
    cpu::find(cpu, name).at(size).max(0.0)
}

/// What a daemon needs, row by row, at each size.
pub fn table(bytes: &[Bytes], cpu: &[Cpu], memory: &[Memory]) -> String {
    let mut text = String::new();
    for size in &SIZES {
        text.push_str(&format!("\n{}: each daemon sends\n\n", size.name));
        text.push_str("| what | messages/s | bytes/s | us/s |\n| --- | --- | --- | --- |\n");
        let rows = size.rows(bytes, cpu);
        for row in &rows {
            let Row { what, sent, bytes, micros } = row;
            text.push_str(&format!("| {what} | {sent:.2} | {bytes:.0} | {micros:.0} |\n"));
        }
        let total: f64 = rows.iter().map(|row| row.bytes).sum();
        let reports = rows.iter().filter(|row| row.what == ENGINE_REPORTS);
        let reports: f64 = reports.map(|row| row.bytes).sum();
        let both_ways = 2.0 * (total - reports) + reports;
        let micros: f64 = rows.iter().map(|row| row.micros).sum();
        text.push_str(&format!(
            "| all | | {total:.0} | {micros:.0} ({:.2}% of a core) |\n\n\
             sent and received together: {both_ways:.0} bytes/s; state: {:.1} MB\n",
            micros / 10_000.0,
            size.resident(memory) / 1e6
        ));
    }
    text
}
