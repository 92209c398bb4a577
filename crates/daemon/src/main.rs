//! Entry point of the eelgrasswell daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    eelgrasswell_daemon::cmd::run(argh::from_env())
}
