//! Logging: one line of key=value pairs for each event.

use std::{
    fmt::{Display, Write},
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

use eyre::{Result, WrapErr};
use log::LevelFilter;
use simplelog::{ColorChoice, Config, ConfigBuilder, TermLogger, TerminalMode, WriteLogger};

/// Lines that may wait for a slow reader of the log. Further ones are dropped and counted.
const MAX_WAITING: usize = 4_096;

/// Starts logging to standard error at `level` (`error`, `warn`, `info`, `debug`).
pub fn init(level: &str) -> Result<()> {
    TermLogger::init(parse(level)?, config(), TerminalMode::Stderr, ColorChoice::Never)
        .wrap_err("could not start the log")
}

/// Starts logging to standard output at `level`. Whoever logs never waits for the reader of the log.
pub fn init_queued(level: &str) -> Result<()> {
    let (tx, rx) = sync_channel(MAX_WAITING);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = Queue { line: Vec::new(), tx, dropped: Arc::clone(&dropped) };
    thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&rx, &dropped))
        .wrap_err("could not start the log's thread")?;
    WriteLogger::init(parse(level)?, config(), queue).wrap_err("could not start the log")
}

fn parse(level: &str) -> Result<LevelFilter> {
    level.parse().wrap_err_with(|| format!("could not set log level {level:?}"))
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("eelgrasswell")
        .build()
}

/// Collects a line and hands it to the log's thread.
struct Queue {
    line: Vec<u8>,
    tx: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl io::Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if self.tx.try_send(line).is_err() {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines as they come; tells of those that were dropped once there is room again.
fn write_lines(rx: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(line) = rx.recv() {
        let missing = dropped.swap(0, Ordering::Relaxed);
        let written = io::Write::write_all(&mut out, &line).and_then(|()| {
            if missing == 0 {
                Ok(())
            } else {
                io::Write::write_fmt(&mut out, format_args!("event=log_lines_dropped count={missing}\n"))
            }
        });
        if written.is_err() {
            // Nobody reads the log any more, and there is no other place to say so.
            return;
        }
    }
}

/// Formats an event with its fields as `event=NAME key=value ...`. Values with white space, quotes
/// or control characters are quoted and escaped.
pub fn line(event: &str, fields: &[(&str, &dyn Display)]) -> String {
    let mut line = format!("event={event}");
    for (key, value) in fields {
        let value = value.to_string();
        let plain = !value.is_empty() && value.chars().all(|c| c.is_ascii_graphic() && c != '"' && c != '=');
        let _ = if plain { write!(line, " {key}={value}") } else { write!(line, " {key}={value:?}") };
    }
    line
}

/// Logs an event: `event!(Info, "started", id = host_id, port = port)`.
#[macro_export]
macro_rules! event {
    ($level:ident, $name:expr $(, $key:ident = $value:expr)* $(,)?) => {
        if ::log::log_enabled!(::log::Level::$level) {
            ::log::log!(
                ::log::Level::$level,
                "{}",
                $crate::log::line($name, &[$((stringify!($key), &$value as &dyn ::std::fmt::Display)),*])
            );
        }
    };
}
