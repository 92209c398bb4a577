//! Runs the experiments that `docs/decisions/` refers to. Prints a table and can write it as CSV.

use std::path::PathBuf;

use argh::FromArgs;
use eelgrasswell_testbed::experiment::{cost, exposure};
use eyre::Result;

/// Run an experiment.
#[derive(FromArgs)]
struct Args {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of consecutive seeds
    #[argh(option, default = "3")]
    seeds: u64,
    /// CSV output file
    #[argh(option)]
    csv: Option<PathBuf>,
    /// name of the experiment: cost, exposure or false-stops
    #[argh(positional)]
    name: String,
}

fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
    let table = match args.name.as_str() {
        "cost" => cost::run(&seeds),
        "exposure" => exposure::run(&seeds),
        "false-stops" => exposure::false_stops(2_000, 0.005, args.seed),
        other => eyre::bail!("could not find experiment {other:?}"),
    };
    println!("experiment {} seeds {seeds:?}\n\n{table}", args.name);
    match args.csv {
        Some(path) => table.write_csv(&path),
        None => Ok(()),
    }
}
