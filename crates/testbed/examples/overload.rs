//! Measures goodput at up to twice the peak load, and during a cold start of all backend servers.
//!
//! Goodput is the rate of complete answers within the callers' deadline. The peak is measured first, in the same run,
//! with a closed loop of callers.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use argh::FromArgs;
use eelgrasswell_testbed::{
    experiment::table::{Table, decimal},
    fleet::Fleet,
    http::HttpClient,
    plan::{FleetPlan, LABASA_KEY, SAVUSAVU_KEY},
};
use eyre::Result;
use hdrhistogram::Histogram;
use hyper::StatusCode;
use serde_json::json;
use tokio::{
    sync::Mutex,
    task::JoinSet,
    time::{MissedTickBehavior, interval, sleep},
};

/// Measure goodput under overload.
#[derive(FromArgs)]
struct Args {
    /// duration of each phase in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// CSV output file
    #[argh(option)]
    csv: Option<PathBuf>,
}

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(2);
/// Callers of the closed loop that finds the peak; more than the backend servers can run at a time.
const PEAK_CALLERS: usize = 48;
/// Maximum number of requests that a cold backend server may run at a time.
const COLD_LIMIT: u64 = 2;
/// Tokens in each answer.
const TOKENS: u64 = 30;
/// Share of the small customer, which sends few requests, in the offered load, in tenths.
const SMALL_CUSTOMER_TENTHS: u64 = 1;

/// Outcomes of the requests of an open loop.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    /// Complete answers within the deadline.
    good: AtomicU64,
    /// Requests that the small customer sent.
    small_sent: AtomicU64,
    /// Complete answers to the small customer within the deadline.
    small_good: AtomicU64,
    /// Answers with status 503 or 504.
    refused: AtomicU64,
    /// Requests that were neither good nor refused.
    other: AtomicU64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let fleet = Arc::new(Fleet::start(plan()).await?);
    let phase_duration = Duration::from_secs(args.seconds);
    warm_up(&fleet).await;
    let peak = run_closed_loop(&fleet, phase_duration).await;
    let mut table = Table::new(&[
        "phase",
        "offered/s",
        "good/s",
        "good/peak",
        "small_good",
        "refused",
        "other",
        "p50_ms",
        "p95_ms",
    ]);
    table.add_row(&[&"peak", &"-", &decimal(peak), &decimal(1.0), &"-", &0, &0, &"-", &"-"]);
    for (phase, factor) in [("half", 0.5), ("double", 2.0), ("half again", 0.5)] {
        run_open_loop(&fleet, phase, peak * factor, peak, phase_duration, &mut table).await?;
    }
    for agent in 0..fleet.agents.len() {
        fleet.set_engine_fault(agent, &json!({"restarted": true, "cold": true})).await?;
    }
    let mut cold_start = ColdStart::spawn(&fleet);
    run_open_loop(&fleet, "cold start", peak, peak, phase_duration, &mut table).await?;
    cold_start.wait().await;
    run_open_loop(&fleet, "after it", peak * 0.5, peak, phase_duration, &mut table).await?;
    println!("{table}");
    let (violations, last_ms) = cold_limit_violations(&fleet).await?;
    println!(
        "requests above the limit of a cold backend server: {violations}, \
         the last {last_ms} ms after the first request that it received while cold"
    );
    match &args.csv {
        Some(path) => table.write_csv(path),
        None => Ok(()),
    }
}

/// Two routers and four engines that run eight requests each.
fn plan() -> FleetPlan {
    let mut plan = FleetPlan::small();
    let engine = plan.agents[0].clone();
    plan.agents = vec![engine; 4];
    plan.engine_args = ["--first-us", "20000", "--token-us", "2000", "--slots", "8"].map(str::to_owned).to_vec();
    let pool = &mut plan.manifest["services"]["loan-desk"];
    pool["max_running"] = json!(8);
    pool["max_queued"] = json!(32);
    pool["cold_limit"] = json!(COLD_LIMIT);
    pool["warm_interval"] = json!(1_000);
    plan.manifest["customers"]["savusavu"]["budget"] = json!(null);
    plan
}

/// Loads the backend servers for long enough that their limits on running requests rise to the full value.
async fn warm_up(fleet: &Arc<Fleet>) {
    run_closed_loop(fleet, Duration::from_secs(6)).await;
}

/// Runs a fixed number of callers, each with one request at a time. Returns the number of complete answers per second.
async fn run_closed_loop(fleet: &Arc<Fleet>, duration: Duration) -> f64 {
    let end = Instant::now() + duration;
    let mut tasks = JoinSet::new();
    for caller in 0..PEAK_CALLERS {
        let fleet = Arc::clone(fleet);
        tasks.spawn(async move {
            let http = fleet.customer(SAVUSAVU_KEY);
            let mut good = 0u64;
            while Instant::now() < end {
                if chat(&fleet, &http, caller).await.is_ok_and(|status| status == StatusCode::OK) {
                    good += 1;
                }
            }
            good
        });
    }
    let good: u64 = tasks.join_all().await.into_iter().sum();
    good as f64 / duration.as_secs_f64()
}

