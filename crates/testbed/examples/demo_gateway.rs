//! Starts gateways as separate processes against stand-ins for the store and the backend servers of the users'
//! platform, and checks failover, escalation, retries and rollback.

use std::{process::ExitCode, time::Duration};

use eelgrasswell_testbed::site::{FakeBackend, Rig, RigPlan, wait_until};
use eyre::{Result, ensure};
use serde_json::json;
use tokio::time::sleep;

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => {
            println!("\nall checks passed");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("demo_gateway: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    let rig = Rig::start(RigPlan { gateways: 2, engines: 3, desks: 2, ..RigPlan::default() }).await?;
    println!("started a store, 3 model engines, 2 desk servers and 2 gateways");
    check_stream(&rig).await?;
    check_booking(&rig).await?;
    check_rollback(&rig).await
}

/// Checks that a stream is complete, and comes from the large model, when the small model reports low confidence and a
/// server cuts the stream in event 3.
async fn check_stream(rig: &Rig) -> Result<()> {
    println!("\nstreamed request: the small model reports low confidence, and a server cuts the stream in event 3");
    for engine in &rig.engines {
        engine.set_behaviour(|behaviour| behaviour.confidence = [("small".into(), 10), ("large".into(), 90)].into());
    }
    rig.engines[0].set_behaviour(|behaviour| behaviour.cut_in_event = Some(3));
    let reply = rig.chat("demo-stream").post_json(rig.gateways[0].callers, "/chat/plan", &json!({})).await?;
    print!("{}", reply.text());
    println!("  sealed by {}", reply.header("x-response-seal"));
    ensure!(reply.text().contains("id: 5\ndata: piece 5 by large"), "the stream is not complete");
    Ok(())
}

/// Checks that a booking runs exactly once when one of the two servers refuses requests.
async fn check_booking(rig: &Rig) -> Result<()> {
    println!("\nbooking that one of two servers refuses");
    rig.desks[0].set_behaviour(|behaviour| behaviour.refuses = true);
    let client = rig.customer("key-a").with("x-attempt-id", "demo-booking");
    let reply = client.post_json(rig.gateways[1].callers, "/book/lamp", &json!({"lamp": 1})).await?;
    let runs: usize = rig.desks.iter().map(|desk| desk.runs().len()).sum();
    println!("  {} {}; it ran {runs} time", reply.status, reply.text());
    ensure!(reply.status.is_success() && runs == 1, "the booking did not run once");
    Ok(())
}

/// Checks that a rollout to a version whose only server fails every request is rolled back.
async fn check_rollback(rig: &Rig) -> Result<()> {
    println!("\nrollout of a faulty version of the model engine");
    let faulty_server = FakeBackend::bind("chat-bad").await?;
    faulty_server.set_behaviour(|behaviour| behaviour.fails = true);
    rig.store.put("servers", &faulty_server.id, faulty_server.store_entry("chat", "v2", "ready"));
    rig.store.put("rollouts", "chat", json!({"service": "chat", "target": "v2", "duration_s": 10}));
    let mut sent = 0;
    wait_until("the version is rolled back", async || {
        sent += 1;
        let client = rig.chat("demo-canary").with("session", &format!("session-{sent}"));
        let _ = client.post_json(rig.gateways[sent % 2].callers, "/chat/plan", &json!({})).await;
        sleep(Duration::from_millis(1)).await;
        rig.store.status("rollouts", "chat")["state"] == "rolled_back"
    })
    .await?;
    println!("  rolled back after {} of {sent} requests had reached the faulty version", faulty_server.runs().len());
    Ok(())
}
