//! Rows of the fault matrix. A cell of the matrix is one operation in flight while the faults of its row are injected,
//! and the checks that must hold afterwards.
//!
//! All operations of a row run in one fleet at the same time, since faults occur at any time, too. The faults affect one
//! router, one model engine and one plain service (`TARGET`); operations concern other processes.

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

/// Operation in flight while faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Streamed requests.
    Stream,
    /// Non-idempotent requests.
    Booking,
    /// Requests of sessions.
    Session,
    /// Bills being written to the ledger.
    Bill,
    /// A failure domain is taken out of service.
    Config,
    /// A started rollout is stopped.
    Rollout,
    /// A router that shuts down hands over its leases.
    Lease,
    /// A host is drained.
    Drain,
}

/// All operations.
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

/// Index of the router that faults affect, and of the agents of a model engine and a plain service that they affect.
const TARGET: (usize, [usize; 2]) = (1, [0, 3]);
/// Router that hands over its leases.
const HANDOVER_ROUTER: usize = 2;
/// Agent that is drained.
const DRAINED_AGENT: usize = 1;
/// Failure domain that is taken out of service, and its only agent.
const REMOVED_DOMAIN: (&str, usize) = ("sigatoka", 4);
/// Number of callers in a row.
const CALLERS: usize = 12;
/// Time after which an operator stops retrying a change, and within which the router that hands over its leases must
/// stop.
const CHANGE_LIMIT: Duration = Duration::from_secs(90);

/// Runs the cells of one row: `operations` while `faults` are injected.
pub async fn run_row(faults: &[Fault], operations: &[Operation], seed: u64) -> Result<()> {
    let mut fleet = Fleet::start(fleet_plan()).await?;
    let result = run_cells(&mut fleet, faults, operations, seed).await;
    let failures = fleet.collect_failures();
    if result.is_err() || !failures.is_empty() {
        println!("logs in {}", fleet.save_logs().display());
    }
    ensure!(failures.is_empty(), "seed {seed}: processes failed: {failures:#?}; the result of the row is {result:?}");
    result.wrap_err_with(|| format!("seed {seed}"))
}

/// Returns the plan of the fleet of a row, with fault links.
pub fn fleet_plan() -> FleetPlan {
    let mut plan = FleetPlan::small();
    plan.routers.push("ba");
    // One plain service remains in service while another is affected by faults and a third is taken out.
    plan.agents.push(AgentPlan { domain: "nadi", ..plan.agents[TARGET.1[1]].clone() });
    // Slow enough that answers are in flight whenever a fault is injected.
    plan.engine_args = ["--token-us", "10000"].map(str::to_owned).to_vec();
    plan.fault_links = true;
    plan
}

