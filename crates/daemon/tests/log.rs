//! Tests of the log queue: writing must never block on a slow reader, and a full queue must drop lines about successes
//! before lines about failures.

use std::io::Write;

use eelgrasswell_daemon::log::queue::{LineQueue, bounded};
use test_case::test_case;

const CAPACITY: usize = 100;

fn write(queue: &mut LineQueue, line: &str, times: usize) {
    (0..times).for_each(|_| writeln!(queue, "{line}").unwrap());
}

fn count(text: &str, part: &str) -> usize {
    text.lines().filter(|line| line.contains(part)).count()
}

/// Guards against losing lines about refusals and failures because successes fill the queue.
#[test]
fn queue_keeps_failures_longest() {
    let (mut queue, queued_lines) = bounded(CAPACITY);
    write(&mut queue, "event=answered request=a status=200", 1_000);
    write(&mut queue, "event=refused request=b status=503 reason=no_backend", 30);
    write(&mut queue, "event=answered request=c status=500", 10);
    drop(queue);
    let mut out = Vec::new();
    queued_lines.write_to(&mut out);
    let text = String::from_utf8(out).unwrap();
    assert_eq!(count(&text, "request=a"), CAPACITY / 2);
    assert_eq!((count(&text, "request=b"), count(&text, "request=c")), (30, 10));
    assert_eq!(count(&text, "event=log_lines_dropped count=950"), 1, "{text}");
}

#[test_case("event=answered request=a status=200"; "successes")]
#[test_case("event=refused request=a status=503"; "refusals")]
fn queue_never_blocks(line: &str) {
    let (mut queue, queued_lines) = bounded(CAPACITY);
    // There is no reader yet: lines beyond the capacity must neither block nor be kept.
    write(&mut queue, line, 10 * CAPACITY);
    drop(queue);
    let mut out = Vec::new();
    queued_lines.write_to(&mut out);
    let text = String::from_utf8(out).unwrap();
    assert!(count(&text, "request=a") <= CAPACITY);
    assert_eq!(count(&text, "event=log_lines_dropped"), 1);
}

/// Guards against a queue that stays full after its reader has caught up.
#[test]
fn queue_accepts_lines_after_catch_up() {
    const MAX_ATTEMPTS: usize = 100_000;
    let (mut queue, queued_lines) = bounded(CAPACITY);
    write(&mut queue, "event=answered request=a status=200", CAPACITY);
    let (read_tx, read_rx) = std::sync::mpsc::channel();
    let reader = std::thread::spawn(move || queued_lines.write_to(&mut ChannelWriter(read_tx)));
    let was_read = (0..MAX_ATTEMPTS).any(|_| {
        write(&mut queue, "event=answered request=late status=200", 1);
        std::thread::yield_now();
        read_rx.try_iter().any(|text: String| text.contains("request=late"))
    });
    assert!(was_read, "no line was accepted after the reader had caught up");
    drop(queue);
    reader.join().unwrap();
}

/// Sends what is written to it to a channel.
struct ChannelWriter(std::sync::mpsc::Sender<String>);

impl Write for ChannelWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.send(String::from_utf8_lossy(bytes).into_owned()).map_err(std::io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
