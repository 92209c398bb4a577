//! Measures the request path with real processes; prints a table and writes it as CSV.
//!
//! `latency` compares calls through router and agent with calls to the engine stand-in itself, in
//! turn, while a background load of streams runs through the same router.

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

/// Measure the request path.
#[derive(FromArgs)]
struct Args {
    /// requests a second of the background load
    #[argh(option, default = "240")]
    rate: u64,
    /// tokens of each background answer
    #[argh(option, default = "312")]
    tokens: u64,
    /// seconds of the run
    #[argh(option, default = "20")]
    seconds: u64,
    /// engine stand-ins
    #[argh(option, default = "8")]
    engines: usize,
    /// file for the CSV
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
    let background = tokio::spawn(background(caller.clone(), router, args.rate, args.tokens, args.seconds));
    let (direct, routed) = probe(&caller, engine, router, args.seconds).await?;
    let load = background.await??;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu = fleet.cpu_seconds()?;
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
        &decimal(load.done as f64 / elapsed),
        &decimal(load.tokens as f64 / elapsed),
        &load.failed,
        &decimal(ms(&direct, 0.5)),
        &decimal(ms(&direct, 0.99)),
        &decimal(ms(&routed, 0.5)),
        &decimal(ms(&routed, 0.99)),
        &decimal(ms(&routed, 0.5) - ms(&direct, 0.5)),
        &decimal(ms(&routed, 0.99) - ms(&direct, 0.99)),
        &decimal((cpu.routers - cpu_before.routers) / elapsed),
        &decimal((cpu.agents - cpu_before.agents) / elapsed / args.engines as f64),
        &decimal(fleet.router_memory_mb(0)?),
    ]);
    println!("{table}");
    match &args.csv {
        Some(path) => table.write_csv(path),
        None => Ok(()),
    }
}

async fn warm_up(fleet: &Fleet, caller: &HttpClient) -> Result<()> {
    for _ in 0..200 {
        chat(caller, fleet.routers[0].callers, 5).await?;
    }
    Ok(())
}

/// Sends short calls to the engine and through the router in turn; times in microseconds.
async fn probe(
    caller: &HttpClient,
    engine: SocketAddr,
    router: SocketAddr,
    seconds: u64,
) -> Result<(Histogram<u64>, Histogram<u64>)> {
    let (mut direct, mut routed) = (Histogram::new(3)?, Histogram::new(3)?);
    let engine_caller = HttpClient::without_headers().with("x-version", "v1").with("x-request-id", "probe");
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        direct.record(chat(&engine_caller, engine, 1).await?)?;
        routed.record(chat(caller, router, 1).await?)?;
    }
    Ok((direct, routed))
}

/// One whole answer; returns its time in microseconds.
async fn chat(caller: &HttpClient, address: SocketAddr, tokens: u64) -> Result<u64> {
    let body = json!({
        "model": "plan-small", "max_tokens": tokens, "messages": [{"role": "user", "content": "lamp care"}],
    });
    let started = Instant::now();
    let reply = caller.post_json(address, "/v1/chat/completions", &body).await?;
    ensure!(reply.status == StatusCode::OK, "status {}: {}", reply.status, reply.text());
    Ok(started.elapsed().as_micros() as u64)
}

#[derive(Default)]
struct Totals {
    done: u64,
    failed: u64,
    tokens: u64,
}

/// Streams at a fixed rate, whether or not earlier ones have ended.
async fn background(caller: HttpClient, router: SocketAddr, rate: u64, tokens: u64, seconds: u64) -> Result<Totals> {
    let body = json!({
        "model": "plan-small", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": "a long answer"}],
    });
    let body = Bytes::from(body.to_string());
    let mut ticks = interval(Duration::from_nanos(1_000_000_000 / rate.max(1)));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let streamed = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..rate * seconds {
        ticks.tick().await;
        let (caller, body, streamed) = (caller.clone(), body.clone(), Arc::clone(&streamed));
        tasks.spawn(async move { stream(&caller, router, body, &streamed).await });
    }
    let mut totals = Totals::default();
    while let Some(done) = tasks.join_next().await {
        match done? {
            Ok(()) => totals.done += 1,
            Err(_) => totals.failed += 1,
        }
    }
    totals.tokens = streamed.load(Ordering::Relaxed);
    Ok(totals)
}

async fn stream(caller: &HttpClient, router: SocketAddr, body: Bytes, streamed: &AtomicU64) -> Result<()> {
    let response = caller.send(Method::POST, router, "/v1/chat/completions", body).await?;
    ensure!(response.status() == StatusCode::OK, "status {}", response.status());
    let mut body = response.into_body();
    let mut events = 0;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            events += data.windows(6).filter(|window| window == b"data: ").count() as u64;
        }
    }
    streamed.fetch_add(events.saturating_sub(2), Ordering::Relaxed);
    Ok(())
}
