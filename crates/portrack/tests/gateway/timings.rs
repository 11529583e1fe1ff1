//! The timings of a request for its log line.

use portrack::gateway::Timings;
use portrack::types::Time;
use std::time::Duration;

#[test]
fn unsent_request_has_no_timings() {
    let timings = Timings::default();
    assert_eq!((timings.sent_ms(Time(50)), timings.first_ms(Time(50))), (-1, -1));
    assert_eq!(timings.longest_pause(), Duration::ZERO);
}

#[test]
fn reports_the_last_send_first_chunk_and_longest_pause() {
    let timings = Timings::default();
    timings.record_sent(Time(10));
    timings.record_sent(Time(30));
    for at in [100, 150, 400, 420] {
        timings.record_chunk(Time(at));
    }
    assert_eq!((timings.sent_ms(Time(0)), timings.first_ms(Time(0))), (30, 100));
    assert_eq!(timings.longest_pause(), Duration::from_millis(250));
}
