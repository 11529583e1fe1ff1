//! Bytes of every kind of message, as datagrams or frames, without the headers of IP and UDP.

use super::fit::Line;
use super::sample;
use portrack::engine::{RunningStatus, Status};
use portrack::owner::{Answer, End, Verdict};
use portrack::settings::{Entry, EntryBody, encode};
use portrack::types::{Fence, ReservationId};
use portrack::wire::{
    Envelope, FetchEntry, FetchReply, FetchRequest, Key, KeyClaim, KeyReply, KeyRing, KeyVerdict,
    Message, PermitAsk, PermitRef, cluster_hash, seal, seal_frame,
};

/// Bytes of IPv4 and UDP headers around a datagram.
pub const HEADERS: f64 = 28.0;

/// The slope of one kind.
pub struct Bytes {
    /// The message.
    pub name: &'static str,
    /// What its size counts.
    pub unit: &'static str,
    /// Its bytes.
    pub line: Line,
}

fn ring() -> KeyRing {
    KeyRing::single(Key::new(&[7; 16]))
}

fn sealed(body: Message) -> f64 {
    let envelope = Envelope {
        cluster: cluster_hash("fleet"),
        from: sample::instance(7, 12),
        to: sample::peer(7, 13).node,
        seq: 60_000,
        body,
    };
    seal(&ring(), &envelope).expect("samples fit a datagram").len() as f64
}

fn fixed(name: &'static str, body: Message) -> Bytes {
    let line = Line { fixed: sealed(body), slope: 0.0, worst: 0.0 };
    Bytes { name, unit: "-", line }
}

fn sized(
    name: &'static str,
    unit: &'static str,
    sizes: &[usize],
    bytes: impl Fn(usize) -> f64,
) -> Bytes {
    let points: Vec<_> = sizes.iter().map(|size| (*size as f64, bytes(*size))).collect();
    Bytes { name, unit, line: Line::through(&points) }
}

/// Every kind of message.
pub fn measure() -> Vec<Bytes> {
    let id = ReservationId(u128::MAX / 3);
    let engine = sample::server(7, 12).name;
    let load = PermitRef { engine: engine.clone(), adapter: sample::adapter(4_711) };
    let claim = KeyClaim { key: u128::MAX / 5, request: id, entry: sample::instance(7, 12) };
    let reply = KeyReply { key: claim.key, request: id, verdict: KeyVerdict::Yours };
    let answer = |verdict| Message::Answer(Answer { id, attempt: 1, verdict });
    let ask = sample::ask(77);
    vec![
        sized("heartbeat", "engines", &[0, 4, 8, 16, 24], |n| {
            sealed(Message::Heartbeat(sample::heartbeat(7, n)))
        }),
        sized("holdings", "adapters", &[0, 4, 8, 16], |n| {
            sealed(Message::Holdings(sample::holdings(7, 12, n)))
        }),
        fixed("holdings-ask", Message::HoldingsAsk(engine.clone())),
        fixed("reserve", Message::Reserve { engine: engine.clone(), ask }),
        fixed("answer-granted", answer(Verdict::Granted(Fence(900)))),
        fixed("answer-queued", answer(Verdict::Queued)),
        fixed("release", Message::Release { engine, id, end: End::Ended }),
        fixed("released", Message::Released(id)),
        fixed(
            "permit-ask",
            Message::PermitAsk(PermitAsk { load: load.clone(), waited_ms: 900, weight: 4 }),
        ),
        fixed("permit-grant", Message::PermitGrant(load.clone())),
        fixed("permit-done", Message::PermitDone(load)),
        fixed("key-claim", Message::KeyClaim(claim.clone())),
        fixed("key-copy", Message::KeyCopy(claim.clone())),
        fixed("key-copied", Message::KeyCopied(reply.clone())),
        fixed("key-reply", Message::KeyReply(reply)),
        fixed("key-free", Message::KeyFree(claim)),
        sized("fetch-ask", "entries", &[64, 128, 300], |n| {
            let have = (0..n as u64).map(|at| (at.wrapping_mul(0x9E37_79B9_7F4A_7C15), 2_400_000));
            let ask = FetchRequest { cluster: cluster_hash("fleet"), have: have.collect() };
            seal_frame(&ring(), &ask).expect("samples fit a frame").len() as f64
        }),
        sized("fetch-reply, one bucket", "adapters", &[10, 20, 40, 80], bucket_frame),
        sized("engine status, JSON body", "adapters", &[0, 4, 8, 16], |n| status_body(n, 0)),
        sized("engine status, idle", "running requests", &[0, 4, 8, 16], |n| status_body(0, n)),
    ]
}

/// The body of an engine's status.
fn status_body(adapters: usize, running: usize) -> f64 {
    let request = |n: usize| RunningStatus {
        id: ReservationId(u128::MAX / 3 - n as u128).to_string(),
        adapter: sample::adapter(n).to_string(),
    };
    let status = Status {
        epoch: 3,
        fence: sample::INCARNATION << 16,
        slots: sample::SLOTS,
        batch: 64,
        loaded: (0..adapters).map(|n| sample::adapter(n).to_string()).collect(),
        running: (0..running).map(request).collect(),
        ..Status::default()
    };
    serde_json::to_vec(&status).expect("string keys only").len() as f64
}

/// A frame with one bucket of adapters, as one change makes every daemon fetch.
fn bucket_frame(adapters: usize) -> f64 {
    let value = bucket(adapters);
    let entry = FetchEntry { key: "adapters/7f".into(), revision: 2_400_000, value };
    let reply = FetchReply { entries: vec![entry] };
    seal_frame(&ring(), &reply).expect("samples fit a frame").len() as f64
}

/// The stored value of a bucket.
pub fn bucket(adapters: usize) -> Vec<u8> {
    let all = (0..adapters).map(|n| (sample::adapter(n).adapter, sample::spec(n, 1)));
    let spec = serde_json::to_string(&sample::spec(1, 1)).expect("string keys only");
    let change = portrack::audit::AuditRecord {
        id: portrack::audit::ChangeId(u128::MAX / 7),
        who: "ops-west".into(),
        at_unix_ms: sample::INCARNATION,
        why: "new version after review".into(),
        what: "adapter adapter-00001".into(),
        before: spec.clone(),
        after: spec,
    };
    let body = EntryBody::Adapters(all.collect());
    encode(&Entry { format: portrack::settings::FORMAT, change, body })
}

/// The line of a kind.
pub fn find<'a>(all: &'a [Bytes], name: &str) -> &'a Line {
    &all.iter().find(|bytes| bytes.name == name).expect("every kind is measured").line
}

/// The slopes as a table.
pub fn table() -> String {
    let mut text = String::from(
        "| message | fixed bytes | bytes each | of | worst fit |\n| --- | --- | --- | --- | --- |\n",
    );
    for bytes in measure() {
        let Line { fixed, slope, worst } = bytes.line;
        text.push_str(&format!(
            "| {} | {fixed:.0} | {slope:.1} | {} | {:.1}% |\n",
            bytes.name,
            bytes.unit,
            worst * 100.0
        ));
    }
    text
}