/// Sends requests at a fixed rate per second, whether or not earlier ones have ended, and adds a row to the table.
async fn run_open_loop(
    fleet: &Arc<Fleet>,
    phase: &str,
    rate: f64,
    peak: f64,
    duration: Duration,
    table: &mut Table,
) -> Result<()> {
    let counts = Arc::new(Counts::default());
    let latencies = Arc::new(Mutex::new(Histogram::<u64>::new(3)?));
    let mut ticks = interval(Duration::from_secs_f64(1.0 / rate));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut tasks = JoinSet::new();
    let started = Instant::now();
    for index in 0u64.. {
        if started.elapsed() >= duration {
            break;
        }
        ticks.tick().await;
        let from_small_customer = index % 10 < SMALL_CUSTOMER_TENTHS;
        let http = fleet.customer(if from_small_customer { LABASA_KEY } else { SAVUSAVU_KEY });
        let (fleet, counts, latencies) = (Arc::clone(fleet), Arc::clone(&counts), Arc::clone(&latencies));
        tasks.spawn(async move {
            let sent = Instant::now();
            let status = chat(&fleet, &http, index as usize).await;
            let good = status.as_ref().is_ok_and(|status| *status == StatusCode::OK) && sent.elapsed() <= DEADLINE;
            counts.record(from_small_customer, good, status.ok());
            if good {
                let _ = latencies.lock().await.record(sent.elapsed().as_micros() as u64);
            }
        });
    }
    tasks.join_all().await;
    let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let goodput = load(&counts.good) as f64 / duration.as_secs_f64();
    let latencies = latencies.lock().await;
    table.add_row(&[
        &phase,
        &decimal(load(&counts.sent) as f64 / duration.as_secs_f64()),
        &decimal(goodput),
        &decimal(goodput / peak),
        &decimal(load(&counts.small_good) as f64 / load(&counts.small_sent).max(1) as f64),
        &load(&counts.refused),
        &load(&counts.other),
        &decimal(latencies.value_at_quantile(0.5) as f64 / 1e3),
        &decimal(latencies.value_at_quantile(0.95) as f64 / 1e3),
    ]);
    Ok(())
}

impl Counts {
    /// Counts one request. `status` is `None` if the request got no answer.
    fn record(&self, from_small_customer: bool, good: bool, status: Option<StatusCode>) {
        let add_if = |counter: &AtomicU64, counts: bool| counter.fetch_add(u64::from(counts), Ordering::Relaxed);
        add_if(&self.sent, true);
        add_if(&self.good, good);
        add_if(&self.small_sent, from_small_customer);
        add_if(&self.small_good, from_small_customer && good);
        let refused = matches!(status, Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT));
        add_if(&self.refused, refused);
        add_if(&self.other, !good && !refused);
    }
}

/// Requests an answer without streaming through a router chosen by `index`, and returns the status.
async fn chat(fleet: &Fleet, caller: &HttpClient, index: usize) -> Result<StatusCode> {
    let body = json!({
        "model": "plan-small", "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": format!("lamp care {index}")}],
    });
    let caller = caller.with("x-deadline-ms", &DEADLINE.as_millis().to_string());
    let router = fleet.routers[index % fleet.routers.len()].callers;
    Ok(caller.post_json(router, "/v1/chat/completions", &body).await?.status)
}

/// A cold start of the engine stand-ins, which ends after a fixed time, as if their caches had filled.
struct ColdStart {
    /// Makes the engine stand-ins warm again.
    task: tokio::task::JoinHandle<()>,
}

impl ColdStart {
    fn spawn(fleet: &Arc<Fleet>) -> Self {
        const COLD_DURATION: Duration = Duration::from_secs(4);
        let fleet = Arc::clone(fleet);
        let task = tokio::spawn(async move {
            sleep(COLD_DURATION).await;
            for agent in 0..fleet.agents.len() {
                let _ = fleet.set_engine_fault(agent, &json!({"cold": false})).await;
            }
        });
        Self { task }
    }

    /// Waits until the cold start has ended.
    async fn wait(&mut self) {
        let _ = (&mut self.task).await;
    }
}

/// Counts the requests that started at a cold backend server above its cold limit, according to the server's own list
/// of runs. Also returns the longest time, in milliseconds, from the first request that a server received while cold to
/// the last one above its limit.
async fn cold_limit_violations(fleet: &Fleet) -> Result<(usize, u64)> {
    let (mut violations, mut last_ms) = (0, 0);
    for agent in 0..fleet.agents.len() {
        let runs = fleet.runs(agent).await?;
        let cold_runs: Vec<_> = runs.iter().filter(|run| run["cold"] == true).collect();
        let started_ms = |run: &serde_json::Value| run["at_ms"].as_u64().unwrap_or_default();
        let Some(first_ms) = cold_runs.iter().map(|run| started_ms(run)).min() else { continue };
        let above_limit =
            cold_runs.iter().filter(|run| run["running"].as_u64().is_some_and(|running| running > COLD_LIMIT));
        for run in above_limit {
            violations += 1;
            last_ms = last_ms.max(started_ms(run) - first_ms);
        }
    }
    Ok((violations, last_ms))
}