async fn run_cells(fleet: &mut Fleet, faults: &[Fault], operations: &[Operation], seed: u64) -> Result<()> {
    let target = FaultTarget { router: TARGET.0, agents: TARGET.1.to_vec() };
    let has = |operation| operations.contains(&operation);
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

    let revision_watch = watch_revisions(fleet);
    let injected = Instant::now();
    for fault in faults {
        fault.inject(fleet, &target).await.wrap_err_with(|| format!("could not inject {fault}"))?;
    }
    let changes = [
        (Operation::Config, format!("domains/{}/out", REMOVED_DOMAIN.0)),
        (Operation::Rollout, "rollouts/plan-small/v2/stop".to_owned()),
        (Operation::Drain, format!("hosts/{}/drain", fleet.agents[DRAINED_AGENT].id)),
    ];
    let changes: Vec<JoinHandle<Result<u64>>> = changes
        .into_iter()
        .filter(|(operation, _)| has(*operation))
        .map(|(operation, path)| {
            let operator = operator.clone();
            tokio::spawn(async move { operator.submit_change(&path, &format!("{operation:?}")).await })
        })
        .collect();
    let handover = if has(Operation::Lease) { fleet.routers[HANDOVER_ROUTER].process.take() } else { None };
    if let Some(process) = &handover {
        process.signal(Signal::Term)?;
    }
    let longest = faults.iter().map(|fault| fault.duration()).max().unwrap_or_default();
    sleep(longest.saturating_sub(injected.elapsed())).await;
    for fault in faults {
        fault.remove(fleet, &target).await.wrap_err_with(|| format!("could not remove {fault}"))?;
    }
    let removed = Instant::now();

    if let Some(process) = handover {
        wait_for_handover(fleet, process).await.wrap_err("cell Lease")?;
    }
    let mut revision = 0;
    for change in changes {
        revision = revision.max(change.await?.wrap_err("a change was not accepted")?);
    }
    fleet.wait_ready().await?;
    if revision > 0 {
        fleet.wait_for_revision(revision).await.wrap_err("cells Config, Rollout and Drain")?;
        println!("revision {revision} in force everywhere {:?} after the faults were removed", removed.elapsed());
        check_forbidden_runs(fleet, &load, operations).await?;
    }
    if has(Operation::Config) {
        operator.submit_change(&format!("domains/{}/in", REMOVED_DOMAIN.0), "in").await?;
    }
    load.wait_completed(2 * CALLERS as u64).await?;
    let records = load.finish().await?;
    let decreases = revision_watch.finish().await?;
    ensure!(decreases.is_empty(), "revisions decreased: {decreases:#?}");
    let audit = audit(fleet, 0, &records).await?;
    println!("{:?}, {} runs, {} bills, {} retries", audit.outcomes, audit.runs, audit.bills, audit.retries);
    for &operation in operations {
        check_operation(operation, faults, &audit, &records, (injected, removed))
            .wrap_err_with(|| format!("cell {operation:?}"))?;
    }
    ensure!(audit.violations.is_empty(), "{:#?}", audit.violations);
    Ok(())
}

/// Background task that polls the revision of each router.
struct RevisionWatch {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<String>>,
}

/// Starts to poll the revision of each router.
fn watch_revisions(fleet: &Fleet) -> RevisionWatch {
    const POLL_INTERVAL: Duration = Duration::from_millis(100);
    const TIMEOUT: Duration = Duration::from_secs(2);
    let operators: Vec<SocketAddr> = fleet.routers.iter().map(|router| router.operators).collect();
    let (http, stop) = (fleet.operator(), Arc::new(AtomicBool::new(false)));
    let stopped = Arc::clone(&stop);
    let task = tokio::spawn(async move {
        let mut highest_by_incarnation: HashMap<String, u64> = HashMap::new();
        let mut decreases = Vec::new();
        while !stopped.load(Ordering::Relaxed) {
            for &router in &operators {
                let Ok(Ok(reply)) = timeout(TIMEOUT, http.get(router, "/v1/status")).await else { continue };
                let status = reply.json().unwrap_or_default();
                let incarnation = status["incarnation"].as_str().unwrap_or_default().to_owned();
                let revision = status["revision"].as_u64().unwrap_or_default();
                let highest = highest_by_incarnation.entry(incarnation).or_default();
                if revision < *highest {
                    decreases.push(format!("revision of {router} decreased from {highest} to {revision}"));
                }
                *highest = revision.max(*highest);
            }
            sleep(POLL_INTERVAL).await;
        }
        decreases
    });
    RevisionWatch { stop, task }
}

impl RevisionWatch {
    /// Stops polling and returns the decreases of a revision within one incarnation.
    async fn finish(self) -> Result<Vec<String>> {
        self.stop.store(true, Ordering::Relaxed);
        Ok(self.task.await?)
    }
}

