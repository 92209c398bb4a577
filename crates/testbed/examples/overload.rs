//! Measures goodput through twice the peak load, and through a cold start of all backend servers.
//!
//! Goodput counts whole answers within the callers' deadline. The peak is measured first, in the
//! same run, with a closed loop of callers.

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
    /// seconds of each phase
    #[argh(option, default = "10")]
    seconds: u64,
    /// file for the CSV
    #[argh(option)]
    csv: Option<PathBuf>,
}

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(2);
/// Callers of the closed loop that finds the peak; more than the backend servers run at a time.
const PEAK_CALLERS: usize = 48;
/// Most requests that a cold backend server runs.
const COLD_LIMIT: u64 = 2;
/// Tokens of each answer.
const TOKENS: u64 = 30;
/// Share of the small customer in the offered load, in tenths.
const SMALL_TENTHS: u64 = 1;

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    good: AtomicU64,
    small_sent: AtomicU64,
    small_good: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let fleet = Arc::new(Fleet::start(plan()).await?);
    let time = Duration::from_secs(args.seconds);
    warm_up(&fleet).await;
    let peak = closed_loop(&fleet, time).await;
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
        open_loop(&fleet, phase, peak * factor, peak, time, &mut table).await?;
    }
    for agent in 0..fleet.agents.len() {
        fleet.set_engine_fault(agent, &json!({"restarted": true, "cold": true})).await?;
    }
    let mut warming = Warming::spawn(&fleet);
    open_loop(&fleet, "cold start", peak, peak, time, &mut table).await?;
    warming.stop().await;
    open_loop(&fleet, "after it", peak * 0.5, peak, time, &mut table).await?;
    println!("{table}");
    let (breaches, last) = breaches(&fleet).await?;
    println!("requests above the limit of a cold backend server: {breaches}, the last {last} ms after it turned cold");
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

/// Warms the backend servers so that their limits are at the full value.
async fn warm_up(fleet: &Arc<Fleet>) {
    closed_loop(fleet, Duration::from_secs(6)).await;
}

/// Whole answers a second with a fixed number of callers.
async fn closed_loop(fleet: &Arc<Fleet>, time: Duration) -> f64 {
    let end = Instant::now() + time;
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
    good as f64 / time.as_secs_f64()
}

/// Sends at a fixed rate, whatever becomes of earlier requests, and adds a row to the table.
async fn open_loop(
    fleet: &Arc<Fleet>,
    phase: &str,
    rate: f64,
    peak: f64,
    time: Duration,
    table: &mut Table,
) -> Result<()> {
    let counts = Arc::new(Counts::default());
    let times = Arc::new(Mutex::new(Histogram::<u64>::new(3)?));
    let mut ticks = interval(Duration::from_secs_f64(1.0 / rate));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut tasks = JoinSet::new();
    let started = Instant::now();
    for index in 0u64.. {
        if started.elapsed() >= time {
            break;
        }
        ticks.tick().await;
        let small = index % 10 < SMALL_TENTHS;
        let http = fleet.customer(if small { LABASA_KEY } else { SAVUSAVU_KEY });
        let (fleet, counts, times) = (Arc::clone(fleet), Arc::clone(&counts), Arc::clone(&times));
        tasks.spawn(async move {
            let sent = Instant::now();
            let status = chat(&fleet, &http, index as usize).await;
            let good = status.as_ref().is_ok_and(|status| *status == StatusCode::OK) && sent.elapsed() <= DEADLINE;
            counts.note(small, good, status.ok());
            if good {
                let _ = times.lock().await.record(sent.elapsed().as_micros() as u64);
            }
        });
    }
    tasks.join_all().await;
    let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let good = load(&counts.good) as f64 / time.as_secs_f64();
    let times = times.lock().await;
    table.add_row(&[
        &phase,
        &decimal(load(&counts.sent) as f64 / time.as_secs_f64()),
        &decimal(good),
        &decimal(good / peak),
        &decimal(load(&counts.small_good) as f64 / load(&counts.small_sent).max(1) as f64),
        &load(&counts.refused),
        &load(&counts.other),
        &decimal(times.value_at_quantile(0.5) as f64 / 1e3),
        &decimal(times.value_at_quantile(0.95) as f64 / 1e3),
    ]);
    Ok(())
}

impl Counts {
    fn note(&self, small: bool, good: bool, status: Option<StatusCode>) {
        let add = |counter: &AtomicU64, yes: bool| counter.fetch_add(u64::from(yes), Ordering::Relaxed);
        add(&self.sent, true);
        add(&self.good, good);
        add(&self.small_sent, small);
        add(&self.small_good, small && good);
        let refused = matches!(status, Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT));
        add(&self.refused, refused);
        add(&self.other, !good && !refused);
    }
}

async fn chat(fleet: &Fleet, caller: &HttpClient, index: usize) -> Result<StatusCode> {
    let body = json!({
        "model": "plan-small", "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": format!("lamp care {index}")}],
    });
    let caller = caller.with("x-deadline-ms", &DEADLINE.as_millis().to_string());
    let router = fleet.routers[index % fleet.routers.len()].callers;
    Ok(caller.post_json(router, "/v1/chat/completions", &body).await?.status)
}

/// Ends the cold start of the engine stand-ins after a while, as a filled cache would.
struct Warming {
    task: tokio::task::JoinHandle<()>,
}

impl Warming {
    fn spawn(fleet: &Arc<Fleet>) -> Self {
        const COLD_TIME: Duration = Duration::from_secs(4);
        let fleet = Arc::clone(fleet);
        let task = tokio::spawn(async move {
            sleep(COLD_TIME).await;
            for agent in 0..fleet.agents.len() {
                let _ = fleet.set_engine_fault(agent, &json!({"cold": false})).await;
            }
        });
        Self { task }
    }

    async fn stop(&mut self) {
        let _ = (&mut self.task).await;
    }
}

/// Requests that began at a cold backend server above its cold limit, as its own record shows, and
/// the time in milliseconds from its turning cold to the last of them.
async fn breaches(fleet: &Fleet) -> Result<(usize, u64)> {
    let (mut breaches, mut last) = (0, 0);
    for agent in 0..fleet.agents.len() {
        let runs = fleet.runs(agent).await?;
        let cold: Vec<_> = runs.iter().filter(|run| run["cold"] == true).collect();
        let at = |run: &serde_json::Value| run["at_ms"].as_u64().unwrap_or_default();
        let Some(first) = cold.iter().map(|run| at(run)).min() else { continue };
        let over = cold.iter().filter(|run| run["running"].as_u64().is_some_and(|running| running > COLD_LIMIT));
        for run in over {
            breaches += 1;
            last = last.max(at(run) - first);
        }
    }
    Ok((breaches, last))
}
