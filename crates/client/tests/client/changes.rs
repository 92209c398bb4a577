//! Tests of the commands that change the configuration.

use serde_json::{Value, json};
use test_case::test_case;

use crate::support::{Answer, CREDENTIAL, FakeRouter, example_manifest};

fn changed() -> Value {
    json!({"revision": 12, "manifest_revision": 8, "submission": "s"})
}

fn status(revisions: &[(&str, Option<u64>)]) -> String {
    let hosts: Vec<_> = revisions.iter().map(|(id, revision)| json!({"id": id, "revision": revision})).collect();
    let (routers, links) = hosts.split_at(1);
    json!({"routers": routers, "links": links}).to_string()
}

fn reply(status: u16, body: String) -> Answer {
    Answer::Reply(status, body)
}

#[test]
fn submit_waits_until_all_hosts_have_the_revision() {
    let fake = FakeRouter::start().reply("PUT /v1/manifest", 200, &changed()).script_answers(
        "GET /v1/status",
        &[
            // The router is unavailable for a moment.
            Answer::ClosedConnection,
            reply(503, "{}".into()),
            reply(200, status(&[("r1", Some(12)), ("a1", Some(11)), ("a2", None)])),
            reply(200, status(&[("r1", Some(12)), ("a1", Some(12)), ("a2", None)])),
            reply(200, status(&[("r1", Some(12)), ("a1", Some(13)), ("a2", Some(12))])),
        ],
    );
    let file = fake.write_file("manifest.yaml", &example_manifest());
    let run = fake.run(&["submit", &file, "--expected", "7"]);
    assert_eq!(
        run.stderr,
        "revision 12 is in force on 1 of 3 hosts\n\
         revision 12 is in force on 2 of 3 hosts\n\
         revision 12 is in force on 3 of 3 hosts\n"
    );
    assert_eq!(run.success(), format!("submit {file}: manifest revision 8, revision 12, in force on 3 hosts\n"));
    let [put] = fake.received("PUT /v1/manifest").try_into().unwrap();
    assert_eq!(put.parameter("expected"), Some("7"));
    assert_eq!(put.parameter("submission").map(str::len), Some(36));
    assert_eq!(put.authorization, format!("Bearer {CREDENTIAL}"));
    assert_eq!(put.body, example_manifest());
}

/// Without `--expected`, the client must send the revision that it read, so that a concurrent change
/// is not overwritten.
#[test]
fn submit_without_expected_sends_the_revision_in_force() {
    let current = json!({"revision": 11, "manifest_revision": 7, "manifest": {}});
    let fake = FakeRouter::start().reply("GET /v1/manifest", 200, &current).reply("PUT /v1/manifest", 200, &changed());
    let file = fake.write_file("manifest.yaml", &example_manifest());
    let stdout = fake.run(&["--json", "submit", &file, "--wait-s", "0"]).success();
    let stdout: Value = serde_json::from_str(&stdout).unwrap();
    assert_eq!(stdout, json!({"revision": 12, "manifest_revision": 8, "hosts_in_force": null}));
    let [put] = fake.received("PUT /v1/manifest").try_into().unwrap();
    assert_eq!(put.parameter("expected"), Some("7"));
}

#[test]
fn submit_lost_race_exits_3_with_the_current_revision() {
    let error = json!({"error": {"reason": "conflict", "message": "m", "manifest_revision": 9}});
    let fake = FakeRouter::start().reply("PUT /v1/manifest", 409, &error);
    let file = fake.write_file("manifest.yaml", &example_manifest());
    let stderr = fake.run(&["submit", &file, "--expected", "7"]).failure(3);
    assert_eq!(stderr, "eelgrasswell: could not change the configuration: the manifest is at revision 9 now\n");
}

/// A retry with a new submission id could apply the change twice.
#[test]
fn submit_repeats_a_lost_call_with_the_same_submission() {
    let put = [Answer::ClosedConnection, Answer::ClosedConnection, reply(200, changed().to_string())];
    let fake = FakeRouter::start().script_answers("PUT /v1/manifest", &put);
    let file = fake.write_file("manifest.yaml", &example_manifest());
    fake.run(&["submit", &file, "--expected", "7", "--wait-s", "0"]).success();
    let submissions = fake.received("PUT /v1/manifest");
    let first = submissions[0].parameter("submission").unwrap();
    assert!(submissions.iter().all(|req| req.parameter("submission") == Some(first)), "{submissions:?}");
    assert_eq!(submissions.len(), 3);
}

