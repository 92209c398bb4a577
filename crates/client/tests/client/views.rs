//! Tests of the commands that only read.

use eelgrasswell_manifest::check;
use serde_json::{Value, json};

use crate::support::{FakeRouter, example_manifest, run};

fn current() -> Value {
    let manifest = check::parse(&example_manifest()).unwrap();
    json!({"revision": 11, "manifest_revision": 7, "manifest": manifest})
}

fn status() -> Value {
    json!({
        "router": "lautoka-entry-1", "incarnation": "5", "revision": 11, "manifest_revision": 7,
        "confirmed_ms_ago": 420, "stale": false,
        "routers": [{"id": "lautoka-entry-1", "role": "router", "domain": "lautoka", "incarnation": "5", "revision": 11}],
        "links": [{
            "id": "ba-loan-desk-1", "role": "agent", "domain": "ba", "incarnation": "6", "revision": 10,
            "service": "loan-desk", "outstanding": 3, "running": 2, "queued": 1, "limit": 12,
            "tokens_held": 900, "tokens_limit": 49152, "cold": true, "leaving": false,
        }],
        "lagging": [{"id": "ba-loan-desk-1", "role": "agent", "domain": "ba", "incarnation": "6", "revision": 10}],
        "shards": [{"shard": 3, "owner": "lautoka-entry-1", "address": "10.0.0.1:1", "incarnation": "5", "fence": 4}],
        "rollouts": [{
            "model": "plan-large", "version": "7.1", "baseline": "7.0", "step": 1, "permille": 20,
            "phase": "running", "reason": "",
        }],
        "domains": {"ba": {"region": "viti-west", "in_service": false}},
        "draining": ["nadi-loan-desk-2"],
        "budgets": [
            {"customer": "savusavu", "period": "2026-12", "cap_micros": 400_000_000, "committed_micros": 330_000_001,
             "warning_percent": 80},
            {"customer": "tavua", "period": "2026-12", "cap_micros": 5, "committed_micros": null,
             "warning_percent": null},
        ],
    })
}

#[test]
fn show_prints_yaml_that_can_be_submitted() {
    let fake = FakeRouter::start().reply("GET /v1/manifest", 200, &current());
    let yaml = fake.run(&["show"]).success();
    assert!(yaml.starts_with("# manifest revision 7, revision 11\n"), "{yaml}");
    assert_eq!(check::parse(&yaml).unwrap(), check::parse(&example_manifest()).unwrap());
}

#[test]
fn diff_prints_added_removed_and_changed_values() {
    let fake = FakeRouter::start().reply("GET /v1/manifest", 200, &current());
    let edited = example_manifest()
        .replacen("max_running: 12", "max_running: 14", 1)
        .replacen("  nadi:\n    region: viti-west\n    in_service: true\n", "", 1)
        .replacen("weight: 8\n", "weight: 8\n    budget: {cap: 7, period: \"2027-01\"}\n", 1);
    let file = fake.write_file("manifest.yaml", &edited);
    let stdout = fake.run(&["diff", &file]).success();
    assert_eq!(
        stdout,
        "# against manifest revision 7\n\
         ~ customers.lamplight-central.budget: null -> {\"cap\":7,\"period\":\"2027-01\"}\n\
         - domains.nadi: {\"in_service\":true,\"region\":\"viti-west\"}\n\
         ~ services.loan-desk.max_running: 12 -> 14\n"
    );
}

#[test]
fn status_tables_show_lag_load_and_warnings() {
    let fake = FakeRouter::start().reply("GET /v1/status", 200, &status());
    let stdout = fake.run(&["status"]).success();
    assert_eq!(
        stdout,
        "router lautoka-entry-1: revision 11 (manifest revision 7), confirmed 420 ms ago\n\
         lagging: ba-loan-desk-1 at revision 10\n\
         draining: nadi-loan-desk-2\n\
         \n\
         DOMAIN  REGION     SERVICE\n\
         ba      viti-west  out\n\
         \n\
         ROUTER           DOMAIN   REVISION\n\
         lautoka-entry-1  lautoka  11\n\
         \n\
         AGENT           DOMAIN  SERVICE    REVISION  OUTSTANDING  RUNNING  QUEUED  LIMIT  STATE\n\
         ba-loan-desk-1  ba      loan-desk  10        3            2        1       12     cold\n\
         \n\
         SHARD  OWNER            FENCE\n\
         3      lautoka-entry-1  4\n\
         \n\
         MODEL       VERSION  BASELINE  PHASE    STEP  PERMILLE  REASON\n\
         plan-large  7.1      7.0       running  1     20\n\
         \n\
         CUSTOMER  PERIOD   CAP         COMMITTED   WARNING\n\
         savusavu  2026-12  400.000000  330.000001  over 80%\n\
         tavua     2026-12  0.000005    unknown\n"
    );
}

