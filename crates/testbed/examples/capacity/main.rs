//! Measures what one node costs at rest, under changes and in recovery, with real processes.
//!
//! Processor time, bytes and calls are counted; wall-clock times depend on how busy the machine is,
//! so each row names its load average.

mod agents;
mod cluster;
mod fleet;
mod links;
mod outage;
mod recovery;
mod stats;

use std::path::PathBuf;

use argh::FromArgs;
use eyre::Result;

/// Measure capacity.
#[derive(FromArgs)]
struct Args {
    /// file for the CSV
    #[argh(option)]
    csv: Option<PathBuf>,
    #[argh(subcommand)]
    sub: Sub,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Sub {
    Links(LinksCmd),
    Changes(ChangesCmd),
    Fleet(FleetCmd),
    Outage(OutageCmd),
    Recovery(RecoveryCmd),
}

/// One router at rest with a number of agents.
#[derive(FromArgs)]
#[argh(subcommand, name = "links")]
struct LinksCmd {
    /// numbers of agents
    #[argh(positional)]
    agents: Vec<usize>,
    /// seconds of each measurement
    #[argh(option, default = "20")]
    seconds: u64,
    /// measurements for each number of agents
    #[argh(option, default = "1")]
    repeats: u32,
}

/// One router with agents under changes of the configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "changes")]
struct ChangesCmd {
    /// changes a second
    #[argh(positional)]
    rates: Vec<u64>,
    /// agents
    #[argh(option, default = "160")]
    agents: usize,
    /// seconds for each rate
    #[argh(option, default = "10")]
    seconds: u64,
}

/// A number of routers at rest, then under single changes.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetCmd {
    /// numbers of routers, each with the number of failure domains: `50` or `50x15`
    #[argh(positional)]
    sizes: Vec<fleet::Size>,
    /// agents for each router
    #[argh(option, default = "2")]
    agents: usize,
    /// seconds of each measurement
    #[argh(option, default = "20")]
    seconds: u64,
    /// changes that are timed
    #[argh(option, default = "12")]
    changes: u64,
}

/// Memory of router and agent for requests with the platform up and down.
#[derive(FromArgs)]
#[argh(subcommand, name = "outage")]
struct OutageCmd {
    /// requests of each run
    #[argh(option, default = "20000")]
    requests: u64,
}

/// Calls and connections in the seconds after a mass restart, a death and an outage.
#[derive(FromArgs)]
#[argh(subcommand, name = "recovery")]
struct RecoveryCmd {
    /// routers
    #[argh(option, default = "10")]
    routers: usize,
    /// agents
    #[argh(option, default = "200")]
    agents: usize,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let table = match args.sub {
        Sub::Links(cmd) => links::rest(&cmd.agents, cmd.seconds, cmd.repeats).await?,
        Sub::Changes(cmd) => links::changes(cmd.agents, &cmd.rates, cmd.seconds).await?,
        Sub::Fleet(cmd) => fleet::measure(&cmd.sizes, cmd.agents, cmd.seconds, cmd.changes).await?,
        Sub::Outage(cmd) => outage::measure(cmd.requests).await?,
        Sub::Recovery(cmd) => recovery::measure(cmd.routers, cmd.agents).await?,
    };
    println!("{table}");
    match &args.csv {
        Some(path) => table.write_csv(path),
        None => Ok(()),
    }
}
