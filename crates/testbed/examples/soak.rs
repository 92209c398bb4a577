//! Long randomised run: rounds of faults under load, each with a seed of its own, until the time is over.

use std::{process::ExitCode, time::Duration};

use argh::FromArgs;
use eelgrasswell_testbed::soak;
use eyre::Result;
use tokio::time::Instant;

/// Longest time of faults in one round; the fleet of a round starts afresh.
const ROUND: Duration = Duration::from_secs(45);

/// Run rounds of random faults under load and audit each.
#[derive(FromArgs)]
struct Args {
    /// seed of the first round, each further round adds one; drawn afresh when not given
    #[argh(option)]
    seed: Option<u64>,
    /// minutes after which no further round starts
    #[argh(option, default = "5.0")]
    minutes: f64,
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let args: Args = argh::from_env();
    let first = args.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let end = Instant::now() + Duration::from_secs_f64(args.minutes.max(0.0) * 60.0);
    let mut failed = Vec::new();
    let mut rounds = 0;
    while rounds == 0 || Instant::now() < end {
        let seed = first + rounds;
        rounds += 1;
        println!("seed {seed}");
        match soak::run_round(seed, ROUND).await {
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
                failed.push(seed);
            }
        }
    }
    println!("{rounds} rounds from seed {first}, {} failed: {failed:?}", failed.len());
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
