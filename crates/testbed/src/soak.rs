//! Rounds of randomised faults under a randomised load. Apart from the timing of the processes, a round depends only on
//! its seed.

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

/// Number of callers in a round.
const CALLERS: usize = 12;

/// Runs one round: injects and removes faults for `duration`, then audits the load.
pub async fn run_round(seed: u64, duration: Duration) -> Result<Audit> {
    let mut fleet = Fleet::start(fault_matrix::fleet_plan()).await?;
    let result = run_faults(&mut fleet, seed, duration).await;
    let failures = fleet.collect_failures();
    if result.is_err() || !failures.is_empty() {
        println!("logs in {}", fleet.save_logs().display());
    }
    ensure!(failures.is_empty(), "processes failed: {failures:#?}; the result of the round is {result:?}");
    result
}

async fn run_faults(fleet: &mut Fleet, seed: u64, duration: Duration) -> Result<Audit> {
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
    let mut agent_state_lost = false;
    let mut number = 0;
    while started.elapsed() < duration {
        number += 1;
        let (faults, target) = choose_faults(&mut rng, fleet);
        let extra_ms = rng.random_range(200..4_000);
        println!(
            "{:5.1} s: {faults:?} at router {} and agents {:?}",
            started.elapsed().as_secs_f64(),
            target.router,
            target.agents
        );
        agent_state_lost |= faults.iter().any(|fault| fault.loses_agent_state());
        for fault in &faults {
            fault.inject(fleet, &target).await.wrap_err_with(|| format!("could not inject {fault}"))?;
        }
        // Operators make changes during faults, too, and retry each until it is accepted.
        let change = (rng.random_range(0..3) == 0).then(|| {
            let operator = operator.clone();
            tokio::spawn(async move {
                operator.submit_change("domains/ba/out", &format!("out-{number}")).await?;
                operator.submit_change("domains/ba/in", &format!("in-{number}")).await
            })
        });
        let longest = faults.iter().map(|fault| fault.duration()).max().unwrap_or_default();
        sleep(longest + Duration::from_millis(extra_ms)).await;
        for fault in &faults {
            fault.remove(fleet, &target).await.wrap_err_with(|| format!("could not remove {fault}"))?;
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
    ensure!(audit.unbilled.is_empty(), "answered but not billed: {:#?}", audit.unbilled);
    ensure!(
        agent_state_lost || audit.undelivered.is_empty(),
        "ran, but neither billed nor delivered: {:#?}",
        audit.undelivered
    );
    Ok(audit)
}

/// Chooses one or two faults that can be injected together, and the processes that they affect.
fn choose_faults(rng: &mut ChaCha8Rng, fleet: &Fleet) -> (Vec<Fault>, FaultTarget) {
    let (engine_agents, plain_agents): (Vec<usize>, Vec<usize>) =
        (0..fleet.agents.len()).partition(|&agent| !fleet.agents[agent].plan.loaded.is_empty());
    let agents = [engine_agents, plain_agents].iter().filter_map(|pool| pool.choose(rng).copied()).collect();
    let target = FaultTarget { router: rng.random_range(0..fleet.routers.len()), agents };
    let mut faults: Vec<Fault> = fault::ALL_FAULTS.choose(rng).copied().into_iter().collect();
    if rng.random_range(0..3) == 0 {
        let second = fault::ALL_FAULTS.choose(rng).copied();
        let affects_processes = faults.iter().any(|first| first.affects_processes());
        faults.extend(
            second.filter(|second| !(faults.contains(second) || affects_processes && second.affects_processes())),
        );
    }
    // The race comes first because it waits for replies to the operators, which do not arrive while all routers are cut
    // off.
    faults.sort_by_key(|fault| *fault != Fault::OperatorsRace);
    (faults, target)
}