/// Waits until the router that hands over its leases has stopped, starts another in its place and waits until each shard
/// has a live owner.
async fn wait_for_handover(fleet: &mut Fleet, mut process: Process) -> Result<()> {
    let status = timeout(CHANGE_LIMIT, process.wait()).await.wrap_err("the router did not stop")??;
    ensure!(status.success(), "the router that hands over its leases ended with {status}");
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

/// Checks that work which a change in force forbids no longer runs.
async fn check_forbidden_runs(fleet: &Fleet, load: &LoadGenerator, operations: &[Operation]) -> Result<()> {
    // After this load, requests that an agent admitted before it received the change have reached the engine.
    load.wait_completed(CALLERS as u64).await?;
    let before = count_forbidden_runs(fleet, operations).await?;
    load.wait_completed(8 * CALLERS as u64).await?;
    let after = count_forbidden_runs(fleet, operations).await?;
    ensure!(before == after, "forbidden work ran after the change was in force: {before:?}, then {after:?}");
    Ok(())
}

/// Counts by operation the runs that its change forbids, so that the counts must not grow any more.
async fn count_forbidden_runs(fleet: &Fleet, operations: &[Operation]) -> Result<Vec<(Operation, usize)>> {
    let mut counts = Vec::new();
    for &operation in operations {
        let count = match operation {
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
        counts.push((operation, count));
    }
    Ok(counts)
}

/// Checks that requests of one operation were in flight during the faults, or its bills. The audit has checked each single
/// request. `period` is the time from the injection of the faults to their removal.
fn check_operation(
    operation: Operation,
    faults: &[Fault],
    audit: &Audit,
    records: &[Record],
    period: (Instant, Instant),
) -> Result<()> {
    let kind = match operation {
        Operation::Stream => CallKind::Stream,
        Operation::Booking => CallKind::Booking,
        Operation::Session => CallKind::Session,
        Operation::Bill => {
            ensure!(audit.unbilled.is_empty(), "ran but not billed: {:#?}", audit.unbilled);
            let state_lost = faults.iter().any(|fault| fault.loses_agent_state());
            ensure!(
                state_lost || audit.undelivered.is_empty(),
                "ran, but neither billed nor delivered: {:#?}",
                audit.undelivered
            );
            return Ok(());
        }
        Operation::Config | Operation::Rollout | Operation::Lease | Operation::Drain => return Ok(()),
    };
    let during =
        records.iter().filter(|record| record.kind == kind && record.sent_at < period.1 && record.ended_at > period.0);
    ensure!(during.count() > 0, "no request was in flight during the faults");
    Ok(())
}

/// An operator who tries the routers in turn, beginning with the one that faults affect.
#[derive(Clone, Debug)]
pub struct Operator {
    http: HttpClient,
    routers: Vec<SocketAddr>,
}

impl Operator {
    /// Creates an operator of `fleet`.
    pub fn new(fleet: &Fleet) -> Self {
        let mut routers: Vec<SocketAddr> = fleet.routers.iter().map(|router| router.operators).collect();
        let first = TARGET.0 % routers.len();
        routers.rotate_left(first);
        Self { http: fleet.operator(), routers }
    }

    /// Submits a change and retries it with the same submission id until it is accepted. Returns the change's revision.
    pub async fn submit_change(&self, path: &str, submission: &str) -> Result<u64> {
        const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
        const RETRY_DELAY: Duration = Duration::from_millis(100);
        let started = Instant::now();
        let path = format!("/v1/{path}?submission={submission}");
        let mut last_error = String::new();
        for attempt in 0.. {
            let router = self.routers[attempt % self.routers.len()];
            match timeout(ATTEMPT_TIMEOUT, self.http.call(Method::POST, router, &path, "")).await {
                Ok(Ok(reply)) if reply.status == StatusCode::OK => {
                    return reply.json()?["revision"].as_u64().ok_or_else(|| eyre::eyre!("no revision"));
                }
                // The routers' sequential test of the new version has already stopped the rollout.
                Ok(Ok(reply)) if reply.text().contains("already stopped") => return self.read_revision(router).await,
                Ok(Ok(reply)) => last_error = reply.text(),
                Ok(Err(err)) => last_error = format!("{err:#}"),
                Err(_) => "no answer in time".clone_into(&mut last_error),
            }
            if started.elapsed() > CHANGE_LIMIT {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        bail!("could not make the change {path} within {CHANGE_LIMIT:?}: {last_error}")
    }

    async fn read_revision(&self, router: SocketAddr) -> Result<u64> {
        let manifest = self.http.get(router, "/v1/manifest").await?.json()?;
        Ok(manifest["revision"].as_u64().unwrap_or_default())
    }
}
