//! Measures the resource use of one node when idle, under configuration changes and during recovery, with real
//! processes.
//!
//! CPU time, bytes and calls are counted. Wall-clock times depend on how busy the machine is, so each row also
//! holds the load average.

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

/// Measure the resource use of routers and agents.
#[derive(FromArgs)]
struct Args {
    /// CSV output file
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

/// Measure one idle router with a number of agents.
#[derive(FromArgs)]
#[argh(subcommand, name = "links")]
struct LinksCmd {
    /// numbers of agents
    #[argh(positional)]
    agents: Vec<usize>,
    /// duration of each measurement in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// number of measurements for each number of agents
    #[argh(option, default = "1")]
    repeats: u32,
}

/// Measure one router with agents under configuration changes.
#[derive(FromArgs)]
#[argh(subcommand, name = "changes")]
struct ChangesCmd {
    /// rates of changes per second
    #[argh(positional)]
    rates: Vec<u64>,
    /// number of agents
    #[argh(option, default = "160")]
    agents: usize,
    /// duration of each rate in seconds
    #[argh(option, default = "10")]
    seconds: u64,
}

/// Measure a number of idle routers, then the propagation of single configuration changes.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetCmd {
    /// numbers of routers, each optionally with the number of failure domains (5 by default): `50` or `50x15`
    #[argh(positional)]
    sizes: Vec<fleet::Size>,
    /// number of agents per router
    #[argh(option, default = "2")]
    agents: usize,
    /// duration of each measurement in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// number of changes that are timed
    #[argh(option, default = "12")]
    changes: u64,
}

/// Measure the memory of router and agent per request while the platform is up and while it is down.
#[derive(FromArgs)]
#[argh(subcommand, name = "outage")]
struct OutageCmd {
    /// number of requests in each run
    #[argh(option, default = "20000")]
    requests: u64,
}

/// Count calls and connections per second after a restart of all agents, a router crash and a platform outage.
#[derive(FromArgs)]
#[argh(subcommand, name = "recovery")]
struct RecoveryCmd {
    /// number of routers
    #[argh(option, default = "10")]
    routers: usize,
    /// number of agents
    #[argh(option, default = "200")]
    agents: usize,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let table = match args.sub {
        Sub::Links(cmd) => links::measure_idle(&cmd.agents, cmd.seconds, cmd.repeats).await?,
        Sub::Changes(cmd) => links::measure_changes(cmd.agents, &cmd.rates, cmd.seconds).await?,
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
