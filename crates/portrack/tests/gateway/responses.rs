//! Parsing of response heads, bodies and events, split into pieces of any size.

use actix_http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use portrack::gateway::{
    Dialect, DialectError, EventSplitter, ForwardMeta, Item, ItemKey, Order, OrderAnswer,
    RequestMeta, ResponseHead, ResponseMeta, ServerReport, parse_head,
};
use portrack::http1::body::{BodyDecoder, DecodeStep};
use portrack::http1::framing::Framing;
use proptest::prelude::*;
use std::time::Duration;

/// A dialect whose responses have the request id in the header `id`.
struct TestDialect;

impl Dialect for TestDialect {
    fn prefix(&self) -> &'static str {
        ""
    }
    fn key(&self, _: &str) -> ItemKey {
        ItemKey::Unknown
    }
    fn item(&self, _: &str, _: &[u8]) -> Result<Option<Item>, DialectError> {
        Ok(None)
    }
    fn request(&self, _: &HeaderMap) -> Result<RequestMeta, DialectError> {
        Ok(RequestMeta::default())
    }
    fn without_keys(&self, _: &str, value: Vec<u8>) -> Result<Vec<u8>, DialectError> {
        Ok(value)
    }
    fn is_set_by_us(&self, _: &str) -> bool {
        false
    }
    fn is_credential(&self, _: &str) -> bool {
        false
    }
    fn write_forward(&self, _: &ForwardMeta<'_>, _: &mut Vec<u8>) {}
    fn response_header(&self, name: &str, value: &str, meta: &mut ResponseMeta) {
        if name == "id" {
            meta.request_id = Some(value.to_owned());
        }
    }
    fn last_event(&self, _: &HeaderMap) -> Option<String> {
        None
    }
    fn readiness_path(&self) -> &'static str {
        "/"
    }
    fn order(&self, _: &Order) -> (&'static str, Vec<u8>) {
        ("/", Vec::new())
    }
    fn order_target(&self, _: &str) -> (&'static str, String) {
        ("x", String::new())
    }
    fn report_path(&self) -> &'static str {
        "/"
    }
    fn report(&self, _: &[u8]) -> Result<ServerReport, DialectError> {
        Ok(ServerReport::default())
    }
    fn order_answer(&self, _: u16) -> OrderAnswer {
        OrderAnswer::Refused
    }
}

fn head(text: &str) -> ResponseHead {
    parse_head(&TestDialect, &mut BytesMut::from(text))
        .expect("a valid head")
        .expect("a complete head")
}

fn is_invalid(text: &str) -> bool {
    parse_head(&TestDialect, &mut BytesMut::from(text)).is_err()
}

#[test]
fn framing_connection_headers_and_request_id_are_parsed() {
    let sized = head("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 5\r\n\r\n");
    assert_eq!(sized.framing, Framing::Length(5));
    assert_eq!(sized.meta.request_id.as_deref(), Some("r1"));
    assert!(!sized.close);
    let chunked =
        head("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
    assert_eq!(chunked.framing, Framing::Chunked);
    assert!(chunked.close);
    let until_close = head("HTTP/1.1 200 OK\r\n\r\n");
    assert_eq!(until_close.framing, Framing::UntilClose);
    assert!(until_close.close, "the body ends with the connection");
    let idle = head("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=4, max=9\r\n\r\n");
    assert_eq!(idle.keep_alive, Some(Duration::from_secs(4)));
    assert_eq!(head("HTTP/1.1 204 No Content\r\n\r\n").framing, Framing::Length(0));
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let head = head(
        "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nKeep-Alive: timeout=4\r\nX-Own: 1\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
    );
    let names: Vec<&str> = head.headers.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["x-own"]);
}

#[test]
fn invalid_responses_are_rejected() {
    assert!(is_invalid("GARBAGE \0\r\n\r\n"));
    assert!(is_invalid("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n"));
    assert!(is_invalid("HTTP/1.1 200 OK\r\nContent-Length: five\r\n\r\n"));
    assert!(is_invalid(&format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(40_000))));
}

