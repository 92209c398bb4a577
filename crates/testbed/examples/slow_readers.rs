//! Measures memory and healthy readers while many readers of another customer read nothing.

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

/// Measure what stalled readers cost.
#[derive(FromArgs)]
struct Args {
    /// seconds of measurement for each number of stalled readers
    #[argh(option, default = "10")]
    seconds: u64,
    /// tokens of the answers that nobody reads
    #[argh(option, default = "1500")]
    tokens: u64,
    /// numbers of stalled readers, separated by commas
    #[argh(option, default = "String::from(\"0,1000,5000\")")]
    stalled: String,
    /// file for the CSV
    #[argh(option)]
    csv: Option<PathBuf>,
}

/// Receive buffer of a stalled reader, in bytes; a default one would take in a whole answer.
const RECEIVE_BUFFER: u32 = 4_096;
/// Healthy callers.
const HEALTHY: usize = 8;
/// Time for the stalled requests to reach the agents before the measurement begins.
const SETTLE: Duration = Duration::from_secs(3);

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
    let mut undisturbed = None;
    for count in args.stalled.split(',').map(str::parse::<usize>) {
        let count = count?;
        while readers.len() < count {
            readers.push(stall(fleet.routers[0].callers, args.tokens).await?);
        }
        sleep(SETTLE).await;
        let healthy = healthy(&fleet, Duration::from_secs(args.seconds)).await?;
        let p99 = healthy.times.value_at_quantile(0.99) as f64 / 1e3;
        let base = *undisturbed.get_or_insert(p99);
        table.add_row(&[
            &count,
            &healthy.times.len(),
            &healthy.failed,
            &decimal(healthy.times.value_at_quantile(0.5) as f64 / 1e3),
            &decimal(p99),
            &decimal(p99 / base),
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

/// Sends a streamed request and reads nothing of its answer.
async fn stall(router: SocketAddr, tokens: u64) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
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

struct Healthy {
    times: Histogram<u64>,
    failed: u64,
}

/// Whole answers of another customer, one after the other from each caller; times in microseconds.
async fn healthy(fleet: &Fleet, time: Duration) -> Result<Healthy> {
    let mut tasks = JoinSet::new();
    let end = Instant::now() + time;
    for _ in 0..HEALTHY {
        let (caller, router) = (fleet.customer(SAVUSAVU_KEY), fleet.routers[0].callers);
        tasks.spawn(async move {
            let (mut times, mut failed) = (Vec::new(), 0u64);
            while Instant::now() < end {
                match chat(&caller, router).await {
                    Ok(micros) => times.push(micros),
                    Err(_) => failed += 1,
                }
            }
            (times, failed)
        });
    }
    let mut healthy = Healthy { times: Histogram::new(3)?, failed: 0 };
    while let Some(done) = tasks.join_next().await {
        let (times, failed) = done?;
        healthy.failed += failed;
        times.into_iter().try_for_each(|micros| healthy.times.record(micros))?;
    }
    Ok(healthy)
}

async fn chat(caller: &HttpClient, router: SocketAddr) -> Result<u64> {
    let body = json!({
        "model": "plan-small", "max_tokens": 50, "messages": [{"role": "user", "content": "lamp care"}],
    });
    let started = Instant::now();
    let reply = caller.post_json(router, "/v1/chat/completions", &body).await?;
    ensure!(reply.status == StatusCode::OK, "status {}: {}", reply.status, reply.text());
    Ok(started.elapsed().as_micros() as u64)
}
