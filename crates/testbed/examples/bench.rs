//! Measures the latency and CPU cost of the request path with real processes. Prints a table and can write it as CSV.
//!
//! Calls directly to an engine stand-in alternate with calls through router and agent, while a background load of
//! streams runs through the same router.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use argh::FromArgs;
use bytes::Bytes;
use eelgrasswell_testbed::{
    experiment::table::{Table, decimal},
    fleet::Fleet,
    http::HttpClient,
    plan::{FleetPlan, SAVUSAVU_KEY},
};
use eyre::{Result, ensure};
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

/// Measure the latency and CPU cost of the request path.
#[derive(FromArgs)]
struct Args {
    /// background requests per second
    #[argh(option, default = "240")]
    rate: u64,
    /// tokens in each background answer
    #[argh(option, default = "312")]
    tokens: u64,
    /// duration of the run in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// number of engine stand-ins
    #[argh(option, default = "8")]
    engines: usize,
    /// CSV output file
    #[argh(option)]
    csv: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let fleet = Fleet::start(FleetPlan::unlimited(
        args.engines,
        &["--first-us", "2000", "--token-us", "1000", "--slots", "1000"],
    ))
    .await?;
    let caller = fleet.customer(SAVUSAVU_KEY);
    warm_up(&fleet, &caller).await?;
    let (router, engine) = (fleet.routers[0].callers, fleet.agents[0].engine.address);
    let cpu_before = fleet.cpu_seconds()?;
    let started = Instant::now();
    let background_load =
        tokio::spawn(run_background_load(caller.clone(), router, args.rate, args.tokens, args.seconds));
    let (direct, routed) = measure_latencies(&caller, engine, router, args.seconds).await?;
    let background = background_load.await??;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu_after = fleet.cpu_seconds()?;
    let mut table = Table::new(&[
        "rate/s",
        "tokens/s",
        "failed",
        "direct_p50_ms",
        "direct_p99_ms",
        "routed_p50_ms",
        "routed_p99_ms",
        "added_p50_ms",
        "added_p99_ms",
        "router_cores",
        "agent_cores",
        "router_rss_mb",
    ]);
    let ms = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    table.add_row(&[
        &decimal(background.completed as f64 / elapsed),
        &decimal(background.tokens as f64 / elapsed),
        &background.failed,
        &decimal(ms(&direct, 0.5)),
        &decimal(ms(&direct, 0.99)),
        &decimal(ms(&routed, 0.5)),
        &decimal(ms(&routed, 0.99)),
        &decimal(ms(&routed, 0.5) - ms(&direct, 0.5)),
        &decimal(ms(&routed, 0.99) - ms(&direct, 0.99)),
        &decimal((cpu_after.routers - cpu_before.routers) / elapsed),
        &decimal((cpu_after.agents - cpu_before.agents) / elapsed / args.engines as f64),
        &decimal(fleet.router_memory_mb(0)?),
    ]);
    println!("{table}");
    match &args.csv {
        Some(path) => table.write_csv(path),
        None => Ok(()),
    }
}

/// Sends short calls before the measurement, one after another.
async fn warm_up(fleet: &Fleet, caller: &HttpClient) -> Result<()> {
    for _ in 0..200 {
        timed_chat(caller, fleet.routers[0].callers, 5).await?;
    }
    Ok(())
}

/// Alternates short calls directly to the engine with short calls through the router for `seconds`. Returns the
/// latencies of the direct and of the routed calls, in microseconds.
async fn measure_latencies(
    caller: &HttpClient,
    engine: SocketAddr,
    router: SocketAddr,
    seconds: u64,
) -> Result<(Histogram<u64>, Histogram<u64>)> {
    let (mut direct, mut routed) = (Histogram::new(3)?, Histogram::new(3)?);
    let direct_caller = HttpClient::without_headers().with("x-version", "v1").with("x-request-id", "probe");
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        direct.record(timed_chat(&direct_caller, engine, 1).await?)?;
        routed.record(timed_chat(caller, router, 1).await?)?;
    }
    Ok((direct, routed))
}

/// Requests an answer without streaming and returns the latency in microseconds. Fails on any status but 200.
async fn timed_chat(caller: &HttpClient, address: SocketAddr, tokens: u64) -> Result<u64> {
    let body = json!({
        "model": "plan-small", "max_tokens": tokens, "messages": [{"role": "user", "content": "lamp care"}],
    });
    let started = Instant::now();
    let reply = caller.post_json(address, "/v1/chat/completions", &body).await?;
    ensure!(reply.status == StatusCode::OK, "status {}: {}", reply.status, reply.text());
    Ok(started.elapsed().as_micros() as u64)
}

/// Totals of the background load.
#[derive(Default)]
struct BackgroundTotals {
    /// Streams that ended without an error.
    completed: u64,
    /// Streams that failed.
    failed: u64,
    /// Tokens received in completed streams.
    tokens: u64,
}

/// Starts streams at a fixed rate for `seconds`, whether or not earlier ones have ended, and waits for all of them.
async fn run_background_load(
    caller: HttpClient,
    router: SocketAddr,
    rate: u64,
    tokens: u64,
    seconds: u64,
) -> Result<BackgroundTotals> {
    let body = json!({
        "model": "plan-small", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": "a long answer"}],
    });
    let body = Bytes::from(body.to_string());
    let mut ticks = interval(Duration::from_nanos(1_000_000_000 / rate.max(1)));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let received_tokens = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..rate * seconds {
        ticks.tick().await;
        let (caller, body, received_tokens) = (caller.clone(), body.clone(), Arc::clone(&received_tokens));
        tasks.spawn(async move { stream_answer(&caller, router, body, &received_tokens).await });
    }
    let mut totals = BackgroundTotals::default();
    while let Some(outcome) = tasks.join_next().await {
        match outcome? {
            Ok(()) => totals.completed += 1,
            Err(_) => totals.failed += 1,
        }
    }
    totals.tokens = received_tokens.load(Ordering::Relaxed);
    Ok(totals)
}

/// Reads a streamed answer to its end and adds its tokens to `received_tokens`.
async fn stream_answer(
    caller: &HttpClient,
    router: SocketAddr,
    body: Bytes,
    received_tokens: &AtomicU64,
) -> Result<()> {
    let response = caller.send(Method::POST, router, "/v1/chat/completions", body).await?;
    ensure!(response.status() == StatusCode::OK, "status {}", response.status());
    let mut body = response.into_body();
    let mut events = 0;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            events += data.windows(6).filter(|window| window == b"data: ").count() as u64;
        }
    }
    // The last two events carry no token: the usage and `[DONE]`.
    received_tokens.fetch_add(events.saturating_sub(2), Ordering::Relaxed);
    Ok(())
}
