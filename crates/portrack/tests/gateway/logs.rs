//! Log lines are bounded and never wait for their reader.

use portrack::gateway::LogSink;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};

/// A reader that takes nothing until it is told to.
struct Stuck(Receiver<()>, Sender<Vec<u8>>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        let _ = self.1.send(bytes.to_vec());
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_reading_costs_lines_and_nothing_else() {
    let (go, gate) = channel();
    let (written, out) = channel();
    let inlet = LogSink::start_writer(Stuck(gate, written));
    let mut sink = LogSink::default();
    let line = [b'x'; 99];
    // 990 KB: more than the writer, the inlet and the sink can hold together, whenever the writer's
    // thread takes its first lines.
    for round in 0..100 {
        for _ in 0..100 {
            sink.write_all(&line).expect("never fails");
        }
        if round % 4 == 0 {
            sink.hand_over(&inlet);
        }
    }
    assert!(sink.dropped() > 0, "more was written than is kept");
    for _ in 0..4 {
        go.send(()).expect("the writer lives");
    }
    let first = out.recv().expect("written at last");
    assert!(first.len() <= 300_000);
    let mut all = first;
    while !String::from_utf8_lossy(&all).contains("event=log_lines_dropped") {
        sink.hand_over(&inlet);
        let _ = go.send(());
        all.extend(out.recv().expect("written at last"));
    }
}
