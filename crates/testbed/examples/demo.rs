//! Runs the whole path locally as separate processes and checks what came of it.

use std::{process::ExitCode, time::Duration};

use eelgrasswell_testbed::{
    fleet::Fleet,
    http::{HttpClient, Reply},
    plan::{FleetPlan, SAVUSAVU_KEY},
};
use eyre::{Result, ensure};
use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::time::sleep;

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => {
            println!("\nall checks passed");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("demo: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::small()).await?;
    let (routers, agents) = (fleet.routers.len(), fleet.agents.len());
    println!("started a platform stand-in, {routers} routers, {agents} agents with engine stand-ins");
    let caller = fleet.customer(SAVUSAVU_KEY);
    let mut billed = vec![streamed(&fleet, &caller).await?];
    billed.extend(session(&fleet, &caller).await?);
    billed.push(booking(&fleet, &caller).await?);
    rollout(&fleet).await?;
    bills(&fleet, &billed).await
}

/// A request that the bill must name, with its cost.
struct Billed {
    request_id: String,
    cost: u64,
}

async fn streamed(fleet: &Fleet, caller: &HttpClient) -> Result<Billed> {
    println!("\nstreamed request");
    let body = chat("loan-plan", "Draft a repayment plan for a solar lamp.", true);
    let reply = caller.post_json(fleet.routers[0].callers, "/v1/chat/completions", &body).await?;
    let billed = report(&reply)?;
    ensure!(reply.text().trim_end().ends_with("data: [DONE]"), "the stream did not end: {}", reply.text());
    let path = format!("/v1/answers/{}?offset=10", billed.request_id);
    let again = caller.get(fleet.routers[1].callers, &path).await?;
    let equal = again.body[..] == reply.body[10..];
    ensure!(equal, "the other router gave another answer: {} {}", again.status, again.text());
    println!("  fetched again from offset 10 through the other router: equal");
    Ok(billed)
}

async fn session(fleet: &Fleet, caller: &HttpClient) -> Result<Vec<Billed>> {
    println!("\nsession of three requests");
    let mut billed = Vec::new();
    let mut session = "new".to_owned();
    let mut versions = Vec::new();
    for turn in 0..3 {
        let body = chat("plan-small", &format!("Question {turn} on lamp care."), false);
        let router = &fleet.routers[turn % fleet.routers.len()];
        let reply = caller.with("x-session", &session).post_json(router.callers, "/v1/chat/completions", &body).await?;
        billed.push(report(&reply)?);
        versions.push(reply.header("x-version").to_owned());
        reply.header("x-session").clone_into(&mut session);
    }
    ensure!(versions.iter().all(|version| *version == versions[0]), "the session changed its version: {versions:?}");
    Ok(billed)
}

async fn booking(fleet: &Fleet, caller: &HttpClient) -> Result<Billed> {
    println!("\nbooking sent twice with the same key");
    let caller = caller.with("idempotency-key", "dispatch-lamp-1");
    let body = json!({"dispatch": "lamp 1 to Taveuni"});
    let first = caller.post_json(fleet.routers[0].callers, "/services/loan-records/dispatch", &body).await?;
    let billed = report(&first)?;
    let second = caller.post_json(fleet.routers[1].callers, "/services/loan-records/dispatch", &body).await?;
    ensure!(second.status == first.status && second.body == first.body, "the second answer differs: {}", second.text());
    let mut runs = 0;
    for agent in 0..fleet.agents.len() {
        let all = fleet.runs(agent).await?;
        runs += all.iter().filter(|run| run["path"].as_str().is_some_and(|path| path.contains("dispatch"))).count();
    }
    ensure!(runs == 1, "the booking ran {runs} times");
    println!("  the backend servers ran it {runs} time");
    Ok(billed)
}

async fn rollout(fleet: &Fleet) -> Result<()> {
    println!("\nrollout step");
    fleet.command(0, "/v1/rollouts/plan-small/v2/start").await?;
    fleet.command(1, "/v1/rollouts/plan-small/v2/step").await?;
    fleet
        .wait_until("both routers know the step", async |fleet| {
            let mut known = true;
            for router in 0..fleet.routers.len() {
                let status = fleet.get_operators(router, "/v1/status").await.and_then(|reply| reply.json());
                known &= status.is_ok_and(|status| status["rollouts"][0]["permille"] == 250);
            }
            known
        })
        .await?;
    println!("  plan-small/v2 has a weight of 250 of 1000 on all routers");
    Ok(())
}

async fn bills(fleet: &Fleet, billed: &[Billed]) -> Result<()> {
    println!("\nbill of savusavu");
    let mut bill = Value::Null;
    for _ in 0..100 {
        bill = fleet.bills(1, "savusavu").await?;
        if bill["bills"].as_array().is_some_and(|bills| bills.len() >= billed.len()) {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    let entries = bill["bills"].as_array().cloned().unwrap_or_default();
    for entry in &entries {
        println!("  {entry}");
    }
    ensure!(entries.len() == billed.len(), "{} requests were billed, {} ran", entries.len(), billed.len());
    for request in billed {
        let entry = entries.iter().find(|entry| entry["request_id"] == request.request_id.as_str());
        let cost = entry.and_then(|entry| entry["cost_micros"].as_u64());
        ensure!(cost == Some(request.cost), "{} is billed {cost:?}, not {}", request.request_id, request.cost);
    }
    let total: u64 = billed.iter().map(|request| request.cost).sum();
    println!("  total {total} micros");
    Ok(())
}

fn chat(model: &str, prompt: &str, stream: bool) -> Value {
    json!({
        "model": model, "stream": stream, "max_tokens": 40,
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Prints the start, version and cost of an answer.
fn report(reply: &Reply) -> Result<Billed> {
    ensure!(reply.status == StatusCode::OK, "status {}: {}", reply.status, reply.text());
    let start: String = reply.text().chars().take(60).collect();
    let cost = reply.header("x-cost-micros").parse()?;
    println!(
        "  answer {start:?} model={} version={} cost={cost} request={}",
        reply.header("x-model"),
        reply.header("x-version"),
        reply.header("x-request-id"),
    );
    Ok(Billed { request_id: reply.header("x-request-id").to_owned(), cost })
}
