//! Runs gateways on the users' platform as separate processes against stand-ins, and checks what came of it.

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
    let rig = Rig::start(RigPlan { gateways: 2, engines: 3, desks: 2 }).await?;
    println!("started a store, 3 model engines, 2 desk servers and 2 gateways");
    streamed(&rig).await?;
    booking(&rig).await?;
    order(&rig).await
}

async fn streamed(rig: &Rig) -> Result<()> {
    println!("\nstreamed request whose small model rates its answer low, and whose server breaks off in event 3");
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

async fn booking(rig: &Rig) -> Result<()> {
    println!("\nbooking whose first server refuses it");
    rig.desks[0].set_behaviour(|behaviour| behaviour.refuses = true);
    let client = rig.customer("key-a").with("x-attempt-id", "demo-booking");
    let reply = client.post_json(rig.gateways[1].callers, "/book/lamp", &json!({"lamp": 1})).await?;
    let runs: usize = rig.desks.iter().map(|desk| desk.runs().len()).sum();
    println!("  {} {}; it ran {runs} time", reply.status, reply.text());
    ensure!(reply.status.is_success() && runs == 1, "the booking did not run once");
    Ok(())
}

async fn order(rig: &Rig) -> Result<()> {
    println!("\nbad version of the model engines");
    let bad = FakeBackend::bind("chat-bad").await?;
    bad.set_behaviour(|behaviour| behaviour.fails = true);
    rig.store.put("servers", &bad.id, bad.store_entry("chat", "v2", "ready"));
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
    println!("  rolled back after {} of {sent} requests had reached it", bad.runs().len());
    Ok(())
}
