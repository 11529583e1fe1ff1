//! Tests of the encoding of datagrams between daemons.

use portrack::gateway::{
    Capabilities, EraReport, Heartbeat, MAX_DATAGRAM, NoticeState, PeerMessage, PlacementNotice,
    SyncReport, SyncState, decode_message, encode_message,
};
use proptest::prelude::*;

fn news(last: u8) -> SyncReport {
    SyncReport {
        address: ([10, 1, 0, last], 7_380).into(),
        incarnation: 1_772_255_030_017,
        age_ms: Some(1_400),
        standing: SyncState::Watches,
    }
}

fn heartbeat(servers: u32) -> PeerMessage {
    PeerMessage::Heartbeat(Heartbeat {
        node: "front-sala-centro-1".into(),
        hall: "sala-centro".into(),
        address: "10.1.0.38:7380".parse().expect("a valid address"),
        incarnation: 1_772_255_030_017,
        revision: 9_999_999,
        leaving: false,
        sees_store: true,
        watches: true,
        orders: (0..servers.min(20)).collect(),
        work: (0..servers).map(|hash| (hash | 0xff00_0000, Default::default())).collect(),
        known: vec!["10.1.0.39:7380".parse().expect("a valid address"); 8],
        heard: 3,
        capacity: 100,
        news: (1..=5).map(news).collect(),
        capabilities: Capabilities::OWN,
        store: EraReport::default(),
        cut_off_from_servers: false,
    })
}

#[test]
fn messages_survive_encoding_and_decoding() {
    let notice = PlacementNotice {
        server: "i-1".into(),
        model: "m".into(),
        adapter: "a1".into(),
        state: NoticeState::Coming(3, 250),
        born: Some(1_780_108_591_036),
    };
    for message in [heartbeat(12), PeerMessage::Placement(vec![notice])] {
        let bytes = encode_message(&message).expect("short enough");
        assert_eq!(decode_message(&bytes), Some(message));
    }
}

#[test]
fn a_message_that_is_too_long_is_not_encoded() {
    assert!(encode_message(&heartbeat(140)).is_some(), "140 busy servers fit");
    assert!(encode_message(&heartbeat(1_000)).is_none());
}

#[test]
fn other_versions_and_invalid_bytes_are_rejected() {
    let mut bytes = encode_message(&heartbeat(3)).expect("short enough");
    bytes[0] = 9;
    assert_eq!(decode_message(&bytes), None);
    assert_eq!(decode_message(&[]), None);
    assert_eq!(decode_message(&vec![1; MAX_DATAGRAM + 1]), None);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_message(&bytes);
    }
}
