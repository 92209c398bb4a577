//! Bounded queue of log lines between the threads that log and a reader of the log that may be slow. Writing a line to
//! the queue never blocks.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
};

/// Share of the capacity from which on lines about successful requests are dropped, so that there is room for lines
/// about refusals and failures.
const ROUTINE_SHARE: f64 = 0.5;
/// Events of successful requests.
const ROUTINE_EVENTS: [&str; 3] = ["event=answered ", "event=escalated ", "event=repeated "];
/// Part of the line of an answer with a server error.
const FAILED_STATUS: &str = " status=5";

/// Writer's end of the queue. A line is dropped and counted if the queue is full.
pub struct LineQueue {
    /// Incomplete last line.
    line: Vec<u8>,
    tx: SyncSender<Vec<u8>>,
    capacity: usize,
    shared: Arc<Shared>,
}

/// Reader's end of the queue.
pub struct QueuedLines {
    rx: Receiver<Vec<u8>>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    /// Number of queued lines.
    queued: AtomicUsize,
    /// Number of dropped lines that have not been reported.
    dropped: AtomicU64,
}

/// Creates a queue with a capacity of `capacity` lines.
pub fn bounded(capacity: usize) -> (LineQueue, QueuedLines) {
    let (tx, rx) = sync_channel(capacity);
    let shared = Arc::new(Shared::default());
    (LineQueue { line: Vec::new(), tx, capacity, shared: Arc::clone(&shared) }, QueuedLines { rx, shared })
}

impl LineQueue {
    fn push(&self, line: Vec<u8>) {
        let queued = self.shared.queued.fetch_add(1, Ordering::Relaxed);
        let is_filling_up = queued as f64 >= self.capacity as f64 * ROUTINE_SHARE;
        let is_dropped = is_filling_up && is_routine(&line) || self.tx.try_send(line).is_err();
        if is_dropped {
            self.shared.queued.fetch_sub(1, Ordering::Relaxed);
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl io::Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            self.push(line);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl QueuedLines {
    /// Writes lines to `out` as they arrive, until the writer's end is dropped or a write fails. Reports the number of
    /// dropped lines after the next line.
    pub fn write_to(self, out: &mut impl io::Write) {
        while let Ok(line) = self.rx.recv() {
            self.shared.queued.fetch_sub(1, Ordering::Relaxed);
            let dropped = self.shared.dropped.swap(0, Ordering::Relaxed);
            let written = out.write_all(&line).and_then(|()| match dropped {
                0 => Ok(()),
                _ => writeln!(out, "event=log_lines_dropped count={dropped}"),
            });
            if written.is_err() {
                // The error cannot be logged, because the log itself has failed.
                return;
            }
        }
    }
}

/// Whether a line reports a successful request.
fn is_routine(line: &[u8]) -> bool {
    let text = String::from_utf8_lossy(line);
    ROUTINE_EVENTS.iter().any(|event| text.contains(event)) && !text.contains(FAILED_STATUS)
}
