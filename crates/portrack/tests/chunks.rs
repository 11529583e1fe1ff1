//! Tests that a stream yields only the chunks of its own request, complete and in order.

use bytes::Bytes;
use portrack::engine::{ChunkCheck, ChunkStream, ChunkVerdict, StreamError};
use portrack::types::ReservationId;

const MINE: ReservationId = ReservationId(7);

fn id(request: u128, position: u64) -> String {
    format!("{}/{position}", ReservationId(request))
}

#[test]
fn only_the_next_chunk_of_the_request_is_accepted() {
    let mut check = ChunkCheck::new(MINE);
    let mut check_event = |id: &str| check.check_event(id);
    assert_eq!(check_event(&id(7, 0)), ChunkVerdict::Take);
    assert_eq!(check_event(&id(8, 1)), ChunkVerdict::Foreign);
    assert_eq!(check_event(&id(7, 0)), ChunkVerdict::Repeated);
    assert_eq!(check_event(&id(7, 2)), ChunkVerdict::Gap);
    assert_eq!(check_event(""), ChunkVerdict::Foreign);
    assert_eq!(check_event("7/x"), ChunkVerdict::Foreign);
    assert_eq!(check_event(&id(7, 1)), ChunkVerdict::Take);
}

fn stream(events: &[(String, &str)]) -> ChunkStream {
    let text: Vec<String> =
        events.iter().map(|(id, data)| format!("id: {id}\ndata: {data}\n\n")).collect();
    let bytes = text.into_iter().map(|event| Ok::<_, std::io::Error>(Bytes::from(event)));
    let bytes: Vec<_> = bytes.collect();
    ChunkStream::new(futures_util::stream::iter(bytes), ChunkCheck::new(MINE))
}

#[actix_rt::test]
async fn repeated_and_foreign_chunks_are_dropped_and_counted() {
    let mut stream = stream(&[
        (id(7, 0), "a"),
        (id(9, 1), "foreign"),
        (id(7, 0), "a"),
        (id(7, 1), "b"),
        (id(7, 2), "[DONE]"),
    ]);
    let mut taken = Vec::new();
    loop {
        let chunk = stream.next().await.unwrap();
        if chunk.is_end() {
            break;
        }
        taken.push(chunk.data);
    }
    assert_eq!(taken, ["a", "b"]);
    assert_eq!(stream.dropped(), 2);
}

#[actix_rt::test]
async fn missing_chunks_and_a_missing_end_are_errors() {
    let mut gap = stream(&[(id(7, 0), "a"), (id(7, 2), "c")]);
    gap.next().await.unwrap();
    assert_eq!(gap.next().await, Err(StreamError::Gap));
    let mut cut = stream(&[(id(7, 0), "a")]);
    cut.next().await.unwrap();
    assert_eq!(cut.next().await, Err(StreamError::Broken));
    assert_eq!(cut.into_check().next(), 1);
}