#[test]
fn submit_without_any_response_names_the_submission() {
    let fake = FakeRouter::start().script_answers("PUT /v1/manifest", &[Answer::ClosedConnection]);
    let file = fake.write_file("manifest.yaml", &example_manifest());
    let stderr = fake.run(&["submit", &file, "--expected", "7", "--submission", "again-1"]).failure(1);
    assert!(stderr.contains("may have taken effect; repeat it with --submission again-1"), "{stderr}");
    assert!(stderr.contains("could not PUT /v1/manifest at router 127.0.0.1:"), "{stderr}");
}

#[test]
fn submit_not_in_force_in_time_exits_5_and_names_hosts() {
    let lagging = status(&[("r1", Some(12)), ("a1", Some(11)), ("a2", None)]);
    let fake = FakeRouter::start()
        .reply("PUT /v1/manifest", 200, &changed())
        .script_answers("GET /v1/status", &[reply(200, lagging)]);
    let file = fake.write_file("manifest.yaml", &example_manifest());
    let stderr = fake.run(&["submit", &file, "--expected", "7", "--wait-s", "1"]).failure(5);
    let expected =
        "could not see revision 12 in force on all hosts within 1 s: a1 (revision 11), a2 (revision unknown)";
    assert!(stderr.contains(expected), "{stderr}");
}

#[test]
fn submit_invalid_manifest_exits_4_without_a_call() {
    let fake = FakeRouter::start();
    let file = fake.write_file("manifest.yaml", &example_manifest().replacen("max_running: 12", "max_running: 0", 1));
    let stderr = fake.run(&["submit", &file]).failure(4);
    assert!(stderr.contains("services.loan-desk.max_running (line 20): expected a limit above 0"), "{stderr}");
    assert!(fake.received("GET /v1/manifest").is_empty());
}

#[test]
fn submit_refused_by_router_exits_4_with_its_problems() {
    let problem = json!({"path": "models.plan-small.current", "line": 0, "expected": "a version that runs"});
    let error = json!({"error": {"reason": "invalid_manifest", "message": "m", "problems": [problem]}});
    let fake = FakeRouter::start().reply("PUT /v1/manifest", 422, &error);
    let file = fake.write_file("manifest.yaml", &example_manifest());
    let stderr = fake.run(&["submit", &file, "--expected", "7"]).failure(4);
    assert!(stderr.ends_with("  models.plan-small.current: expected a version that runs\n"), "{stderr}");
}

#[test_case(&["rollout", "stop", "plan-large/7.1"], "POST /v1/rollouts/plan-large/7.1/stop", "rollout plan-large/7.1 stop"; "rollout")]
#[test_case(&["domain", "out", "nadi"], "POST /v1/domains/nadi/out", "domain out nadi"; "domain_out")]
#[test_case(&["domain", "in", "nadi"], "POST /v1/domains/nadi/in", "domain in nadi"; "domain_in")]
#[test_case(&["drain", "ba-loan-desk-3"], "POST /v1/hosts/ba-loan-desk-3/drain", "drain ba-loan-desk-3"; "drain")]
fn command_changes_and_waits(args: &[&str], call: &str, what: &str) {
    let in_force = status(&[("r1", Some(12)), ("a1", Some(12))]);
    let fake =
        FakeRouter::start().reply(call, 200, &changed()).script_answers("GET /v1/status", &[reply(200, in_force)]);
    let stdout = fake.run(args).success();
    assert_eq!(stdout, format!("{what}: manifest revision 8, revision 12, in force on 2 hosts\n"));
    assert_eq!(fake.received(call).len(), 1);
}

#[test]
fn command_refused_by_router_prints_its_message() {
    let error = json!({"error": {"reason": "wrong_state", "message": "could not step rollout m/v: it has finished"}});
    let fake = FakeRouter::start().reply("POST /v1/rollouts/m/v/step", 422, &error);
    let stderr = fake.run(&["rollout", "step", "m/v"]).failure(1);
    assert!(stderr.starts_with("eelgrasswell: could not step rollout m/v: it has finished (router 127"), "{stderr}");
}

#[test_case(&["rollout", "stop"], "give it as model/version"; "rollout_without_name")]
#[test_case(&["rollout", "halt", "m/v"], "expected list, start, step, stop or finish"; "unknown_rollout_action")]
#[test_case(&["rollout", "stop", "plan-large"], "expected <model>/<version>"; "rollout_without_version")]
#[test_case(&["domain", "off", "nadi"], "expected out or in"; "unknown_domain_action")]
#[test_case(&["domain", "out", "na/di"], "could not use failure domain \"na/di\""; "domain_that_is_no_id")]
#[test_case(&["drain"], "Required positional arguments"; "missing_argument")]
#[test_case(&["submit", "f", "--expected", "x"], "--expected"; "bad_number")]
fn wrong_usage_exits_2_without_a_change(args: &[&str], message: &str) {
    let stderr = FakeRouter::start().run(args).failure(2);
    assert!(stderr.contains(message), "{stderr}");
}
