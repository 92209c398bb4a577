//! Guards against a log that makes its writer wait, and against one that loses failures before successes.

use std::io::Write;

use eelgrasswell_daemon::log::queue::{LineQueue, bounded};
use test_case::test_case;

const ROOM: usize = 100;

fn write(queue: &mut LineQueue, line: &str, times: usize) {
    (0..times).for_each(|_| writeln!(queue, "{line}").unwrap());
}

fn count(text: &str, part: &str) -> usize {
    text.lines().filter(|line| line.contains(part)).count()
}

#[test]
fn queue_keeps_failures_longest() {
    let (mut queue, waiting) = bounded(ROOM);
    write(&mut queue, "event=answered request=a status=200", 1_000);
    write(&mut queue, "event=refused request=b status=503 reason=no_backend", 30);
    write(&mut queue, "event=answered request=c status=500", 10);
    drop(queue);
    let mut out = Vec::new();
    waiting.write_to(&mut out);
    let text = String::from_utf8(out).unwrap();
    assert_eq!(count(&text, "request=a"), ROOM / 2);
    assert_eq!((count(&text, "request=b"), count(&text, "request=c")), (30, 10));
    assert_eq!(count(&text, "event=log_lines_dropped count=950"), 1, "{text}");
}

#[test_case("event=answered request=a status=200"; "successes")]
#[test_case("event=refused request=a status=503"; "refusals")]
fn queue_never_waits(line: &str) {
    let (mut queue, waiting) = bounded(ROOM);
    // Nobody reads: more than there is room for must neither wait nor be kept.
    write(&mut queue, line, 10 * ROOM);
    drop(queue);
    let mut out = Vec::new();
    waiting.write_to(&mut out);
    let text = String::from_utf8(out).unwrap();
    assert!(count(&text, "request=a") <= ROOM);
    assert_eq!(count(&text, "event=log_lines_dropped"), 1);
}

#[test]
fn queue_has_room_again() {
    const MOST_TRIES: usize = 100_000;
    let (mut queue, waiting) = bounded(ROOM);
    write(&mut queue, "event=answered request=a status=200", ROOM);
    let (read_tx, read_rx) = std::sync::mpsc::channel();
    let reader = std::thread::spawn(move || waiting.write_to(&mut Lines(read_tx)));
    let is_read = (0..MOST_TRIES).any(|_| {
        write(&mut queue, "event=answered request=late status=200", 1);
        std::thread::yield_now();
        read_rx.try_iter().any(|text: String| text.contains("request=late"))
    });
    assert!(is_read, "no line found room after the reader had caught up");
    drop(queue);
    reader.join().unwrap();
}

/// Hands on what is written to it.
struct Lines(std::sync::mpsc::Sender<String>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.send(String::from_utf8_lossy(bytes).into_owned()).map_err(std::io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
