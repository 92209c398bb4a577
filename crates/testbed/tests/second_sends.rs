//! Tests of gateway processes with servers that are slow to answer, and second sends to other servers.

use std::{fs, time::Duration};

use eelgrasswell_testbed::{
    http::Reply,
    process::Signal,
    site::{FakeBackend, Rig, RigPlan, wait_until},
};
use eyre::{Result, ensure};
use hyper::StatusCode;
use serde_json::json;
use test_case::test_case;

/// Requests from which a gateway estimates the usual time of an answer.
const LEARNED: usize = 80;
/// Usual time before a response begins.
const USUAL_DELAY: Duration = Duration::from_millis(20);

const ENABLED: &str = "second_send:\n  max_share: 0.2\n  quantile: 0.9\n";

/// Starts a gateway with the settings section `section`, and sends it usual requests for `path`.
async fn start(section: &str, path: &str) -> Result<Rig> {
    let rig = Rig::start(RigPlan::default()).await?;
    let gateway = &rig.gateways[0];
    let text = fs::read_to_string(&gateway.settings)?;
    fs::write(&gateway.settings, format!("{text}{section}"))?;
    gateway.signal(Signal::HangUp)?;
    if !section.is_empty() {
        wait_until("the settings are read", async || gateway.log().contains("settings_reloaded")).await?;
    }
    for backend in rig.engines.iter().chain(&rig.desks) {
        backend.set_behaviour(|behaviour| {
            behaviour.delay = USUAL_DELAY;
            behaviour.pause = Duration::ZERO;
            behaviour.confidence = [("small".into(), 80)].into();
        });
    }
    for n in 0..LEARNED {
        let reply = send(&rig, &format!("usual-{n}"), path).await?;
        ensure!(reply.status == StatusCode::OK, "{} {}", reply.status, reply.text());
    }
    Ok(rig)
}

async fn send(rig: &Rig, id: &str, path: &str) -> Result<Reply> {
    let callers = rig.gateways[0].callers;
    match path {
        "/chat/1" => rig.chat(id).post_json(callers, path, &json!({})).await,
        "/book/1" => rig.customer("key-a").with("x-attempt-id", id).post_json(callers, path, &json!({})).await,
        _ => rig.customer("key-a").with("x-attempt-id", id).get(callers, path).await,
    }
}

fn count_runs(backends: &[FakeBackend], id: &str) -> usize {
    backends.iter().flat_map(FakeBackend::runs).filter(|run| run.id == id).count()
}

fn has_event(rig: &Rig, event: &str, id: &str) -> bool {
    let (event, request) = (format!("event={event} "), format!("request={id} "));
    rig.gateways[0].log().lines().any(|line| line.contains(&event) && line.contains(&request))
}

/// Guards against a request that waits for a slow server although another one could answer it, and against a cancelled
/// request that runs on.
#[test_case("/read/1"; "safe read")]
#[test_case("/chat/1"; "stream")]
#[tokio::test]
async fn slow_server_is_passed_by(path: &str) -> Result<()> {
    let rig = start(ENABLED, path).await?;
    let backends = if path == "/read/1" { &rig.desks } else { &rig.engines };
    backends[0].set_behaviour(|behaviour| behaviour.unresponsive = true);
    let mut slow = None;
    for n in 0..20 {
        let id = format!("r{n}");
        let reply = send(&rig, &id, path).await?;
        assert_eq!((reply.status, reply.header("x-response-seal")), (StatusCode::OK, backends[1].id.as_str()));
        if count_runs(&backends[..1], &id) > 0 {
            slow = Some(id);
            break;
        }
    }
    let Some(id) = slow else { eyre::bail!("the slow server got no request") };
    assert_eq!(count_runs(backends, &id), 2);
    wait_until("the second send has won", async || has_event(&rig, "second_send_ended", &id)).await?;
    assert!(has_event(&rig, "second_send", &id));
    assert!(!has_event(&rig, "send_ended", &id), "the first send was not cancelled but failed");
    wait_until("the first send is cancelled", async || backends[0].waiting() == 0).await
}

/// Guards against a booking that runs twice because its server is slow.
#[tokio::test]
async fn slow_booking_runs_once() -> Result<()> {
    let rig = start(ENABLED, "/read/1").await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.delay = Duration::from_millis(300));
    for n in 0..8 {
        let id = format!("b{n}");
        assert_eq!(send(&rig, &id, "/book/1").await?.status, StatusCode::OK);
        assert_eq!(count_runs(&rig.desks, &id), 1);
    }
    assert!(rig.desks[0].runs().iter().any(|run| run.id.starts_with('b')), "the slow server got no booking");
    Ok(())
}

/// Guards against second sends that operators have not allowed.
#[test_case(""; "no section")]
#[test_case("second_send:\n  max_share: 0\n"; "share of zero")]
#[tokio::test]
async fn no_second_send_unless_allowed(section: &str) -> Result<()> {
    let rig = start(section, "/read/1").await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.delay = Duration::from_millis(300));
    for n in 0..8 {
        let id = format!("r{n}");
        assert_eq!(send(&rig, &id, "/read/1").await?.status, StatusCode::OK);
        assert_eq!(count_runs(&rig.desks, &id), 1);
    }
    assert!(rig.desks[0].runs().iter().any(|run| run.id.starts_with('r')), "the slow server got no request");
    assert!(!rig.gateways[0].log().contains("event=second_send"));
    Ok(())
}

/// Guards against a failure that ends a request although its other send is still running.
#[tokio::test]
async fn failure_does_not_win() -> Result<()> {
    let rig = start(ENABLED, "/read/1").await?;
    rig.desks[0].set_behaviour(|behaviour| (behaviour.delay, behaviour.fails) = (Duration::from_millis(100), true));
    rig.desks[1].set_behaviour(|behaviour| behaviour.delay = Duration::from_millis(250));
    let mut sent_twice = false;
    for n in 0..4 {
        let id = format!("r{n}");
        let reply = send(&rig, &id, "/read/1").await?;
        assert_eq!((reply.status, reply.text().as_str()), (StatusCode::OK, "done by desk-1"));
        sent_twice |= count_runs(&rig.desks, &id) == 2;
    }
    assert!(sent_twice);
    wait_until("a second send was logged", async || rig.gateways[0].log().contains("event=second_send ")).await
}

/// Guards against two sends that run on after their caller has disconnected.
#[tokio::test]
async fn caller_disconnects_during_two_sends() -> Result<()> {
    let rig = start(ENABLED, "/read/1").await?;
    rig.desks.iter().for_each(|desk| desk.set_behaviour(|behaviour| behaviour.unresponsive = true));
    let client = rig.customer("key-a").with("x-attempt-id", "leaver");
    let callers = rig.gateways[0].callers;
    let request = tokio::spawn(async move { client.get(callers, "/read/1").await });
    wait_until("both sends run", async || count_runs(&rig.desks, "leaver") == 2).await?;
    request.abort();
    wait_until("both are cancelled", async || rig.desks.iter().all(|desk| desk.waiting() == 0)).await?;
    assert!(has_event(&rig, "second_send", "leaver"));
    assert!(!has_event(&rig, "refused", "leaver"), "the sends ended at the deadline");
    Ok(())
}
