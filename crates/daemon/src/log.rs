//! Logging: one line of key=value pairs for each event.

use std::fmt::{Display, Write};

use eyre::{Result, WrapErr};
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Starts logging to standard error at `level` (`error`, `warn`, `info`, `debug`).
pub fn init(level: &str) -> Result<()> {
    let level = level.parse().wrap_err_with(|| format!("could not set log level {level:?}"))?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(log::LevelFilter::Off)
        .set_thread_level(log::LevelFilter::Off)
        .add_filter_allow_str("eelgrasswell")
        .build();
    TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never).wrap_err("could not start the log")
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
