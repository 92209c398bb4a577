//! Tests of gateway processes with servers that fail requests they have run, with a status that promises the opposite.

use eelgrasswell_testbed::site::{FakeBackend, Rig, RigPlan};
use eyre::{Result, ensure};
use hyper::StatusCode;
use serde_json::json;
use test_case::test_case;

/// Statuses that callers take as the promise that their request has not run.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

fn count_runs(backends: &[FakeBackend], id: &str) -> usize {
    backends.iter().flat_map(FakeBackend::runs).filter(|run| run.id == id).count()
}

/// Guards against a booking that runs twice because the caller is told that it did not run (review/1, REFUSED).
#[test_case(StatusCode::SERVICE_UNAVAILABLE; "unavailable")]
#[test_case(StatusCode::TOO_MANY_REQUESTS; "too many requests")]
#[test_case(StatusCode::REQUEST_TIMEOUT; "timeout")]
#[tokio::test]
async fn booking_that_ran_is_not_refused(status: StatusCode) -> Result<()> {
    let rig = Rig::start(RigPlan { desks: 2, ..RigPlan::default() }).await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.fails_with = Some(status));
    let mut failed = 0;
    for n in 0..12 {
        let id = format!("booking-{n}");
        let client = rig.customer("key-a").with("x-attempt-id", &id);
        let reply = client.post_json(rig.gateways[0].callers, "/book/1", &json!({})).await?;
        ensure!(!PROMISES.contains(&reply.status), "{id} ran and was answered with {}", reply.status);
        ensure!(reply.status == StatusCode::OK || reply.status == StatusCode::BAD_GATEWAY, "{}", reply.text());
        ensure!(reply.status == StatusCode::OK || reply.header("x-response-seal").is_empty(), "{id} bears a seal");
        assert_eq!(count_runs(&rig.desks, &id), 1, "{id}");
        failed += usize::from(reply.status != StatusCode::OK);
    }
    ensure!(failed > 0, "no request went to the faulty server");
    assert!(rig.gateways[0].log().contains("event=promise_not_passed_on"));
    Ok(())
}

/// Guards against a read or a stream that fails although another server could answer it, or whose caller is told that it
/// did not run.
#[test_case("/read/1", 2, StatusCode::OK; "read with another server")]
#[test_case("/read/1", 1, StatusCode::BAD_GATEWAY; "read without another server")]
#[test_case("/chat/1", 2, StatusCode::OK; "stream with another server")]
#[test_case("/chat/1", 1, StatusCode::BAD_GATEWAY; "stream without another server")]
#[tokio::test]
async fn idempotent_request_that_ran_is_repeated(path: &str, servers: usize, expected: StatusCode) -> Result<()> {
    let rig = Rig::start(RigPlan { engines: servers, desks: servers, ..RigPlan::default() }).await?;
    let backends = if path == "/chat/1" { &rig.engines } else { &rig.desks };
    backends[0].set_behaviour(|behaviour| behaviour.fails_with = Some(StatusCode::SERVICE_UNAVAILABLE));
    for n in 0..8 {
        let reply = rig.chat(&format!("r{n}")).post_json(rig.gateways[0].callers, path, &json!({})).await?;
        ensure!(reply.status == expected, "{}: {}", reply.status, reply.text());
    }
    Ok(())
}
