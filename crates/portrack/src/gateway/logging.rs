//! Log lines on standard output: bounded, never blocking.
//!
//! Lines are gathered in memory and handed to a writing thread a few times a second. While the
//! reader does not take them, further lines are dropped and counted.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bytes gathered at most between two hand-overs.
const GATHERED: usize = 256 * 1024;
/// Between two hand-overs.
const HAND_OVER: Duration = Duration::from_millis(150);

#[derive(Default)]
struct Gathered {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Takes log lines.
#[derive(Clone, Default)]
pub struct LogSink {
    gathered: Arc<Mutex<Gathered>>,
    dropped: Arc<AtomicU64>,
}

impl LogSink {
    /// Lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Starts the thread that writes to `out`, and returns its inlet.
    pub fn start_writer(mut out: impl Write + Send + 'static) -> SyncSender<Vec<u8>> {
        let (inlet, outlet) = sync_channel::<Vec<u8>>(1);
        std::thread::spawn(move || {
            while let Ok(bytes) = outlet.recv() {
                let _ = out.write_all(&bytes);
                let _ = out.flush();
            }
        });
        inlet
    }

    /// Hands gathered lines over, if the writer is free.
    pub fn hand_over(&self, inlet: &SyncSender<Vec<u8>>) {
        let Ok(mut gathered) = self.gathered.lock() else { return };
        if gathered.bytes.is_empty() {
            return;
        }
        let mut bytes = std::mem::take(&mut gathered.bytes);
        if gathered.dropped > 0 {
            let _ =
                writeln!(bytes, "level=warn event=log_lines_dropped lines={}", gathered.dropped);
        }
        match inlet.try_send(bytes) {
            Ok(()) => gathered.dropped = 0,
            Err(TrySendError::Full(bytes) | TrySendError::Disconnected(bytes)) => {
                gathered.bytes = bytes;
            }
        }
    }

    /// Hands lines over, for ever.
    pub async fn hand_over_always(self, inlet: SyncSender<Vec<u8>>) {
        loop {
            actix_rt::time::sleep(HAND_OVER).await;
            self.hand_over(&inlet);
        }
    }
}

impl Write for LogSink {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let Ok(mut gathered) = self.gathered.lock() else { return Ok(line.len()) };
        if gathered.bytes.len() + line.len() > GATHERED {
            gathered.dropped += 1;
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            gathered.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The value of a key in a log line, quotes included.
pub fn log_field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(' ').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}
