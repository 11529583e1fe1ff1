//! Which attempts count as the same request.

use portrack::gateway::{CallerIdentity, FingerprintInput, RequestFingerprint};

fn request<'a>() -> FingerprintInput<'a> {
    FingerprintInput {
        caller: CallerIdentity::Organisation("o1"),
        method: "POST",
        host: "h.example",
        target: "/chat/x?a=1",
        body: b"ask",
    }
}

#[test]
fn retries_of_a_request_have_the_same_fingerprint() {
    assert_eq!(RequestFingerprint::of(&request()), RequestFingerprint::of(&request()));
}

#[test]
fn any_difference_makes_another_fingerprint() {
    let others = [
        FingerprintInput { caller: CallerIdentity::Organisation("o2"), ..request() },
        FingerprintInput { caller: CallerIdentity::Unknown, ..request() },
        FingerprintInput { method: "PUT", ..request() },
        FingerprintInput { host: "i.example", ..request() },
        FingerprintInput { target: "/chat/x?a=2", ..request() },
        FingerprintInput { body: b"ask!", ..request() },
        FingerprintInput { target: "/chat/x?a=1a", body: b"sk", ..request() },
    ];
    for other in &others {
        assert_ne!(RequestFingerprint::of(&request()), RequestFingerprint::of(other), "{other:?}");
    }
}

#[test]
fn a_fingerprint_round_trips_through_text() {
    let fingerprint = RequestFingerprint::of(&request());
    let text = fingerprint.to_string();
    assert_eq!(RequestFingerprint::parse(&text), Some(fingerprint));
    assert_eq!(text.len(), 32);
    assert!(!text.contains("ask"));
    for bad in ["", "00", &"g".repeat(32), &"é".repeat(16), &text[1..]] {
        assert_eq!(RequestFingerprint::parse(bad), None, "{bad}");
    }
}
