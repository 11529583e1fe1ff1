//! Tests of datagrams, frames and all decoders of external input.

use portrack::settings::{Bootstrap, SettingsFile, TreePath, decode};
use portrack::types::{Instance, NodeName};
use portrack::wire::{
    Envelope, FetchReply, FetchRequest, Heartbeat, Key, KeyRing, MemberState, Message,
    ReplayWindow, SettingsMark, WireError, cluster_hash, open, open_frame, seal, seal_frame,
};
use proptest::prelude::*;
use std::path::Path;

fn ring(byte: u8) -> KeyRing {
    KeyRing::single(Key::new(&[byte; 16]))
}

fn node(name: &str) -> NodeName {
    name.parse().unwrap()
}

fn envelope(seq: u64) -> Envelope {
    Envelope {
        cluster: cluster_hash("c"),
        from: Instance { node: node("n1"), incarnation: 5 },
        to: node("n2"),
        seq,
        body: Message::Heartbeat(Heartbeat {
            state: MemberState::Alive,
            settings: SettingsMark { revision: 9, digest: 7 },
            platform: true,
            suspects: vec![node("n3")],
            loads: Vec::new(),
        }),
    }
}

#[test]
fn datagram_round_trip() {
    let sealed = seal(&ring(1), &envelope(3)).unwrap();
    let (from, seq, body) = open(&ring(1), cluster_hash("c"), &node("n2"), &sealed).unwrap();
    assert_eq!((from, seq, body), (envelope(3).from, 3, envelope(3).body));
}

#[test]
fn each_rejection_has_its_own_label() {
    let sealed = seal(&ring(1), &envelope(3)).unwrap();
    let to = |ring: &KeyRing, cluster: &str, me: &str, bytes: &[u8]| {
        open(ring, cluster_hash(cluster), &node(me), bytes).unwrap_err().label()
    };
    assert_eq!(to(&ring(2), "c", "n2", &sealed), "tag");
    assert_eq!(to(&ring(1), "other", "n2", &sealed), "cluster");
    assert_eq!(to(&ring(1), "c", "n4", &sealed), "receiver");
    assert_eq!(to(&ring(1), "c", "n2", &sealed[..10]), "truncated");
    assert_eq!(to(&ring(1), "c", "n2", &sealed[..sealed.len() - 1]), "tag");
    let mut other = sealed.clone();
    other[0] = 9;
    assert_eq!(to(&ring(1), "c", "n2", &other), "version");
    assert_eq!(to(&ring(1), "c", "n2", &vec![1; 2_000]), "too-large");
}

#[test]
fn keys_can_be_rotated_while_both_are_accepted() {
    let (old, new) = ("11".repeat(16), "22".repeat(16));
    let before = KeyRing::parse(&format!("{old}\n")).unwrap();
    let between = KeyRing::parse(&format!("# new first\n{new}\n{old}\n")).unwrap();
    let after = KeyRing::parse(&format!("{new}\n")).unwrap();
    let opens = |signer: &KeyRing, reader: &KeyRing| {
        let sealed = seal(signer, &envelope(1)).unwrap();
        open(reader, cluster_hash("c"), &node("n2"), &sealed).is_ok()
    };
    assert!(opens(&before, &between) && opens(&between, &after));
    assert!(!opens(&before, &after));
}

#[test]
fn key_file_errors_contain_the_line_number() {
    let short = KeyRing::parse("# ok\nabcd\n").unwrap_err();
    assert_eq!(short.to_string(), "line 2: a key is at least 16 bytes in hexadecimal");
    assert!(KeyRing::parse("\n").is_err());
}

#[test]
fn replayed_datagrams_are_rejected_and_late_ones_accepted() {
    let from = Instance { node: node("n1"), incarnation: 5 };
    let mut window = ReplayWindow::default();
    for seq in [1, 3, 2, 200] {
        assert_eq!(window.accept(&from, seq), Ok(()));
    }
    for seq in [200, 2, 3] {
        assert_eq!(window.accept(&from, seq), Err(WireError::Replayed));
    }
    assert_eq!(window.accept(&from, 199), Ok(()));
    let older = Instance { incarnation: 4, ..from.clone() };
    assert_eq!(window.accept(&older, 900), Err(WireError::Replayed));
    let newer = Instance { incarnation: 6, ..from };
    assert_eq!(window.accept(&newer, 1), Ok(()));
}

#[test]
fn settings_paths_are_validated() {
    let path: TreePath = "fleet/hall:a/service:chat".parse().unwrap();
    assert_eq!(path.to_string(), "fleet/hall:a/service:chat");
    for bad in ["", "hall:a", "fleet/", "fleet/room:a", "fleet/service:x/hall:a", "fleet/hall:"] {
        assert!(bad.parse::<TreePath>().is_err(), "{bad:?}");
    }
}

#[test]
fn settings_file_errors_contain_the_line_number() {
    let text = "[tree.\"fleet\"]\nstall_weight = 70\nmin_hold_ms = 9999999\n";
    let error = SettingsFile::parse(Path::new("f.toml"), text).unwrap_err().to_string();
    insta::assert_snapshot!(error, @"f.toml:3: fleet min_hold_ms: fleet: min_hold_ms must lie between 0 and 3600000 ms, not 9999999");
    let text = "[adapters.ana]\nbase = \"b\"\n[adapters.ana.versions.v1]\nweights = \"w\"\n\
                [[adapters.ana.rules]]\nversion = \"v2\"\n";
    let error = SettingsFile::parse(Path::new("f.toml"), text).unwrap_err().to_string();
    insta::assert_snapshot!(error, @"f.toml:1: adapter ana: a rule names version v2, which does not exist");
    let text = "[tree.\"fleet\"]\ncolour = 1\n";
    let error = SettingsFile::parse(Path::new("f.toml"), text).unwrap_err().to_string();
    assert!(error.starts_with("f.toml:2: unknown field `colour`"), "{error}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Bytes with a valid tag can still be arbitrary: the sender may run another build.
    #[test]
    fn no_decoder_panics(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = open(&ring(1), cluster_hash("c"), &node("n2"), &bytes);
        let mut sealed = vec![1];
        sealed.extend_from_slice(&ring(1).sign(&bytes));
        sealed.extend_from_slice(&bytes);
        let _ = open(&ring(1), cluster_hash("c"), &node("n2"), &sealed);
        let _ = open_frame::<FetchRequest>(&ring(1), &sealed);
        let _ = open_frame::<FetchReply>(&ring(1), &sealed);
        let _ = decode(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        let _ = KeyRing::parse(&text);
        let _ = Bootstrap::parse(Path::new("f"), &text);
        let _ = SettingsFile::parse(Path::new("f"), &text);
        let _ = text.parse::<TreePath>();
    }

    #[test]
    fn frame_round_trip(have in proptest::collection::vec(any::<(u64, u64)>(), 0..50)) {
        let ask = FetchRequest { cluster: 7, have };
        let frame = seal_frame(&ring(1), &ask).unwrap();
        let length = u32::from_be_bytes(frame[..4].try_into().unwrap()) as usize;
        prop_assert_eq!(length, frame.len() - 4);
        let opened: FetchRequest = open_frame(&ring(1), &frame[4..]).unwrap();
        prop_assert_eq!(opened, ask);
    }
}
