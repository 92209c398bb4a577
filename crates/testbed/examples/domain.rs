//! Measures service while a failure domain is taken out and put back under load.

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

/// Measure a failure domain leaving and returning.
#[derive(FromArgs)]
struct Args {
    /// seed of the callers
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds of each phase
    #[argh(option, default = "8")]
    seconds: u64,
    /// file for the CSV
    #[argh(option)]
    csv: Option<PathBuf>,
}

/// The failure domain that leaves.
const DOMAIN: &str = "lautoka";
/// Time between two looks at the backend servers' own records.
const POLL: Duration = Duration::from_millis(20);

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
    let before = runs_in_domain(&fleet).await?;
    fleet.command(0, &format!("/v1/domains/{DOMAIN}/out")).await?;
    let last = last_new_run(&fleet, phase).await?;
    let out = runs_in_domain(&fleet).await?;
    fleet.command(1, &format!("/v1/domains/{DOMAIN}/in")).await?;
    sleep(phase).await;
    let returned = runs_in_domain(&fleet).await?;
    let records = load.finish().await?;
    let lost = records.iter().filter(|record| record.outcome != Outcome::Correct).count();
    let audit = audit(&fleet, 0, &records).await?;
    table.add_row(&[&"in service", &"-", &before, &"-", &"-", &"-"]);
    table.add_row(&[&"taken out", &decimal(last.as_secs_f64() * 1e3), &(out - before), &"-", &"-", &"-"]);
    table.add_row(&[&"put back", &"-", &(returned - out), &"-", &"-", &"-"]);
    table.add_row(&[&"whole run", &"-", &returned, &records.len(), &lost, &audit.violations.len()]);
    println!("seed {}\n\n{table}", args.seed);
    match &args.csv {
        Some(path) => table.write_csv(path),
        None => Ok(()),
    }
}

/// Two routers and eight agents, half of them in the failure domain that leaves.
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

async fn runs_in_domain(fleet: &Fleet) -> Result<usize> {
    let mut runs = 0;
    for agent in (0..fleet.agents.len()).filter(|&agent| fleet.agents[agent].plan.domain == DOMAIN) {
        runs += fleet.runs(agent).await?.len();
    }
    Ok(runs)
}

/// Time from now until the last new request in the failure domain within `time`.
async fn last_new_run(fleet: &Fleet, time: Duration) -> Result<Duration> {
    let started = Instant::now();
    let (mut known, mut last) = (0, Duration::ZERO);
    while started.elapsed() < time {
        let runs = runs_in_domain(fleet).await?;
        if runs != known {
            (known, last) = (runs, started.elapsed());
        }
        sleep(POLL).await;
    }
    Ok(last)
}
