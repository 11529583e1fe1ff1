//! Non-blocking log output with a bounded buffer.
//!
//! Lines are buffered in memory and handed to a writer thread a few times a second. If the reader of
//! the output is too slow and the buffer is full, further lines are dropped and counted.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Capacity of the buffer, in bytes.
const BUFFER_CAPACITY: usize = 256 * 1024;
/// Interval at which the buffer is handed to the writer thread.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(150);

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Buffers log lines; clones share the buffer.
#[derive(Clone, Default)]
pub struct LogSink {
    buffer: Arc<Mutex<Buffer>>,
    dropped: Arc<AtomicU64>,
}

impl LogSink {
    /// Number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Starts the thread that writes to `out` and returns the channel to it.
    pub fn start_writer(mut out: impl Write + Send + 'static) -> SyncSender<Vec<u8>> {
        let (sender, receiver) = sync_channel::<Vec<u8>>(1);
        std::thread::spawn(move || {
            while let Ok(bytes) = receiver.recv() {
                let _ = out.write_all(&bytes);
                let _ = out.flush();
            }
        });
        sender
    }

    /// Hands the buffered lines to the writer thread unless its channel is full.
    pub fn hand_over(&self, sender: &SyncSender<Vec<u8>>) {
        let Ok(mut buffer) = self.buffer.lock() else { return };
        if buffer.bytes.is_empty() {
            return;
        }
        let mut bytes = std::mem::take(&mut buffer.bytes);
        if buffer.dropped > 0 {
            let _ = writeln!(bytes, "level=warn event=log_lines_dropped lines={}", buffer.dropped);
        }
        match sender.try_send(bytes) {
            Ok(()) => buffer.dropped = 0,
            Err(TrySendError::Full(bytes) | TrySendError::Disconnected(bytes)) => {
                buffer.bytes = bytes;
            }
        }
    }

    /// Hands the buffered lines to the writer thread at a fixed interval, until the process ends.
    pub async fn hand_over_periodically(self, sender: SyncSender<Vec<u8>>) {
        loop {
            actix_rt::time::sleep(HAND_OVER_INTERVAL).await;
            self.hand_over(&sender);
        }
    }
}

impl Write for LogSink {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let Ok(mut buffer) = self.buffer.lock() else { return Ok(line.len()) };
        if buffer.bytes.len() + line.len() > BUFFER_CAPACITY {
            buffer.dropped += 1;
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns the value of a key in a log line, including any quotes.
pub fn log_field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(' ').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}
