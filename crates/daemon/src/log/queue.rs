//! Lines of the log on their way to a reader that may be slow. Whoever writes a line never waits.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
};

/// Share of the room above which lines on requests that went well are dropped, so that those on refusals and failures
/// find room.
const ROUTINE_SHARE: f64 = 0.5;
/// Events that tell of requests that go well.
const ROUTINE_EVENTS: [&str; 3] = ["event=answered ", "event=escalated ", "event=repeated "];
/// Status of an answer that did not go well.
const FAILED_STATUS: &str = " status=5";

/// Takes lines in. A line that finds no room is dropped and counted.
pub struct LineQueue {
    line: Vec<u8>,
    tx: SyncSender<Vec<u8>>,
    room: usize,
    shared: Arc<Shared>,
}

/// The lines that wait to be written.
pub struct WaitingLines {
    rx: Receiver<Vec<u8>>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    waiting: AtomicUsize,
    dropped: AtomicU64,
}

/// A queue with room for so many lines.
pub fn bounded(room: usize) -> (LineQueue, WaitingLines) {
    let (tx, rx) = sync_channel(room);
    let shared = Arc::new(Shared::default());
    (LineQueue { line: Vec::new(), tx, room, shared: Arc::clone(&shared) }, WaitingLines { rx, shared })
}

impl LineQueue {
    fn push(&self, line: Vec<u8>) {
        let waiting = self.shared.waiting.fetch_add(1, Ordering::Relaxed);
        let is_crowded = waiting as f64 >= self.room as f64 * ROUTINE_SHARE;
        let is_dropped = is_crowded && is_routine(&line) || self.tx.try_send(line).is_err();
        if is_dropped {
            self.shared.waiting.fetch_sub(1, Ordering::Relaxed);
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

impl WaitingLines {
    /// Writes lines as they come, until the queue is dropped or nobody reads them any more. Tells of dropped ones once
    /// there is room again.
    pub fn write_to(self, out: &mut impl io::Write) {
        while let Ok(line) = self.rx.recv() {
            self.shared.waiting.fetch_sub(1, Ordering::Relaxed);
            let dropped = self.shared.dropped.swap(0, Ordering::Relaxed);
            let written = out.write_all(&line).and_then(|()| match dropped {
                0 => Ok(()),
                _ => writeln!(out, "event=log_lines_dropped count={dropped}"),
            });
            if written.is_err() {
                // There is no other place to say that nobody reads the log.
                return;
            }
        }
    }
}

fn is_routine(line: &[u8]) -> bool {
    let text = String::from_utf8_lossy(line);
    ROUTINE_EVENTS.iter().any(|event| text.contains(event)) && !text.contains(FAILED_STATUS)
}
