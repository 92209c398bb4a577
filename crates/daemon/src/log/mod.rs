//! Logging: one line of key=value pairs for each event.

pub mod queue;

use std::{
    fmt::{Display, Write},
    io, thread,
};

use eyre::{Result, WrapErr};
use log::LevelFilter;
use simplelog::{ColorChoice, Config, ConfigBuilder, TermLogger, TerminalMode, WriteLogger};

/// Lines that may wait for a slow reader of the log.
const MAX_WAITING: usize = 4_096;

/// Starts logging to standard error at `level` (`error`, `warn`, `info`, `debug`).
pub fn init(level: &str) -> Result<()> {
    TermLogger::init(parse(level)?, config(), TerminalMode::Stderr, ColorChoice::Never)
        .wrap_err("could not start the log")
}

/// Starts logging to standard output at `level`. Whoever logs never waits for the reader of the log.
pub fn init_queued(level: &str) -> Result<()> {
    let (queue, waiting) = queue::bounded(MAX_WAITING);
    thread::Builder::new()
        .name("log".into())
        .spawn(move || waiting.write_to(&mut io::stdout()))
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
