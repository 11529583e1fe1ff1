//! Log buffers are bounded, and logging never blocks on the output.

use portrack::gateway::LogSink;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};

/// A writer that blocks until it is released.
struct BlockedWriter(Receiver<()>, Sender<Vec<u8>>);

impl Write for BlockedWriter {
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
fn a_blocked_writer_only_drops_lines() {
    let (release, blocked) = channel();
    let (written, out) = channel();
    let writer = LogSink::start_writer(BlockedWriter(blocked, written));
    let mut sink = LogSink::default();
    let line = [b'x'; 99];
    // 990 KB: more than the writer, its queue and the sink can hold together, no matter when the writer
    // thread takes its first lines.
    for round in 0..100 {
        for _ in 0..100 {
            sink.write_all(&line).expect("writing to the sink never fails");
        }
        if round % 4 == 0 {
            sink.hand_over(&writer);
        }
    }
    assert!(sink.dropped() > 0, "more lines were written than can be buffered");
    for _ in 0..4 {
        release.send(()).expect("the writer thread is running");
    }
    let first = out.recv().expect("written after the release");
    assert!(first.len() <= 300_000);
    let mut all = first;
    while !String::from_utf8_lossy(&all).contains("event=log_lines_dropped") {
        sink.hand_over(&writer);
        let _ = release.send(());
        all.extend(out.recv().expect("written after the release"));
    }
}
