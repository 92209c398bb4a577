//! Restarts and faults of whole processes on loopback.

use std::{env, time::Duration};

use eelgrasswell_testbed::{
    fleet::Fleet,
    load::{Audit, LoadGenerator, LoadPlan, audit},
    plan::FleetPlan,
    process::{Process, Signal, build_dir},
};
use eyre::{Result, ensure};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Guards against a demo that no longer works as the README describes.
#[tokio::test]
async fn demo_passes() -> Result<()> {
    let log = env::temp_dir().join(format!("eelgrasswell-demo-{}.log", std::process::id()));
    build_dir()?;
    let mut demo = Process::spawn("demo", "examples/demo", &[], &log)?;
    let status = demo.wait().await?;
    ensure!(status.success(), "the demo ended with {status}: {}", std::fs::read_to_string(&log)?);
    Ok(())
}

/// Plan with three routers, and enough agents that a pool can lose one.
fn fleet_plan() -> FleetPlan {
    let mut plan = FleetPlan::small();
    plan.routers.push("ba");
    plan
}

fn load_plan(fleet: &Fleet, seed: u64, callers: usize) -> LoadPlan {
    LoadPlan {
        seed,
        callers,
        pause: Duration::from_millis(20),
        routers: fleet.routers.iter().map(|router| router.callers).collect(),
    }
}

/// Returns the seed in `EELGRASSWELL_SEED`, or the default, and prints it.
fn seed_or(default: u64) -> u64 {
    let seed = env::var("EELGRASSWELL_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(default);
    println!("seed {seed}");
    seed
}

fn print_audit(audit: &Audit) {
    println!("{:?}, {} runs, {} bills, {} retries", audit.outcomes, audit.runs, audit.bills, audit.retries);
    for line in audit.unanswered.iter().take(10) {
        println!("unanswered: {line}");
    }
    for line in audit.unbilled.iter().chain(&audit.undelivered).take(10) {
        println!("unbilled: {line}");
    }
}

/// Guards against requests that are interrupted, run twice or not billed when the routers and agents are restarted in
/// turn.
#[tokio::test]
async fn rolling_restart_cuts_no_request() -> Result<()> {
    let mut plan = fleet_plan();
    // Answers last up to 5 s, longer than the 2 s for which a process that shuts down waits for open streams.
    plan.engine_args = ["--token-us", "80000"].map(str::to_owned).to_vec();
    let mut fleet = Fleet::start(plan).await?;
    let load = LoadGenerator::spawn(&load_plan(&fleet, seed_or(11), 8));
    sleep(Duration::from_secs(2)).await;
    for router in 0..fleet.routers.len() {
        fleet.stop_router(router).await?;
        fleet.start_router(router)?;
        fleet.wait_ready().await?;
    }
    for agent in 0..fleet.agents.len() {
        fleet.stop_agent(agent).await?;
        fleet.start_agent(agent)?;
        fleet.wait_linked(agent).await?;
    }
    let records = load.finish().await?;
    let audit = audit(&fleet, 0, &records).await?;
    print_audit(&audit);
    ensure!(audit.violations.is_empty(), "{:#?}", audit.violations);
    ensure!(audit.unbilled.is_empty(), "{:#?}", audit.unbilled);
    ensure!(audit.undelivered.is_empty(), "{:#?}", audit.undelivered);
    ensure!(audit.interrupted.is_empty(), "answers were cut: {:#?}", audit.interrupted);
    ensure!(audit.unanswered.is_empty(), "{:#?}", audit.unanswered);
    Ok(())
}

/// Guards against wrong, duplicate or lost answers, runs and bills while processes are killed, frozen and replaced and
/// the platform is down for 10 s.
#[tokio::test]
async fn mixed_load_under_faults_keeps_promises() -> Result<()> {
    let seed = seed_or(21);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start(fleet_plan()).await?;
    let load = LoadGenerator::spawn(&load_plan(&fleet, seed, 12));
    let end = Instant::now() + Duration::from_secs(30);
    let mut outage = Some(Instant::now() + Duration::from_secs(10));
    let mut recovery = None;
    while Instant::now() < end {
        if outage.is_some_and(|at| Instant::now() >= at) {
            outage = None;
            recovery = Some(Instant::now() + Duration::from_secs(10));
            println!("platform down");
            fleet.set_platform_fault(&json!({"down": true})).await?;
        }
        if recovery.is_some_and(|at| Instant::now() >= at) {
            recovery = None;
            println!("platform up");
            fleet.set_platform_fault(&json!({"down": false})).await?;
        }
        inject_fault(&mut fleet, &mut rng).await?;
        sleep(Duration::from_millis(rng.random_range(300..1_500))).await;
    }
    fleet.set_platform_fault(&json!({"down": false})).await?;
    let records = load.finish().await?;
    fleet.wait_ready().await?;
    let audit = audit(&fleet, 0, &records).await?;
    print_audit(&audit);
    ensure!(audit.violations.is_empty(), "{:#?}", audit.violations);
    ensure!(audit.unbilled.is_empty(), "{:#?}", audit.unbilled);
    Ok(())
}

/// Kills, freezes or gracefully replaces a random process. The process is running again when this returns.
async fn inject_fault(fleet: &mut Fleet, rng: &mut ChaCha8Rng) -> Result<()> {
    let router = rng.random_range(0..fleet.routers.len());
    let agent = rng.random_range(0..fleet.agents.len());
    match rng.random_range(0..6) {
        0 => {
            println!("kill router {router}");
            fleet.routers[router].process = None;
            fleet.start_router(router)?;
        }
        1 => {
            println!("kill agent {agent}");
            fleet.agents[agent].process = None;
            fleet.start_agent(agent)?;
        }
        2 => {
            println!("freeze router {router}");
            freeze(fleet.routers[router].process.as_ref(), Duration::from_secs(8)).await?;
        }
        3 => {
            println!("freeze agent {agent}");
            freeze(fleet.agents[agent].process.as_ref(), Duration::from_secs(4)).await?;
        }
        4 => {
            println!("replace router {router}");
            fleet.stop_router(router).await?;
            fleet.start_router(router)?;
        }
        _ => {
            println!("replace agent {agent}");
            fleet.stop_agent(agent).await?;
            fleet.start_agent(agent)?;
        }
    }
    Ok(())
}

async fn freeze(process: Option<&Process>, duration: Duration) -> Result<()> {
    let Some(process) = process else { return Ok(()) };
    process.signal(Signal::Stop)?;
    sleep(duration).await;
    process.signal(Signal::Continue)
}
