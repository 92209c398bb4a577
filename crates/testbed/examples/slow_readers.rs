//! Measures memory use, and the latency of one customer's calls, while many connections of another customer are stalled:
//! they request answers and don't read them.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use argh::FromArgs;
use eelgrasswell_testbed::{
    experiment::table::{Table, decimal},
    fleet::Fleet,
    http::HttpClient,
    plan::{FleetPlan, LABASA_KEY, SAVUSAVU_KEY},
};
use eyre::{Result, ensure};
use hdrhistogram::Histogram;
use hyper::StatusCode;
use serde_json::json;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::sleep,
};

/// Measure the effect of stalled readers on memory and on other customers.
#[derive(FromArgs)]
struct Args {
    /// duration of the measurement for each number of stalled readers in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// tokens in each unread answer
    #[argh(option, default = "1500")]
    tokens: u64,
    /// numbers of stalled readers, separated by commas
    #[argh(option, default = "String::from(\"0,1000,5000\")")]
    stalled: String,
    /// CSV output file
    #[argh(option)]
    csv: Option<PathBuf>,
}

/// Receive buffer of a stalled reader; the default size would hold a whole answer.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Number of callers that read their answers.
const HEALTHY_CALLERS: usize = 8;
/// Time for the stalled requests to reach the agents before the measurement begins.
const SETTLE_TIME: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let fleet = Fleet::start(plan()).await?;
    let mut table = Table::new(&[
        "stalled",
        "healthy_calls",
        "failed",
        "p50_ms",
        "p99_ms",
        "p99_ratio",
        "router_rss_mb",
        "agents_rss_mb",
    ]);
    let mut readers: Vec<TcpStream> = Vec::new();
    let mut baseline_p99 = None;
    for count in args.stalled.split(',').map(str::parse::<usize>) {
        let count = count?;
        while readers.len() < count {
            readers.push(open_stalled_stream(fleet.routers[0].callers, args.tokens).await?);
        }
        sleep(SETTLE_TIME).await;
        let healthy = run_healthy_callers(&fleet, Duration::from_secs(args.seconds)).await?;
        let p99 = healthy.latencies.value_at_quantile(0.99) as f64 / 1e3;
        // The first number of stalled readers, 0 by default, is the baseline of the ratio.
        let baseline = *baseline_p99.get_or_insert(p99);
        table.add_row(&[
            &count,
            &healthy.latencies.len(),
            &healthy.failed,
            &decimal(healthy.latencies.value_at_quantile(0.5) as f64 / 1e3),
            &decimal(p99),
            &decimal(p99 / baseline),
            &decimal(fleet.router_memory_mb(0)?),
            &decimal(fleet.agents_memory_mb()?),
        ]);
    }
    println!("{table}");
    match &args.csv {
        Some(path) => table.write_csv(path),
        None => Ok(()),
    }
}

/// One router and three engines.
fn plan() -> FleetPlan {
    let mut plan = FleetPlan::small();
    plan.routers.truncate(1);
    plan.agents.truncate(3);
    plan.engine_args = ["--first-us", "2000", "--token-us", "200", "--slots", "1000"].map(str::to_owned).to_vec();
    plan.manifest["services"]["loan-desk"]["cold_limit"] = json!(16);
    plan.manifest["services"]["loan-desk"]["max_running"] = json!(64);
    plan
}

/// Requests a streamed answer and returns the connection without reading from it.
async fn open_stalled_stream(router: SocketAddr, tokens: u64) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let mut stream = socket.connect(router).await?;
    let body = json!({
        "model": "plan-small", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": "an answer that nobody reads"}],
    });
    let body = body.to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {LABASA_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    Ok(stream)
}

/// Results of the callers that read their answers.
struct HealthyCalls {
    /// Latencies of the successful calls in microseconds.
    latencies: Histogram<u64>,
    failed: u64,
}

/// Runs the callers of the other customer for `duration`. Each sends one call at a time and reads the whole answer.
async fn run_healthy_callers(fleet: &Fleet, duration: Duration) -> Result<HealthyCalls> {
    let mut tasks = JoinSet::new();
    let end = Instant::now() + duration;
    for _ in 0..HEALTHY_CALLERS {
        let (caller, router) = (fleet.customer(SAVUSAVU_KEY), fleet.routers[0].callers);
        tasks.spawn(async move {
            let (mut latencies, mut failed) = (Vec::new(), 0u64);
            while Instant::now() < end {
                match timed_chat(&caller, router).await {
                    Ok(micros) => latencies.push(micros),
                    Err(_) => failed += 1,
                }
            }
            (latencies, failed)
        });
    }
    let mut calls = HealthyCalls { latencies: Histogram::new(3)?, failed: 0 };
    while let Some(outcome) = tasks.join_next().await {
        let (latencies, failed) = outcome?;
        calls.failed += failed;
        latencies.into_iter().try_for_each(|micros| calls.latencies.record(micros))?;
    }
    Ok(calls)
}

/// Requests an answer without streaming and returns the latency in microseconds. Fails on any status but 200.
async fn timed_chat(caller: &HttpClient, router: SocketAddr) -> Result<u64> {
    let body = json!({
        "model": "plan-small", "max_tokens": 50, "messages": [{"role": "user", "content": "lamp care"}],
    });
    let started = Instant::now();
    let reply = caller.post_json(router, "/v1/chat/completions", &body).await?;
    ensure!(reply.status == StatusCode::OK, "status {}: {}", reply.status, reply.text());
    Ok(started.elapsed().as_micros() as u64)
}
