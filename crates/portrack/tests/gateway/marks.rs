//! Which tries count as the same request.

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
fn tries_of_a_request_have_the_same_mark() {
    assert_eq!(RequestFingerprint::of(&request()), RequestFingerprint::of(&request()));
}

#[test]
fn whatever_differs_makes_another_request() {
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
fn a_mark_can_be_written_and_read_again() {
    let mark = RequestFingerprint::of(&request());
    let text = mark.to_string();
    assert_eq!(RequestFingerprint::parse(&text), Some(mark));
    assert_eq!(text.len(), 32);
    assert!(!text.contains("ask"));
    for bad in ["", "00", &"g".repeat(32), &"é".repeat(16), &text[1..]] {
        assert_eq!(RequestFingerprint::parse(bad), None, "{bad}");
    }
}
