//! Measures the effect on requests when a failure domain is taken out of service and put back under load.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use argh::FromArgs;
use eelgrasswell_testbed::{
    experiment::table::{Table, decimal},
    fleet::Fleet,
    load::{LoadGenerator, LoadPlan, Outcome, audit},
    plan::FleetPlan,
};
use eyre::Result;
use tokio::time::sleep;

/// Measure the effect of taking a failure domain out of service and putting it back.
#[derive(FromArgs)]
struct Args {
    /// seed of the callers' random requests
    #[argh(option, default = "1")]
    seed: u64,
    /// duration of each phase in seconds
    #[argh(option, default = "8")]
    seconds: u64,
    /// CSV output file
    #[argh(option)]
    csv: Option<PathBuf>,
}

/// The failure domain that is taken out of service.
const DOMAIN: &str = "lautoka";
/// Interval at which the backend servers' lists of runs are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let fleet = Fleet::start(plan()).await?;
    let mut table = Table::new(&["phase", "last_new_work_ms", "runs_in_domain", "requests", "lost", "broken"]);
    let phase = Duration::from_secs(args.seconds);
    let load = LoadGenerator::spawn(&LoadPlan {
        seed: args.seed,
        callers: 16,
        pause: Duration::from_millis(5),
        routers: fleet.routers.iter().map(|router| router.callers).collect(),
    });
    sleep(phase).await;
    let runs_before = runs_in_domain(&fleet).await?;
    fleet.command(0, &format!("/v1/domains/{DOMAIN}/out")).await?;
    let last_new_work = time_of_last_new_run(&fleet, phase).await?;
    let runs_while_out = runs_in_domain(&fleet).await?;
    fleet.command(1, &format!("/v1/domains/{DOMAIN}/in")).await?;
    sleep(phase).await;
    let runs_at_end = runs_in_domain(&fleet).await?;
    let records = load.finish().await?;
    let lost = records.iter().filter(|record| record.outcome != Outcome::Correct).count();
    let audit = audit(&fleet, 0, &records).await?;
    let last_new_work_ms = last_new_work.as_secs_f64() * 1e3;
    table.add_row(&[&"in service", &"-", &runs_before, &"-", &"-", &"-"]);
    table.add_row(&[&"taken out", &decimal(last_new_work_ms), &(runs_while_out - runs_before), &"-", &"-", &"-"]);
    table.add_row(&[&"put back", &"-", &(runs_at_end - runs_while_out), &"-", &"-", &"-"]);
    table.add_row(&[&"whole run", &"-", &runs_at_end, &records.len(), &lost, &audit.violations.len()]);
    println!("seed {}\n\n{table}", args.seed);
    match &args.csv {
        Some(path) => table.write_csv(path),
        None => Ok(()),
    }
}

/// Two routers and eight agents. Half of the agents are in the failure domain that is taken out of service.
fn plan() -> FleetPlan {
    let mut plan = FleetPlan::small();
    let mut agents = Vec::new();
    for (index, agent) in [0, 0, 1, 1, 3, 3, 4, 4].into_iter().enumerate() {
        let mut agent = plan.agents[agent].clone();
        agent.domain = [DOMAIN, "nadi"][index % 2];
        agents.push(agent);
    }
    plan.agents = agents;
    plan
}

/// Number of requests that the backend servers in the failure domain have started so far.
async fn runs_in_domain(fleet: &Fleet) -> Result<usize> {
    let mut runs = 0;
    for agent in (0..fleet.agents.len()).filter(|&agent| fleet.agents[agent].plan.domain == DOMAIN) {
        runs += fleet.runs(agent).await?.len();
    }
    Ok(runs)
}

/// Watches the failure domain for `observation`. Returns the time from the call until the last request that started
/// there, as seen at the polling interval.
async fn time_of_last_new_run(fleet: &Fleet, observation: Duration) -> Result<Duration> {
    let started = Instant::now();
    let (mut known_runs, mut last_new_run) = (0, Duration::ZERO);
    while started.elapsed() < observation {
        let runs = runs_in_domain(fleet).await?;
        if runs != known_runs {
            (known_runs, last_new_run) = (runs, started.elapsed());
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(last_new_run)
}