/// Without the coding undone, the body would reach the caller with the frames of its chunks in it.
#[test]
fn a_body_in_an_unknown_transfer_coding_is_taken_for_the_bytes_until_the_close() {
    for coding in ["gzip, chunked", "gzip", "chunked, chunked", "identity"] {
        assert!(
            is_invalid(&format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: {coding}\r\n\r\n")),
            "{coding}"
        );
    }
    assert_eq!(
        head("HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n").framing,
        Framing::Chunked
    );
}

fn decode(framing: Framing, pieces: &[&[u8]]) -> Result<(Vec<u8>, bool), String> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            match decoder.step(&mut buffer).map_err(|error| error.to_string())? {
                DecodeStep::Part(part) => body.extend_from_slice(&part),
                DecodeStep::End(_) => return Ok((body, true)),
                DecodeStep::More => break,
            }
        }
    }
    Ok((body, decoder.on_close().is_some()))
}

#[test]
fn incomplete_bodies_are_not_reported_as_complete() {
    assert_eq!(decode(Framing::Length(5), &[b"abc"]), Ok((b"abc".to_vec(), false)));
    assert_eq!(decode(Framing::Chunked, &[b"3\r\nabc\r\n"]), Ok((b"abc".to_vec(), false)));
    assert_eq!(decode(Framing::UntilClose, &[b"abc"]), Ok((b"abc".to_vec(), true)));
    assert!(decode(Framing::Chunked, &[b"zz\r\nabc\r\n"]).is_err());
    assert!(decode(Framing::Chunked, &[b"3\r\nabcXX"]).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_chunked_body_is_decoded_with_any_split(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..40), 0..6),
        piece_size in 1_usize..9,
    ) {
        let mut wire = Vec::new();
        for chunk in &chunks {
            wire.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\n\r\n");
        let pieces: Vec<&[u8]> = wire.chunks(piece_size).collect();
        prop_assert_eq!(decode(Framing::Chunked, &pieces), Ok((chunks.concat(), true)));
    }

    #[test]
    fn a_head_is_parsed_only_once_it_is_complete(split_at in 0_usize..60) {
        let text = "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 5\r\n\r\n";
        let split_at = split_at.min(text.len());
        let mut buffer = BytesMut::from(&text[..split_at]);
        let first = parse_head(&TestDialect, &mut buffer).expect("no error");
        prop_assert_eq!(first.is_some(), split_at == text.len());
        if first.is_none() {
            buffer.extend_from_slice(&text.as_bytes()[split_at..]);
            prop_assert!(parse_head(&TestDialect, &mut buffer).expect("no error").is_some());
        }
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse_head(&TestDialect, &mut BytesMut::from(&bytes[..]));
        let _ = decode(Framing::Chunked, &[&bytes]);
    }

    #[test]
    fn only_complete_events_are_forwarded(piece_size in 1_usize..12) {
        let wire = b"id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\ndata: c";
        let mut events = EventSplitter::complete_only();
        let mut out = Vec::new();
        for piece in wire.chunks(piece_size) {
            if let Some(complete) = events.push(Bytes::copy_from_slice(piece)) {
                out.extend_from_slice(&complete);
                prop_assert!(complete.ends_with(b"\n\n"));
            }
        }
        prop_assert_eq!(&out[..], &wire[..31]);
        prop_assert_eq!(events.last_id(), Some("2"));
        events.begin_response();
        prop_assert_eq!(events.take_rest(), Bytes::new());
    }
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_text(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// The value of a line if it is a field.
fn field(line: &[u8]) -> Option<(Vec<u8>, &[u8])> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let is_field = !name.is_empty()
        && name.iter().all(|byte| is_token(*byte))
        && value.iter().all(|byte| is_text(*byte));
    is_field.then(|| (name.to_ascii_lowercase(), value.trim_ascii()))
}

/// Whether bytes are a whole head, by the grammar written down once more.
fn is_sound_head(head: &[u8]) -> bool {
    let Some(head) = head.strip_suffix(b"\r\n\r\n") else { return false };
    let text: Vec<char> = head.iter().map(|byte| char::from(*byte)).collect();
    let text: String = text.into_iter().collect();
    let mut lines = text.split("\r\n").map(|line| line.chars().map(|c| c as u8).collect());
    let status_line: Vec<u8> = lines.next().unwrap_or_default();
    let is_1_0 = status_line.starts_with(b"HTTP/1.0 ");
    if !(is_1_0 || status_line.starts_with(b"HTTP/1.1 ")) {
        return false;
    }
    let (code, reason) = status_line[9..].split_at(3.min(status_line.len() - 9));
    let code = std::str::from_utf8(code).unwrap_or_default();
    let is_code = code.bytes().all(|byte| byte.is_ascii_digit());
    let is_status = matches!(code.parse::<u16>(), Ok(100 | 102..=599)) && is_code;
    let is_reason = matches!(reason, [] | [b' ', ..]) && reason.iter().all(|byte| is_text(*byte));
    let (mut lengths, mut codings) = (Vec::new(), Vec::new());
    for line in lines {
        let line: Vec<u8> = line;
        let Some((name, value)) = field(&line) else { return false };
        match &name[..] {
            b"content-length" => lengths.push(value.to_vec()),
            b"transfer-encoding" => codings.push(value.to_ascii_lowercase()),
            _ => {}
        }
    }
    let numbers: Vec<Option<u64>> = lengths
        .iter()
        .map(|value| {
            let digits = value.iter().all(|byte| byte.is_ascii_digit());
            std::str::from_utf8(value).ok().filter(|_| digits).and_then(|text| text.parse().ok())
        })
        .collect();
    let is_length = numbers.iter().all(|number| number.is_some() && *number == numbers[0]);
    let is_coding = match &codings[..] {
        [] => true,
        [coding] => coding == b"chunked" && numbers.is_empty() && !is_1_0,
        _ => false,
    };
    is_status && is_reason && is_length && is_coding
}

/// Bytes that mean something somewhere in a head.
const MEANINGFUL: &[u8] = b"\r\n \t:,;+-019aZ\0\x01\x0b\x7f\x80\xa0\xff\"(";

/// A change of one byte, at a share of the length of the head.
#[derive(Debug, Clone)]
enum Damage {
    Replace(f64, usize),
    Insert(f64, usize),
    Remove(f64),
}

fn damages() -> impl Strategy<Value = Vec<Damage>> {
    let (at, byte) = (0.0..1.0, 0..MEANINGFUL.len());
    let one = prop_oneof![
        (at.clone(), byte.clone()).prop_map(|(at, byte)| Damage::Replace(at, byte)),
        (at.clone(), byte).prop_map(|(at, byte)| Damage::Insert(at, byte)),
        at.prop_map(Damage::Remove),
    ];
    proptest::collection::vec(one, 0..4)
}

fn damaged(mut head: Vec<u8>, damages: &[Damage]) -> Vec<u8> {
    for damage in damages {
        let (Damage::Replace(at, _) | Damage::Insert(at, _) | Damage::Remove(at)) = damage;
        let at = (*at * head.len() as f64) as usize;
        match damage {
            Damage::Replace(_, byte) => head[at] = MEANINGFUL[*byte],
            Damage::Insert(_, byte) => head.insert(at, MEANINGFUL[*byte]),
            Damage::Remove(_) => {
                head.remove(at);
            }
        }
    }
    head
}

const SOUND_HEADS: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Own: a, b\r\n\r\n",
    "HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.0 404 Not Found\r\nContent-Length:4\r\nContent-Length: 4\r\n\r\n",
    "HTTP/1.1 103 Hints\r\nLink: </x>\r\n\r\n",
    "HTTP/1.1 299 \r\nX-Empty:\r\n\r\n",
];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    /// Both errors: a head that is none is accepted, or one that is sound is refused.
    #[test]
    fn a_damaged_head_is_taken_for_one_or_a_sound_one_is_refused(
        head in 0..SOUND_HEADS.len(),
        damages in damages(),
    ) {
        let bytes = damaged(SOUND_HEADS[head].into(), &damages);
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        let head = &bytes[..end.map_or(bytes.len(), |end| end + 4)];
        let mut buffer = BytesMut::from(&bytes[..]);
        let parsed = parse_head(&TestDialect, &mut buffer);
        let is_accepted = matches!(parsed, Ok(Some(_)));
        prop_assert_eq!(is_accepted, is_sound_head(head), "{:?}", bytes.escape_ascii().to_string());
        if is_accepted {
            prop_assert_eq!(buffer.len(), bytes.len() - head.len());
        }
    }
}
