//! Messages between this build and the one that landed before: nodes of a fleet are replaced one after the other, and both
//! builds hear each other meanwhile.

use portrack::gateway::{
    Capabilities, ClaimRecord, EraReport, EraTracker, GrantMessage, GrantRequest, Heartbeat,
    LimitReport, OrganisationHash, OutstandingWork, PeerMessage, RateLimit, RecordEras, SyncReport,
    SyncState, decode_message, encode_message,
};
use portrack::store::StoreEra;
use portrack::types::Time;
use serde::Deserialize;
use std::net::SocketAddr;

/// A heartbeat as the build before wrote it.
const FORMER_HEARTBEAT: &str = "05000966726f6e742d612d310161000a010026d43981d68695ca33fface2040001010207818080f80f010703f80a01000a010027d439036401000a010026d43981d68695ca3301f80a00";
/// An ask for a grant as the build before wrote it.
const FORMER_ASK: &str = "0508002a818080f80f0109f80a02bc059811fa0123";

/// What the last build that told no eras of the store added to its heartbeat.
const CAPABILITIES: &str = "01";
/// A record of a claim as that build wrote it.
const FORMER_RECORD: &str = "046e317c780100";

/// What the build before read of a heartbeat, field by field.
#[derive(Debug, PartialEq, Deserialize)]
struct FormerHeartbeat {
    node: String,
    hall: String,
    address: SocketAddr,
    incarnation: u64,
    revision: u64,
    leaving: bool,
    sees_store: bool,
    watches: bool,
    orders: Vec<u32>,
    work: Vec<(u32, (u32, u32))>,
    known: Vec<SocketAddr>,
    heard: u16,
    capacity: u32,
    news: Vec<(SocketAddr, u64, Option<u32>, u8)>,
}

