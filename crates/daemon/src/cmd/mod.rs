//! Command line: one module per subcommand.

mod agent;
mod gateway;
mod router;

use std::process::ExitCode;

use argh::FromArgs;

/// Model-aware request router.
#[derive(FromArgs)]
pub struct Cmd {
    #[argh(subcommand)]
    sub: Sub,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Sub {
    Router(router::RouterCmd),
    Agent(agent::AgentCmd),
    Gateway(gateway::GatewayCmd),
}

/// Runs the selected subcommand. Prints an error to standard error.
pub fn run(cmd: Cmd) -> ExitCode {
    let result = match cmd.sub {
        Sub::Router(cmd) => router::run(&cmd),
        Sub::Agent(cmd) => agent::run(&cmd),
        Sub::Gateway(cmd) => gateway::run(cmd),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("eelgrasswelld: {err:#}");
            ExitCode::FAILURE
        }
    }
}
