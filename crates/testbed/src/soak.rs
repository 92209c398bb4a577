//! Rounds of randomised faults under a randomised load. A round depends on its seed alone, apart from
//! the timing of the processes.

use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use crate::{
    fault::{self, Fault, FaultTarget},
    fault_matrix::{self, Operator},
    fleet::Fleet,
    load::{Audit, LoadGenerator, LoadPlan, audit},
};

/// Callers of a round.
const CALLERS: usize = 12;

/// Runs one round: faults enter for `time`, then all heals and the audit is made.
pub async fn run_round(seed: u64, time: Duration) -> Result<Audit> {
    let mut fleet = Fleet::start(fault_matrix::fleet_plan()).await?;
    let result = run(&mut fleet, seed, time).await;
    let failures = fleet.collect_failures();
    if result.is_err() || !failures.is_empty() {
        println!("logs in {}", fleet.save_logs().display());
    }
    ensure!(failures.is_empty(), "processes failed: {failures:#?}; the round gave {result:?}");
    result
}

async fn run(fleet: &mut Fleet, seed: u64, time: Duration) -> Result<Audit> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let operator = Operator::new(fleet);
    operator.submit_change("rollouts/plan-small/v2/start", "start").await?;
    operator.submit_change("rollouts/plan-small/v2/step", "step").await?;
    let load = LoadGenerator::spawn(&LoadPlan {
        seed,
        callers: CALLERS,
        pause: Duration::from_millis(10),
        routers: fleet.routers.iter().map(|router| router.callers).collect(),
    });
    let started = Instant::now();
    let mut agent_lost = false;
    let mut number = 0;
    while started.elapsed() < time {
        number += 1;
        let (faults, target) = choose_faults(&mut rng, fleet);
        let hold = rng.random_range(200..4_000);
        println!(
            "{:5.1} s: {faults:?} at router {} and agents {:?}",
            started.elapsed().as_secs_f64(),
            target.router,
            target.agents
        );
        agent_lost |= faults.iter().any(|fault| fault.loses_agent_state());
        for fault in &faults {
            fault.inject(fleet, &target).await.wrap_err_with(|| format!("{fault} begins"))?;
        }
        // Changes go on under faults; each is repeated until it is accepted.
        let change = (rng.random_range(0..3) == 0).then(|| {
            let operator = operator.clone();
            tokio::spawn(async move {
                operator.submit_change("domains/ba/out", &format!("out-{number}")).await?;
                operator.submit_change("domains/ba/in", &format!("in-{number}")).await
            })
        });
        let longest = faults.iter().map(|fault| fault.duration()).max().unwrap_or_default();
        sleep(longest + Duration::from_millis(hold)).await;
        for fault in &faults {
            fault.remove(fleet, &target).await.wrap_err_with(|| format!("{fault} ends"))?;
        }
        if let Some(change) = change {
            let revision = change.await??;
            fleet.wait_for_revision(revision).await?;
        }
        fleet.wait_ready().await?;
    }
    load.wait_completed(CALLERS as u64).await?;
    let records = load.finish().await?;
    let audit = audit(fleet, 0, &records).await?;
    ensure!(audit.violations.is_empty(), "{:#?}", audit.violations);
    ensure!(audit.unbilled.is_empty(), "answered and not billed: {:#?}", audit.unbilled);
    ensure!(agent_lost || audit.undelivered.is_empty(), "ran for nobody: {:#?}", audit.undelivered);
    Ok(audit)
}

/// One or two faults that can be in force together, and their target.
fn choose_faults(rng: &mut ChaCha8Rng, fleet: &Fleet) -> (Vec<Fault>, FaultTarget) {
    let (engines, plain): (Vec<usize>, Vec<usize>) =
        (0..fleet.agents.len()).partition(|&agent| !fleet.agents[agent].plan.loaded.is_empty());
    let agents = [engines, plain].iter().filter_map(|pool| pool.choose(rng).copied()).collect();
    let target = FaultTarget { router: rng.random_range(0..fleet.routers.len()), agents };
    let mut faults: Vec<Fault> = fault::ALL_FAULTS.choose(rng).copied().into_iter().collect();
    if rng.random_range(0..3) == 0 {
        let second = fault::ALL_FAULTS.choose(rng).copied();
        let of_process = faults.iter().any(|first| first.affects_processes());
        faults.extend(second.filter(|second| !(faults.contains(second) || of_process && second.affects_processes())));
    }
    // An operator's answer is waited for, so that the race cannot begin while all are cut off.
    faults.sort_by_key(|fault| *fault != Fault::OperatorsRace);
    (faults, target)
}