#[test]
fn status_json_is_the_routers_answer() {
    let fake = FakeRouter::start().reply("GET /v1/status", 200, &status());
    let stdout = fake.run(&["--json", "status"]).success();
    assert_eq!(serde_json::from_str::<Value>(&stdout).unwrap(), status());
}

#[test]
fn rollout_list_prints_rollouts() {
    let fake = FakeRouter::start().reply("GET /v1/status", 200, &status());
    let stdout = fake.run(&["rollout", "list"]).success();
    assert!(stdout.contains("plan-large  7.1      7.0       running  1     20"), "{stdout}");
}

#[test]
fn bill_sums_by_model_and_version() {
    let bill = |id: &str, model: &str, version: &str, service: &str, cost: u64| {
        json!({"request_id": id, "model": model, "version": version, "service": service,
               "prompt_tokens": 100, "output_tokens": 20, "cost_micros": cost})
    };
    let bills = json!({"customer": "savusavu", "total_micros": 1_500_353, "bills": [
        bill("1.a", "plan-large", "7.0", "", 1_000_000),
        bill("2.a", "plan-large", "7.0", "", 500_000),
        bill("3.a", "plan-small", "4.2", "", 3),
        bill("4.b", "", "", "loan-records", 350),
    ]});
    let fake = FakeRouter::start().reply("GET /v1/bills/savusavu", 200, &bills);
    assert_eq!(
        fake.run(&["bill", "savusavu"]).success(),
        "MODEL       VERSION  SERVICE       REQUESTS  PROMPT  OUTPUT  COST\n\
         \x20                    loan-records  1         100     20      0.000350\n\
         plan-large  7.0                    2         200     40      1.500000\n\
         plan-small  4.2                    1         100     20      0.000003\n\
         total 1.500353 in 4 requests\n"
    );
    assert_eq!(fake.run(&["bill", "savusavu", "--requests"]).success().lines().count(), 6);
}

#[test]
fn check_needs_no_router() {
    let fake = FakeRouter::start();
    let file = fake.write_file("manifest.yaml", &example_manifest());
    let stdout = run(&["check", &file], &[]).success();
    let counts = "valid, 4 domains, 2 services, 2 models, 1 classes, 10 customers";
    assert_eq!(stdout, format!("{file}: {counts}\n"));
}

#[test]
fn check_prints_every_problem_and_exits_4() {
    let fake = FakeRouter::start();
    let wrong =
        example_manifest().replacen("cold_limit: 2", "cold_limit: 0", 1).replacen("cap: 400000000", "cap: 0", 1);
    let file = fake.write_file("manifest.yaml", &wrong);
    let stderr = run(&["check", &file], &[]).failure(4);
    assert!(stderr.starts_with(&format!("eelgrasswell: could not accept manifest {file}: problems: 2\n")), "{stderr}");
    assert!(stderr.contains("\n  services.loan-desk.cold_limit (line 23): expected a limit above 0\n"), "{stderr}");
    assert!(stderr.contains("\n  customers.savusavu.budget.cap (line "), "{stderr}");
    let json = run(&["--json", "check", &file], &[]);
    let problems: Value = serde_json::from_str(&json.stdout).unwrap();
    assert_eq!((json.code, problems["problems"].as_array().map(Vec::len)), (4, Some(2)));
}

#[test]
fn environment_gives_router_and_credential() {
    let fake = FakeRouter::start().reply("GET /v1/status", 200, &status());
    run(&["--json", "status"], &fake.environment()).success();
}

#[test]
fn missing_settings_exit_2() {
    assert!(run(&["status"], &[]).failure(2).contains("could not find the router: give --router"));
    let [router, _] = FakeRouter::start().environment();
    assert!(run(&["status"], &[router]).failure(2).contains("could not find the credential"));
    let wrong = [("EELGRASSWELL_ROUTER", "here".to_owned())];
    let stderr = run(&["status"], &wrong).failure(2);
    assert!(stderr.contains("could not parse EELGRASSWELL_ROUTER=\"here\": expected ip:port"), "{stderr}");
}

#[test]
fn unreadable_files_are_named() {
    let fake = FakeRouter::start();
    let stderr = fake.run(&["check", "/nonexistent/m.yaml"]).failure(1);
    assert!(stderr.starts_with("eelgrasswell: could not read manifest /nonexistent/m.yaml: "), "{stderr}");
    let [router, _] = fake.environment();
    let credential = ("EELGRASSWELL_CREDENTIAL", "/nonexistent/c".to_owned());
    let stderr = run(&["status"], &[router, credential]).failure(1);
    assert!(stderr.contains("could not read secret /nonexistent/c"), "{stderr}");
}

#[test]
fn response_that_is_not_json_is_an_error() {
    let fake = FakeRouter::start();
    let stderr = fake.run(&["status"]).failure(1);
    assert!(stderr.contains("could not GET /v1/status at router 127.0.0.1:"), "{stderr}");
    assert!(stderr.contains("status 500"), "{stderr}");
}
