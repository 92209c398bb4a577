//! Cells of the fault matrix: steps in flight while faults enter, and what must hold afterwards.
//!
//! All steps of a row run in one fleet at the same time, since faults do not wait for each other
//! either. The first router and the first engine and plain service are the place of the faults; other
//! processes are the subject of the steps.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use eyre::{Result, WrapErr, bail, ensure};
use hyper::{Method, StatusCode};
use serde_json::Value;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use crate::{
    fault::{Fault, FaultTarget},
    fleet::Fleet,
    http::HttpClient,
    load::{Audit, CallKind, LoadGenerator, LoadPlan, Record, audit},
    plan::{AgentPlan, FleetPlan},
    process::{Process, Signal},
};

/// What is in flight when a fault enters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Streamed requests.
    Stream,
    /// Non-idempotent requests.
    Booking,
    /// Requests of sessions.
    Session,
    /// Bills on the way to the ledger.
    Bill,
    /// A failure domain is taken out.
    Config,
    /// A rollout has started and is stopped.
    Rollout,
    /// The leases of a router move.
    Lease,
    /// A host is drained.
    Drain,
}

/// All steps.
pub const ALL_OPERATIONS: [Operation; 8] = [
    Operation::Stream,
    Operation::Booking,
    Operation::Session,
    Operation::Bill,
    Operation::Config,
    Operation::Rollout,
    Operation::Lease,
    Operation::Drain,
];

/// Router, model engine and plain service that faults concern.
const TARGET: (usize, [usize; 2]) = (1, [0, 3]);
/// Router that hands its leases over.
const HANDOVER_ROUTER: usize = 2;
/// Agent that is drained.
const DRAINED_AGENT: usize = 1;
/// Failure domain that is taken out, with its only agent.
const REMOVED_DOMAIN: (&str, usize) = ("sigatoka", 4);
/// Callers of a cell.
const CALLERS: usize = 12;
/// Longest time that an operator goes on trying a change.
const CHANGE_LIMIT: Duration = Duration::from_secs(90);

/// Runs the cells of one row: `steps` while `faults` are in force.
pub async fn run_row(faults: &[Fault], steps: &[Operation], seed: u64) -> Result<()> {
    let mut fleet = Fleet::start(fleet_plan()).await?;
    let result = run_in(&mut fleet, faults, steps, seed).await;
    let failures = fleet.collect_failures();
    if result.is_err() || !failures.is_empty() {
        println!("logs in {}", fleet.save_logs().display());
    }
    ensure!(failures.is_empty(), "seed {seed}: processes failed: {failures:#?}; the row gave {result:?}");
    result.wrap_err_with(|| format!("seed {seed}"))
}

/// The fleet of a row, with fault links.
pub fn fleet_plan() -> FleetPlan {
    let mut plan = FleetPlan::small();
    plan.routers.push("ba");
    // One plain service stays when one is at the place of the fault and one is taken out.
    plan.agents.push(AgentPlan { domain: "nadi", ..plan.agents[TARGET.1[1]].clone() });
    // Slow enough that answers are under way whenever a fault enters.
    plan.engine_args = ["--token-us", "10000"].map(str::to_owned).to_vec();
    plan.fault_links = true;
    plan
}

