//! Runs rounds of random drills of the store, each with its own seed, until the given number of rounds is done.

use std::process::ExitCode;

use argh::FromArgs;
use eelgrasswell_testbed::site::drill_soak;
use eyre::Result;

/// Run rounds of random drills of the store and audit each round.
#[derive(FromArgs)]
struct Args {
    /// seed of the first round; each further round adds 1. Random by default
    #[argh(option)]
    seed: Option<u64>,
    /// number of rounds
    #[argh(option, default = "10")]
    rounds: u64,
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let args: Args = argh::from_env();
    let first_seed = args.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let mut failed_seeds = Vec::new();
    for seed in first_seed..first_seed + args.rounds {
        match drill_soak::run_round(seed).await {
            Ok(summary) => println!("seed {seed} passed: {summary:?}"),
            Err(err) => {
                println!("seed {seed} failed: {err:#}");
                failed_seeds.push(seed);
            }
        }
    }
    println!("{} rounds from seed {first_seed}, failed: {failed_seeds:?}", args.rounds);
    Ok(if failed_seeds.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
