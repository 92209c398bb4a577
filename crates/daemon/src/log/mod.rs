//! Logging: one line of key=value pairs for each event.

pub mod queue;

use std::{
    fmt::{Display, Write},
    io, thread,
};

use eyre::{Result, WrapErr};
use log::LevelFilter;
use simplelog::{ColorChoice, Config, ConfigBuilder, TermLogger, TerminalMode, WriteLogger};

/// Maximum number of lines that are queued for a slow reader of the log.
const MAX_QUEUED_LINES: usize = 4_096;

/// Starts logging to standard error at `level` (`error`, `warn`, `info`, `debug`).
pub fn init(level: &str) -> Result<()> {
    TermLogger::init(parse_level(level)?, config(), TerminalMode::Stderr, ColorChoice::Never)
        .wrap_err("could not start the log")
}

/// Starts logging to standard output at `level`, through a queue, so that logging never blocks on the reader of the
/// log.
pub fn init_queued(level: &str) -> Result<()> {
    let (queue, queued_lines) = queue::bounded(MAX_QUEUED_LINES);
    thread::Builder::new()
        .name("log".into())
        .spawn(move || queued_lines.write_to(&mut io::stdout()))
        .wrap_err("could not start the log thread")?;
    WriteLogger::init(parse_level(level)?, config(), queue).wrap_err("could not start the log")
}

fn parse_level(level: &str) -> Result<LevelFilter> {
    level.parse().wrap_err_with(|| format!("could not parse log level {level:?}"))
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("eelgrasswell")
        .build()
}

/// Formats an event with its fields as `event=NAME key=value ...`. Values that are empty or contain white space,
/// quotes, `=` or characters that are not printable ASCII are quoted and escaped.
pub fn line(event: &str, fields: &[(&str, &dyn Display)]) -> String {
    let mut line = format!("event={event}");
    for (key, value) in fields {
        let value = value.to_string();
        let is_plain = !value.is_empty() && value.chars().all(|c| c.is_ascii_graphic() && c != '"' && c != '=');
        let _ = if is_plain { write!(line, " {key}={value}") } else { write!(line, " {key}={value:?}") };
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