async fn run_in(fleet: &mut Fleet, faults: &[Fault], steps: &[Operation], seed: u64) -> Result<()> {
    let target = FaultTarget { router: TARGET.0, agents: TARGET.1.to_vec() };
    let has = |step| steps.contains(&step);
    let operator = Operator::new(fleet);
    if has(Operation::Rollout) {
        operator.submit_change("rollouts/plan-small/v2/start", "start").await?;
        operator.submit_change("rollouts/plan-small/v2/step", "step").await?;
    }
    let load = LoadGenerator::spawn(&LoadPlan {
        seed,
        callers: CALLERS,
        pause: Duration::from_millis(5),
        routers: fleet.routers.iter().map(|router| router.callers).collect(),
    });
    load.wait_completed(5 * CALLERS as u64).await?;

    let falls = watch_revisions(fleet);
    let began = Instant::now();
    for fault in faults {
        fault.inject(fleet, &target).await.wrap_err_with(|| format!("{fault} begins"))?;
    }
    let changes = [
        (Operation::Config, format!("domains/{}/out", REMOVED_DOMAIN.0)),
        (Operation::Rollout, "rollouts/plan-small/v2/stop".to_owned()),
        (Operation::Drain, format!("hosts/{}/drain", fleet.agents[DRAINED_AGENT].id)),
    ];
    let changes: Vec<JoinHandle<Result<u64>>> = changes
        .into_iter()
        .filter(|(step, _)| has(*step))
        .map(|(step, path)| {
            let operator = operator.clone();
            tokio::spawn(async move { operator.submit_change(&path, &format!("{step:?}")).await })
        })
        .collect();
    let handover = if has(Operation::Lease) { fleet.routers[HANDOVER_ROUTER].process.take() } else { None };
    if let Some(process) = &handover {
        process.signal(Signal::Term)?;
    }
    let longest = faults.iter().map(|fault| fault.duration()).max().unwrap_or_default();
    sleep(longest.saturating_sub(began.elapsed())).await;
    for fault in faults {
        fault.remove(fleet, &target).await.wrap_err_with(|| format!("{fault} ends"))?;
    }
    let ended = Instant::now();

    if let Some(process) = handover {
        hand_over(fleet, process).await.wrap_err("cell Lease")?;
    }
    let mut revision = 0;
    for change in changes {
        revision = revision.max(change.await?.wrap_err("a change was not accepted")?);
    }
    fleet.wait_ready().await?;
    if revision > 0 {
        fleet.wait_for_revision(revision).await.wrap_err("cells Config, Rollout and Drain")?;
        println!("revision {revision} in force everywhere {:?} after the end of the fault", ended.elapsed());
        check_barred(fleet, &load, steps).await?;
    }
    if has(Operation::Config) {
        operator.submit_change(&format!("domains/{}/in", REMOVED_DOMAIN.0), "in").await?;
    }
    load.wait_completed(2 * CALLERS as u64).await?;
    let records = load.finish().await?;
    let falls = falls.finish().await?;
    ensure!(falls.is_empty(), "revisions fell: {falls:#?}");
    let audit = audit(fleet, 0, &records).await?;
    println!("{:?}, {} runs, {} bills, {} retries", audit.outcomes, audit.runs, audit.bills, audit.retries);
    for &step in steps {
        check(step, faults, &audit, &records, (began, ended)).wrap_err_with(|| format!("cell {step:?}"))?;
    }
    ensure!(audit.violations.is_empty(), "{:#?}", audit.violations);
    Ok(())
}

/// Observes the revision of each router.
struct RevisionWatch {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<String>>,
}

fn watch_revisions(fleet: &Fleet) -> RevisionWatch {
    const PAUSE: Duration = Duration::from_millis(100);
    const ANSWER: Duration = Duration::from_secs(2);
    let operators: Vec<SocketAddr> = fleet.routers.iter().map(|router| router.operators).collect();
    let (http, stop) = (fleet.operator(), Arc::new(AtomicBool::new(false)));
    let stopped = Arc::clone(&stop);
    let task = tokio::spawn(async move {
        let mut seen: HashMap<String, u64> = HashMap::new();
        let mut falls = Vec::new();
        while !stopped.load(Ordering::Relaxed) {
            for &router in &operators {
                let Ok(Ok(reply)) = timeout(ANSWER, http.get(router, "/v1/status")).await else { continue };
                let status = reply.json().unwrap_or_default();
                let incarnation = status["incarnation"].as_str().unwrap_or_default().to_owned();
                let revision = status["revision"].as_u64().unwrap_or_default();
                let highest = seen.entry(incarnation).or_default();
                if revision < *highest {
                    falls.push(format!("{router} fell from {highest} to {revision}"));
                }
                *highest = revision.max(*highest);
            }
            sleep(PAUSE).await;
        }
        falls
    });
    RevisionWatch { stop, task }
}

impl RevisionWatch {
    /// Revisions that fell within one incarnation.
    async fn finish(self) -> Result<Vec<String>> {
        self.stop.store(true, Ordering::Relaxed);
        Ok(self.task.await?)
    }
}

/// Waits for the end of the router that hands over, starts another in its place and waits until each
/// shard has a live owner.
async fn hand_over(fleet: &mut Fleet, mut process: Process) -> Result<()> {
    let status = timeout(CHANGE_LIMIT, process.wait()).await.wrap_err("the router does not stop")??;
    ensure!(status.success(), "the router that hands over ended with {status}");
    fleet.start_router(HANDOVER_ROUTER)?;
    fleet.wait_ready().await?;
    fleet
        .wait_until("each shard has a live owner", async |fleet| {
            let Ok(status) = fleet.status(0).await else { return false };
            let live: Vec<&Value> =
                status["routers"].as_array().into_iter().flatten().map(|router| &router["incarnation"]).collect();
            let shards = status["shards"].as_array().cloned().unwrap_or_default();
            shards.len() == 16 && shards.iter().all(|shard| live.contains(&&shard["incarnation"]))
        })
        .await
}

