//! Starts the platform stand-in, routers and agents with engine stand-ins as local processes, sends requests through
//! them and checks answers, rollout state and bills.

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
    let mut expected_bills = vec![check_stream(&fleet, &caller).await?];
    expected_bills.extend(check_session(&fleet, &caller).await?);
    expected_bills.push(check_booking(&fleet, &caller).await?);
    check_rollout(&fleet).await?;
    check_bills(&fleet, &expected_bills).await
}

/// A request that must appear on the customer's bill.
struct ExpectedBill {
    request_id: String,
    /// Cost in millionths of the currency unit.
    cost_micros: u64,
}

/// Checks that a streamed answer is complete and that another router returns the same answer from an offset.
async fn check_stream(fleet: &Fleet, caller: &HttpClient) -> Result<ExpectedBill> {
    println!("\nstreamed request");
    let body = chat("loan-plan", "Draft a repayment plan for a solar lamp.", true);
    let reply = caller.post_json(fleet.routers[0].callers, "/v1/chat/completions", &body).await?;
    let bill = print_answer(&reply)?;
    ensure!(reply.text().trim_end().ends_with("data: [DONE]"), "stream is incomplete: {}", reply.text());
    let path = format!("/v1/answers/{}?offset=10", bill.request_id);
    let resumed = caller.get(fleet.routers[1].callers, &path).await?;
    let equal = resumed.body[..] == reply.body[10..];
    ensure!(equal, "the other router returned a different answer: {} {}", resumed.status, resumed.text());
    println!("  fetched again from offset 10 through the other router: equal");
    Ok(bill)
}

/// Checks that all requests of a session run on the same version, whichever router they go through.
async fn check_session(fleet: &Fleet, caller: &HttpClient) -> Result<Vec<ExpectedBill>> {
    println!("\nsession of three requests");
    let mut bills = Vec::new();
    let mut session = "new".to_owned();
    let mut versions = Vec::new();
    for turn in 0..3 {
        let body = chat("plan-small", &format!("Question {turn} on lamp care."), false);
        let router = &fleet.routers[turn % fleet.routers.len()];
        let reply = caller.with("x-session", &session).post_json(router.callers, "/v1/chat/completions", &body).await?;
        bills.push(print_answer(&reply)?);
        versions.push(reply.header("x-version").to_owned());
        reply.header("x-session").clone_into(&mut session);
    }
    ensure!(versions.iter().all(|version| *version == versions[0]), "the session changed its version: {versions:?}");
    Ok(bills)
}

/// Checks that a booking sent twice with the same idempotency key runs once and gets the same answer both times.
async fn check_booking(fleet: &Fleet, caller: &HttpClient) -> Result<ExpectedBill> {
    println!("\nbooking sent twice with the same idempotency key");
    let caller = caller.with("idempotency-key", "dispatch-lamp-1");
    let body = json!({"dispatch": "lamp 1 to Taveuni"});
    let first = caller.post_json(fleet.routers[0].callers, "/services/loan-records/dispatch", &body).await?;
    let bill = print_answer(&first)?;
    let second = caller.post_json(fleet.routers[1].callers, "/services/loan-records/dispatch", &body).await?;
    ensure!(second.status == first.status && second.body == first.body, "the second answer differs: {}", second.text());
    let mut runs = 0;
    for agent in 0..fleet.agents.len() {
        let agent_runs = fleet.runs(agent).await?;
        runs +=
            agent_runs.iter().filter(|run| run["path"].as_str().is_some_and(|path| path.contains("dispatch"))).count();
    }
    ensure!(runs == 1, "the booking ran {runs} times");
    println!("  the backend servers ran it {runs} time");
    Ok(bill)
}

/// Starts a rollout through one router, advances it through the other, and waits until both report the new weight.
async fn check_rollout(fleet: &Fleet) -> Result<()> {
    println!("\nrollout step");
    fleet.command(0, "/v1/rollouts/plan-small/v2/start").await?;
    fleet.command(1, "/v1/rollouts/plan-small/v2/step").await?;
    fleet
        .wait_until("both routers report the new weight", async |fleet| {
            let mut all_report_step = true;
            for router in 0..fleet.routers.len() {
                let status = fleet.get_operators(router, "/v1/status").await.and_then(|reply| reply.json());
                all_report_step &= status.is_ok_and(|status| status["rollouts"][0]["permille"] == 250);
            }
            all_report_step
        })
        .await?;
    println!("  plan-small/v2 has a weight of 250 of 1000 on all routers");
    Ok(())
}

/// Waits for the bill of the customer `savusavu` and checks that it has exactly the expected requests and costs.
async fn check_bills(fleet: &Fleet, expected_bills: &[ExpectedBill]) -> Result<()> {
    println!("\nbill of savusavu");
    let mut bill = Value::Null;
    for _ in 0..100 {
        bill = fleet.bills(1, "savusavu").await?;
        if bill["bills"].as_array().is_some_and(|bills| bills.len() >= expected_bills.len()) {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    let entries = bill["bills"].as_array().cloned().unwrap_or_default();
    for entry in &entries {
        println!("  {entry}");
    }
    ensure!(
        entries.len() == expected_bills.len(),
        "{} requests were billed, {} ran",
        entries.len(),
        expected_bills.len()
    );
    for expected in expected_bills {
        let entry = entries.iter().find(|entry| entry["request_id"] == expected.request_id.as_str());
        let billed = entry.and_then(|entry| entry["cost_micros"].as_u64());
        ensure!(
            billed == Some(expected.cost_micros),
            "request {} cost {} but is billed {billed:?}",
            expected.request_id,
            expected.cost_micros
        );
    }
    let total: u64 = expected_bills.iter().map(|expected| expected.cost_micros).sum();
    println!("  total {total} micros");
    Ok(())
}

fn chat(model: &str, prompt: &str, stream: bool) -> Value {
    json!({
        "model": model, "stream": stream, "max_tokens": 40,
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Prints the start, model, version, cost and request id of an answer. Returns the bill that it must lead to. Fails
/// on any status but 200.
fn print_answer(reply: &Reply) -> Result<ExpectedBill> {
    ensure!(reply.status == StatusCode::OK, "status {}: {}", reply.status, reply.text());
    let start: String = reply.text().chars().take(60).collect();
    let cost_micros = reply.header("x-cost-micros").parse()?;
    println!(
        "  answer {start:?} model={} version={} cost={cost_micros} request={}",
        reply.header("x-model"),
        reply.header("x-version"),
        reply.header("x-request-id"),
    );
    Ok(ExpectedBill { request_id: reply.header("x-request-id").to_owned(), cost_micros })
}
