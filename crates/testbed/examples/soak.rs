//! Runs rounds of random faults under load, each with its own seed, until the given time has passed.

use std::{process::ExitCode, time::Duration};

use argh::FromArgs;
use eelgrasswell_testbed::soak;
use eyre::Result;
use tokio::time::Instant;

/// Time within which a round injects new faults. Each round starts a new fleet.
const FAULT_DURATION: Duration = Duration::from_secs(45);

/// Run rounds of random faults under load and audit each round.
#[derive(FromArgs)]
struct Args {
    /// seed of the first round; each further round adds 1. Random by default
    #[argh(option)]
    seed: Option<u64>,
    /// minutes after which no further round starts
    #[argh(option, default = "5.0")]
    minutes: f64,
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let args: Args = argh::from_env();
    let first_seed = args.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let end = Instant::now() + Duration::from_secs_f64(args.minutes.max(0.0) * 60.0);
    let mut failed_seeds = Vec::new();
    let mut rounds = 0;
    while rounds == 0 || Instant::now() < end {
        let seed = first_seed + rounds;
        rounds += 1;
        println!("seed {seed}");
        match soak::run_round(seed, FAULT_DURATION).await {
            Ok(audit) => println!(
                "seed {seed} passed: {:?}, {} runs, {} bills, {} unbilled, {} retries",
                audit.outcomes,
                audit.runs,
                audit.bills,
                audit.unbilled.len(),
                audit.retries
            ),
            Err(err) => {
                println!("seed {seed} failed: {err:#}");
                failed_seeds.push(seed);
            }
        }
    }
    println!("{rounds} rounds from seed {first_seed}, {} failed: {failed_seeds:?}", failed_seeds.len());
    Ok(if failed_seeds.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
