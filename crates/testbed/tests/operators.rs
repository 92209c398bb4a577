//! Runs the operators' client program against a fleet of real processes.

use std::{fs, path::PathBuf, process::Stdio};

use eelgrasswell_testbed::{
    fleet::Fleet,
    plan::{FleetPlan, SAVUSAVU_KEY},
};
use serde_json::{Value, json};
use tokio::process::Command;

/// Runs the client against a router. Returns its exit code and standard output, and prints its standard error.
async fn run_client(fleet: &Fleet, router: usize, args: &[&str]) -> (i32, String) {
    // Test binaries are built one directory below the programs.
    let mut path = PathBuf::from(std::env::current_exe().unwrap().parent().unwrap().parent().unwrap());
    path.push("eelgrasswell");
    let output = Command::new(&path)
        .args(["--router", &fleet.routers[router].operators.to_string(), "--credential"])
        .arg(fleet.operator_credential())
        .args(args)
        .stdin(Stdio::null())
        .output()
        .await
        .unwrap_or_else(|err| panic!("could not run {}: {err}", path.display()));
    let code = output.status.code().unwrap();
    eprintln!("{args:?}: {code}\n{}", String::from_utf8_lossy(&output.stderr));
    (code, String::from_utf8(output.stdout).unwrap())
}

async fn router_status(fleet: &Fleet, router: usize) -> Value {
    fleet.get_operators(router, "/v1/status").await.unwrap().json().unwrap()
}

/// Guards against a client that reports success before taking a failure domain out is in force on all hosts: operators
/// could then cut the power of hosts that are still in use.
#[tokio::test]
async fn domain_out_is_in_force_on_all_hosts_when_the_client_returns() {
    let fleet = Fleet::start(FleetPlan::small()).await.unwrap();
    let (code, stdout) = run_client(&fleet, 0, &["--json", "domain", "out", "ba"]).await;
    assert_eq!(code, 0, "{stdout}");
    let outcome: Value = serde_json::from_str(&stdout).unwrap();
    assert_eq!(outcome["hosts_in_force"], 7, "{outcome}");
    for router in 0..2 {
        let status = router_status(&fleet, router).await;
        assert_eq!(status["domains"]["ba"]["in_service"], false, "{status:#}");
        assert_eq!(status["lagging"], json!([]), "{status:#}");
    }
}

/// Guards against a manifest that changes when it is shown and submitted again, and against two operators who edit the
/// same revision and overwrite each other's change.
#[tokio::test]
async fn manifest_survives_round_trip_and_concurrent_submission_conflicts() {
    let fleet = Fleet::start(FleetPlan::small()).await.unwrap();
    let (code, yaml) = run_client(&fleet, 0, &["show"]).await;
    assert_eq!(code, 0);
    let file = fleet.log_path("manifest");
    fs::write(&file, yaml.replacen("max_running: 16", "max_running: 17", 1)).unwrap();
    let file = file.to_str().unwrap();
    let (code, diff) = run_client(&fleet, 1, &["diff", file]).await;
    assert_eq!((code, diff.lines().count()), (0, 2), "{diff}");
    assert!(diff.contains("max_running: 16 -> 17"), "{diff}");
    let submit = ["submit", file, "--expected", "1"];
    let (first, second) = tokio::join!(run_client(&fleet, 0, &submit), run_client(&fleet, 1, &submit));
    let mut codes = [first.0, second.0];
    codes.sort_unstable();
    assert_eq!(codes, [0, 3], "one of two concurrent submissions must conflict");
    assert_eq!(run_client(&fleet, 0, &["diff", file]).await.1.lines().count(), 1);
}

/// Guards against a command that takes effect twice, or is reported as failed, when the platform's answer to the write
/// is lost and when the operator repeats the command with the same submission id.
#[tokio::test]
async fn submission_with_a_lost_answer_takes_effect_once() {
    let fleet = Fleet::start(FleetPlan::small()).await.unwrap();
    fleet.set_platform_fault(&json!({"lose_answers": 1, "lose_prefix": "config/head"})).await.unwrap();
    let start = ["rollout", "start", "plan-small/v2", "--submission", "once"];
    let first = run_client(&fleet, 0, &start).await;
    assert_eq!(first.0, 0);
    assert_eq!(run_client(&fleet, 1, &start).await, first);
    let (code, _) = run_client(&fleet, 1, &["rollout", "start", "plan-small/v2"]).await;
    assert_eq!(code, 1);
    let (_, stopped) = run_client(&fleet, 1, &["rollout", "stop", "plan-small/v2"]).await;
    assert!(stopped.contains("in force on 7 hosts"), "{stopped}");
    let (_, list) = run_client(&fleet, 0, &["rollout", "list"]).await;
    assert!(list.contains("stopped  0     0         stopped by an operator"), "{list}");
}

/// Guards against a request that ran but is missing on the customer's bill, or whose cost is not charged to the budget.
#[tokio::test]
async fn bill_and_budget_show_a_request_that_ran() {
    let fleet = Fleet::start(FleetPlan::small()).await.unwrap();
    let body = json!({"model": "plan-small", "max_tokens": 8, "messages": [{"role": "user", "content": "hello"}]});
    let reply = fleet.customer(SAVUSAVU_KEY).post_json(fleet.routers[0].callers, "/v1/chat/completions", &body).await;
    let request_id = reply.unwrap().header("x-request-id").to_owned();
    let bill_has_request = async |fleet: &Fleet| {
        let (code, stdout) = run_client(fleet, 1, &["bill", "savusavu", "--requests"]).await;
        code == 0 && stdout.contains(&request_id)
    };
    fleet.wait_until("the bill contains the request", bill_has_request).await.unwrap();
    for router in 0..2 {
        let budgets = router_status(&fleet, router).await["budgets"].take();
        let committed = budgets[0]["committed_micros"].as_u64();
        assert!(budgets[0]["customer"] == "savusavu" && committed.is_some_and(|sum| sum > 0), "{budgets}");
    }
}
