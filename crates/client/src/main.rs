//! The operators' client of eelgrasswell.

mod api;
mod cmd;
mod error;
mod table;
mod wait;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::run()
}