/// What the build before read of an ask for a grant.
#[derive(Debug, PartialEq, Deserialize)]
struct FormerAsk {
    ask: u32,
    server: u32,
    organisation: Option<u32>,
    tokens: u32,
    priority: u8,
    left_ms: u32,
    most_ms: u32,
    gap_ms: u16,
    event_ms: u16,
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn heartbeat() -> Heartbeat {
    let address: SocketAddr = "10.1.0.38:7380".parse().expect("an address");
    Heartbeat {
        node: "front-a-1".into(),
        hall: "a".into(),
        address,
        incarnation: 1_772_255_030_017,
        revision: 9_999_999,
        leaving: false,
        sees_store: true,
        watches: true,
        orders: vec![7, 0xff00_0001],
        work: vec![(7, OutstandingWork { requests: 3, waiting_tokens: 1_400 })],
        known: vec!["10.1.0.39:7380".parse().expect("an address")],
        heard: 3,
        capacity: 100,
        news: vec![SyncReport {
            address,
            incarnation: 1_772_255_030_017,
            age_ms: Some(1_400),
            standing: SyncState::Watches,
        }],
        capabilities: Capabilities::OWN,
        store: EraReport::default(),
    }
}

fn ask() -> GrantRequest {
    GrantRequest {
        ask: 42,
        server: 0xff00_0001,
        organisation: Some(OrganisationHash(9)),
        tokens: 1_400,
        priority: 2,
        left_ms: 700,
        most_ms: 2_200,
        gap_ms: 250,
        event_ms: 35,
        limit: Some(LimitReport {
            server: 0xff00_0001,
            limit: RateLimit::per_second(2.1),
            asked_ms: 40,
            heard_ms: 10,
        }),
    }
}

#[test]
fn what_the_build_before_wrote_is_read_with_what_it_lacks_left_out() {
    let read = decode_message(&bytes(FORMER_HEARTBEAT)).expect("a heartbeat");
    let expected = Heartbeat { capabilities: Capabilities::default(), ..heartbeat() };
    assert!(!expected.capabilities.enforces_limits());
    assert_eq!(read, PeerMessage::Heartbeat(expected));
    let read = decode_message(&bytes(FORMER_ASK)).expect("an ask");
    assert_eq!(read, PeerMessage::Grants(GrantMessage::Ask(GrantRequest { limit: None, ..ask() })));
}

/// The build before drops a message only for its first byte, or where its own fields cannot be read.
#[test]
fn the_build_before_reads_what_this_one_writes() {
    let written = |message: &PeerMessage| encode_message(message).expect("short enough");
    let (now, before) = (written(&PeerMessage::Heartbeat(heartbeat())), bytes(FORMER_HEARTBEAT));
    assert_eq!(now[..before.len()], before, "what is new comes at the end");
    let read: FormerHeartbeat = postcard::from_bytes(&now[2..]).expect("its fields are there");
    assert_eq!((read.node.as_str(), read.heard, read.capacity), ("front-a-1", 3, 100));
    let (now, before) =
        (written(&PeerMessage::Grants(GrantMessage::Ask(ask()))), bytes(FORMER_ASK));
    assert_eq!(now[..before.len()], before, "what is new comes at the end");
    let read: FormerAsk = postcard::from_bytes(&now[3..]).expect("its fields are there");
    assert_eq!((read.ask, read.left_ms, read.event_ms), (42, 700, 35));
}

/// A kind that the build before does not know is one datagram that it drops, as it does with foreign bytes.
#[test]
fn what_is_told_of_limits_comes_back_as_it_was() {
    let report = ask().limit.expect("it has one");
    let over = LimitReport { limit: None, ..report };
    let message = PeerMessage::Limits(vec![report, over]);
    let bytes = encode_message(&message).expect("short enough");
    assert_eq!(decode_message(&bytes), Some(message));
}

#[test]
fn a_limit_that_is_none_is_not_believed_of_a_message() {
    let mut bytes = encode_message(&PeerMessage::Grants(GrantMessage::Ask(ask()))).expect("short");
    let at =
        bytes.windows(8).position(|eight| eight == 2.1_f64.to_le_bytes()).expect("it is there");
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        bytes[at..at + 8].copy_from_slice(&rate.to_le_bytes());
        let read = decode_message(&bytes).expect("an ask");
        assert_eq!(
            read,
            PeerMessage::Grants(GrantMessage::Ask(GrantRequest { limit: None, ..ask() }))
        );
    }
}

#[test]
fn a_heartbeat_that_tells_no_era_is_read_and_one_that_does_begins_alike() {
    let former = bytes(&format!("{FORMER_HEARTBEAT}{CAPABILITIES}"));
    let read = decode_message(&former).expect("a heartbeat");
    assert_eq!(read, PeerMessage::Heartbeat(heartbeat()));
    let mut eras = EraTracker::default();
    eras.learn(Time(1_000), StoreEra::from_number(3));
    eras.learn(Time(2_000), StoreEra::from_number(4));
    let store = eras.report(Time(2_700), 5);
    let told = PeerMessage::Heartbeat(Heartbeat { store, ..heartbeat() });
    let written = encode_message(&told).expect("short enough");
    assert_eq!(written[..former.len()], former, "what is new comes at the end");
    assert_eq!(decode_message(&written), Some(told));
    assert_eq!((store.began_ms, store.kept), (Some(700), 5));
}

#[test]
fn a_record_of_a_claim_that_tells_no_era_is_read_and_one_that_does_begins_alike() {
    let former = bytes(FORMER_RECORD);
    let read = ClaimRecord::read(&former).expect("a record");
    let (machine, eras) = ("n1|x".to_owned(), RecordEras::default());
    assert_eq!(read, ClaimRecord { machine, settled: true, resigned: false, eras });
    let eras = RecordEras { written: StoreEra::from_number(4), first: StoreEra::from_number(3) };
    let told = ClaimRecord { eras, ..read };
    assert_eq!(told.bytes()[..former.len()], former, "what is new comes at the end");
    assert_eq!(ClaimRecord::read(&told.bytes()), Some(told));
}
