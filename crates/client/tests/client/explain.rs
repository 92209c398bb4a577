//! Tests that `explain` parses logs correctly and that the cause that it prints follows from them.

use serde_json::Value;
use test_case::test_case;

use crate::support::{FakeRouter, run};

const FRONT_1: &str = r#"2026-05-18T05:36:10.1Z [INFO] event=gateway_started id=front-1 incarnation=7
2026-05-18T05:36:12.25Z [WARN] event=store_lost kind=config error="no answer: timed out"
2026-05-18T05:36:13.001Z [INFO] event=send_ended request=b1 error="lost at i-5: connection error: \"reset\""
2026-05-18T05:36:13.002Z [INFO] event=refused request=b1 status=502 reason=connection_lost outcome=unknown detail="the backend server gave no answer"
2026-05-18T05:36:14.5Z [INFO] event=backend_gone backend=i-5
2026-05-18T05:36:17Z [INFO] event=refused request=k1 status=503 reason=stale_config outcome=not_run detail="the configuration was last confirmed 4612ms ago"
2026-05-18T05:36:18Z [INFO] event=answered request=s1 status=200 after=80ms backend=i-6 sends=1
2026-05-18T05:36:19Z [INFO] event=stream_broken request=s1 error="it stalled"
2026-05-18T05:36:20Z [INFO] event=stream_cut request=s1 error="it stalled"
2026-05-18T05:36:21Z [INFO] event=answered request=o1 status=200 after=80ms backend=i-6 sends=1
2026-05-18T05:36:22Z [INFO] event=escalated request=u1 confidence=12
no event at all
"#;

const FRONT_2: &str = r#"2026-05-18T05:36:10.05Z [INFO] event=gateway_started id=front-2 incarnation=8
2026-05-18T05:36:12.9Z [INFO] event=repeated request=e1 reason=failed status=500 backend=i-6
2026-05-18T05:36:13.3Z [INFO] event=answered request=e1 status=500 after=95ms backend=i-7 sends=2
2026-05-18T05:36:14Z [INFO] event=answered request=r1 status=200 after=95ms backend=i-7 sends=1
2026-05-18T05:36:15Z [INFO] event=escalated request=w1 confidence=3
2026-05-18T05:36:25.5Z [INFO] event=gateway_started id=front-2 incarnation=9
"#;

#[test_case("b1", "front-1 refused it with 502 (connection_lost): the backend server gave no answer; its last send: lost at i-5: connection error: \"reset\""; "lost")]
#[test_case("k1", "front-1 refused it with 503 (stale_config): the configuration was last confirmed 4612ms ago"; "stale configuration")]
#[test_case("s1", "front-1 cut its stream: it stalled; it was not resumed elsewhere, since its tries or the budget of repeats were used up"; "stream cut")]
#[test_case("o1", "front-1 answered with 200 from backend server i-6 after 80ms; no failure is logged"; "served")]
#[test_case("u1", "front-1 logged no end of it: the caller left, or the log ends here"; "no end")]
#[test_case("e1", "backend server i-7 answered with 500, after 2 sends by front-2"; "failed twice")]
#[test_case("r1", "front-2 began its answer and was started again at 2026-05-18T05:36:25.5; what was not delivered by then was lost"; "restart in the answer")]
#[test_case("w1", "front-2 was working on it and was started again at 2026-05-18T05:36:25.5"; "restart before the answer")]
fn explain_cause(id: &str, cause: &str) {
    let fake = FakeRouter::start();
    let files = [fake.write_file("front-1.log", FRONT_1), fake.write_file("front-2.log", FRONT_2)];
    let stdout = run(&["explain", id, &files[0], &files[1]], &[]).success();
    assert_eq!(stdout.lines().next(), Some(cause));
}

/// The context must contain the state of the process before the end of the request, and no later events.
#[test]
fn explain_context() {
    let fake = FakeRouter::start();
    let files = [fake.write_file("front-1.log", FRONT_1), fake.write_file("front-2.log", FRONT_2)];
    let json = run(&["--json", "explain", "b1", &files[0], &files[1]], &[]).success();
    let value: Value = serde_json::from_str(&json).unwrap();
    let lines = |key: &str| -> Vec<String> {
        let lines = value[key].as_array().unwrap().iter();
        lines.map(|line| line["line"].as_str().unwrap().split(' ').next().unwrap().to_owned()).collect()
    };
    assert_eq!(lines("lines"), ["event=send_ended", "event=refused"]);
    assert_eq!(lines("context"), ["event=gateway_started", "event=store_lost"]);
}

/// Log collectors add the process before the time, and mix the lines of several processes in one file.
#[test]
fn explain_collected_log() {
    let fake = FakeRouter::start();
    let collected: String =
        FRONT_2.lines().rev().map(|line| format!("  12.5 front-9 {line}\n")).collect::<Vec<_>>().concat();
    let file = fake.write_file("all.log", &collected);
    let stdout = run(&["explain", "e1", &file], &[]).success();
    let lines: Vec<&str> = stdout.lines().collect();
    assert_eq!(lines[0], "backend server i-7 answered with 500, after 2 sends by front-9");
    assert!(lines[3].contains("event=repeated") && lines[4].contains("event=answered"), "{stdout}");
}

#[test]
fn explain_unknown_request() {
    let fake = FakeRouter::start();
    let file = fake.write_file("front-1.log", FRONT_1);
    let stderr = run(&["explain", "none", &file], &[]).failure(1);
    assert!(stderr.contains("could not find request none in the logs"), "{stderr}");
    let stderr = run(&["explain", "b1"], &[]).failure(2);
    assert!(stderr.contains("name at least one file"), "{stderr}");
    let stderr = run(&["explain", "b1", "/nonexistent/a.log"], &[]).failure(1);
    assert!(stderr.contains("could not read log /nonexistent/a.log"), "{stderr}");
}
