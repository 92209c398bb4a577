//! Memory use and CPU time of router and agents per request while the platform is up and while it is down.

use std::time::{Duration, Instant};

use eelgrasswell_testbed::{
    experiment::table::{Table, decimal},
    fleet::Fleet,
    http::HttpClient,
    plan::{FleetPlan, SAVUSAVU_KEY},
};
use eyre::{Result, ensure};
use futures::{StreamExt, TryStreamExt, stream};
use hyper::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use crate::cluster::load_average;

/// Number of engine stand-ins, each with an agent.
const ENGINES: usize = 4;
/// Number of requests sent at a time.
const CONCURRENCY: usize = 16;
/// Number of requests before the first measurement.
const WARM_UP_REQUESTS: u64 = 2_000;
/// Number of parts of a run; memory and CPU time are read before the first and after each.
const PARTS: u64 = 4;

/// Sends `requests` requests with the platform up, then as many to a new fleet with the platform down.
pub async fn measure(requests: u64) -> Result<Table> {
    let mut table = Table::new(&[
        "platform",
        "requests",
        "seconds",
        "router_rss_mb",
        "agent_rss_mb",
        "router_cpu_ms_per_request",
        "agent_cpu_ms_per_request",
        "load_average",
    ]);
    for down in [false, true] {
        let fleet =
            Fleet::start(FleetPlan::unlimited(ENGINES, &["--first-us", "500", "--token-us", "100", "--slots", "1000"]))
                .await?;
        let caller = fleet.customer(SAVUSAVU_KEY);
        send_requests(&fleet, &caller, WARM_UP_REQUESTS).await?;
        sleep(Duration::from_secs(2)).await;
        if down {
            fleet.set_platform_fault(&json!({"down": true})).await?;
        }
        let start = Instant::now();
        let cpu_before = fleet.cpu_seconds()?;
        for part in 0..=PARTS {
            let completed = requests / PARTS * part;
            let cpu = fleet.cpu_seconds()?;
            let ms_per_request = |before: f64, after: f64| decimal((after - before) * 1e3 / completed.max(1) as f64);
            table.add_row(&[
                &if down { "down" } else { "up" },
                &completed,
                &decimal(start.elapsed().as_secs_f64()),
                &decimal(fleet.router_memory_mb(0)?),
                &decimal(fleet.agents_memory_mb()? / ENGINES as f64),
                &ms_per_request(cpu_before.routers, cpu.routers),
                &ms_per_request(cpu_before.agents, cpu.agents),
                &load_average()?,
            ]);
            if part < PARTS {
                send_requests(&fleet, &caller, requests / PARTS).await?;
            }
        }
    }
    Ok(table)
}

/// Sends short requests, `CONCURRENCY` at a time. Fails on any status but 200.
async fn send_requests(fleet: &Fleet, caller: &HttpClient, requests: u64) -> Result<()> {
    let router = fleet.routers[0].callers;
    let body = json!({
        "model": "plan-small", "max_tokens": 1, "messages": [{"role": "user", "content": "lamp care"}],
    });
    let calls = stream::iter(0..requests).map(|_| async {
        let reply = caller.post_json(router, "/v1/chat/completions", &body).await?;
        ensure!(reply.status == StatusCode::OK, "status {}: {}", reply.status, reply.text());
        eyre::Ok(())
    });
    calls.buffer_unordered(CONCURRENCY).try_collect().await
}