/// Checks that nothing that a change in force forbids runs any more.
async fn check_barred(fleet: &Fleet, load: &LoadGenerator, steps: &[Operation]) -> Result<()> {
    // Requests that an agent let pass before it heard of the change have reached the engine by then.
    load.wait_completed(CALLERS as u64).await?;
    let before = forbidden_runs(fleet, steps).await?;
    load.wait_completed(8 * CALLERS as u64).await?;
    let after = forbidden_runs(fleet, steps).await?;
    ensure!(before == after, "forbidden work ran after the change was in force: {before:?}, then {after:?}");
    Ok(())
}

/// Runs by step that may not rise any more.
async fn forbidden_runs(fleet: &Fleet, steps: &[Operation]) -> Result<Vec<(Operation, usize)>> {
    let mut counts = Vec::new();
    for &step in steps {
        let count = match step {
            Operation::Config => fleet.runs(REMOVED_DOMAIN.1).await?.len(),
            Operation::Drain => fleet.runs(DRAINED_AGENT).await?.len(),
            Operation::Rollout => {
                let mut count = 0;
                for agent in 0..fleet.agents.len() {
                    count += fleet.runs(agent).await?.iter().filter(|run| run["version"] == "v2").count();
                }
                count
            }
            _ => continue,
        };
        counts.push((step, count));
    }
    Ok(counts)
}

/// Checks the records of one step. The audit has checked each single request.
fn check(step: Operation, faults: &[Fault], audit: &Audit, records: &[Record], time: (Instant, Instant)) -> Result<()> {
    let kind = match step {
        Operation::Stream => CallKind::Stream,
        Operation::Booking => CallKind::Booking,
        Operation::Session => CallKind::Session,
        Operation::Bill => {
            ensure!(audit.unbilled.is_empty(), "ran and not billed: {:#?}", audit.unbilled);
            let lost = faults.iter().any(|fault| fault.loses_agent_state());
            ensure!(lost || audit.undelivered.is_empty(), "ran for nobody: {:#?}", audit.undelivered);
            return Ok(());
        }
        Operation::Config | Operation::Rollout | Operation::Lease | Operation::Drain => return Ok(()),
    };
    let during =
        records.iter().filter(|record| record.kind == kind && record.sent_at < time.1 && record.ended_at > time.0);
    ensure!(during.count() > 0, "no request was in flight during the fault");
    Ok(())
}

/// An operator who tries the routers in turn, beginning with the one that faults concern.
#[derive(Clone, Debug)]
pub struct Operator {
    http: HttpClient,
    routers: Vec<SocketAddr>,
}

impl Operator {
    /// An operator of `fleet`.
    pub fn new(fleet: &Fleet) -> Self {
        let mut routers: Vec<SocketAddr> = fleet.routers.iter().map(|router| router.operators).collect();
        let first = TARGET.0 % routers.len();
        routers.rotate_left(first);
        Self { http: fleet.operator(), routers }
    }

    /// Makes a change and repeats it under the same submission id until it is accepted; gives its
    /// revision.
    pub async fn submit_change(&self, path: &str, submission: &str) -> Result<u64> {
        const ATTEMPT: Duration = Duration::from_secs(4);
        const PAUSE: Duration = Duration::from_millis(100);
        let started = Instant::now();
        let path = format!("/v1/{path}?submission={submission}");
        let mut last = String::new();
        for attempt in 0.. {
            let router = self.routers[attempt % self.routers.len()];
            match timeout(ATTEMPT, self.http.call(Method::POST, router, &path, "")).await {
                Ok(Ok(reply)) if reply.status == StatusCode::OK => {
                    return reply.json()?["revision"].as_u64().ok_or_else(|| eyre::eyre!("no revision"));
                }
                // The sequential test has stopped the rollout before the operator did.
                Ok(Ok(reply)) if reply.text().contains("already stopped") => return self.revision(router).await,
                Ok(Ok(reply)) => last = reply.text(),
                Ok(Err(err)) => last = format!("{err:#}"),
                Err(_) => "no answer in time".clone_into(&mut last),
            }
            if started.elapsed() > CHANGE_LIMIT {
                break;
            }
            sleep(PAUSE).await;
        }
        bail!("could not make the change {path} within {CHANGE_LIMIT:?}: {last}")
    }

    async fn revision(&self, router: SocketAddr) -> Result<u64> {
        let shown = self.http.get(router, "/v1/manifest").await?.json()?;
        Ok(shown["revision"].as_u64().unwrap_or_default())
    }
}
