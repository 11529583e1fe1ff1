//! The times of a request for its log line.

use portrack::gateway::Timings;
use portrack::types::Time;
use std::time::Duration;

#[test]
fn a_request_that_was_never_sent_has_no_times() {
    let timings = Timings::default();
    assert_eq!((timings.sent_ms(Time(50)), timings.first_ms(Time(50))), (-1, -1));
    assert_eq!(timings.longest_pause(), Duration::ZERO);
}

#[test]
fn the_last_send_the_first_part_and_the_longest_pause_are_told() {
    let timings = Timings::default();
    timings.record_sent(Time(10));
    timings.record_sent(Time(30));
    for at in [100, 150, 400, 420] {
        timings.record_chunk(Time(at));
    }
    assert_eq!((timings.sent_ms(Time(0)), timings.first_ms(Time(0))), (30, 100));
    assert_eq!(timings.longest_pause(), Duration::from_millis(250));
}
