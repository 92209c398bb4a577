//! Command line client with which operators manage eelgrasswell.

mod api;
mod cause;
mod cmd;
mod error;
mod log;
mod table;
mod wait;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::run()
}
