//! Tests of gateway processes with sessions that are in use when a rollout begins.

use std::time::Duration;

use eelgrasswell_testbed::site::{FakeBackend, Rig, RigPlan, wait_until};
use eyre::{Result, ensure};
use futures::future::try_join_all;
use hyper::StatusCode;
use serde_json::json;
use tokio::time::sleep;

/// Sends a request in each of `sessions` at the same time, to the gateways in turn.
async fn send_in_sessions(rig: &Rig, sessions: std::ops::Range<usize>, first_gateway: usize) -> Result<()> {
    let requests = sessions.map(|n| {
        let client = rig.chat(&format!("{first_gateway}-{n}")).with("session", &format!("session-{n}"));
        let callers = rig.gateways[(n + first_gateway) % rig.gateways.len()].callers;
        async move { client.post_json(callers, "/chat/1", &json!({})).await }
    });
    for reply in try_join_all(requests).await? {
        ensure!(reply.status == StatusCode::OK, "a request failed: {}", reply.text());
    }
    Ok(())
}

/// Orders `v2`, whose only server is `new`, and waits until all gateways know of both.
async fn begin_rollout(rig: &Rig, new: &FakeBackend) -> Result<()> {
    let is_in_logs = |event: &str| rig.gateways.iter().all(|gateway| gateway.log().contains(event));
    rig.store.put("rollouts", "chat", json!({"service": "chat", "target": "v2", "duration_s": 20}));
    wait_until("the order is known", async || is_in_logs("event=order_received")).await?;
    rig.store.put("servers", &new.id, new.store_entry("chat", "v2", "ready"));
    wait_until("the new server is known", async || is_in_logs(&format!("event=backend_added backend={}", new.id))).await
}

/// Guards against a session that moves to the new version since it counts as expired some time after its last request
/// *arrived*, although that request's stream ended a moment ago (PINNED).
#[tokio::test]
async fn session_of_long_stream_stays_on_old_version() -> Result<()> {
    const SESSIONS: std::ops::Range<usize> = 0..150;
    let rig = Rig::start(RigPlan { gateways: 2, ..RigPlan::default() }).await?;
    let new = FakeBackend::bind("chat-new").await?;
    for engine in rig.engines.iter().chain([&new]) {
        engine.set_behaviour(|behaviour| {
            behaviour.confidence = [("small".into(), 80)].into();
            // The stream lasts for 2 s, twice as long as a session of the rig.
            (behaviour.events, behaviour.pause) = (20, Duration::from_millis(100));
        });
    }
    let rollout = async {
        sleep(Duration::from_millis(200)).await;
        begin_rollout(&rig, &new).await
    };
    tokio::try_join!(send_in_sessions(&rig, SESSIONS, 0), rollout)?;
    sleep(Duration::from_millis(300)).await;
    send_in_sessions(&rig, SESSIONS, 1).await?;
    assert_eq!(new.arrivals().len(), 0, "sessions moved to the new version");
    // The new version is in use: some new sessions have it.
    send_in_sessions(&rig, 1_000..1_150, 0).await?;
    assert!(!new.arrivals().is_empty());
    Ok(())
}

/// Guards against a request that came before an order and runs on the new version at once, since it is sent again by the
/// rule that held when it came (PINNED).
#[tokio::test]
async fn request_from_before_the_order_is_not_sent_to_new_version() -> Result<()> {
    let rig = Rig::start(RigPlan { engines: 1, ..RigPlan::default() }).await?;
    let new = FakeBackend::bind("chat-new").await?;
    new.set_behaviour(|behaviour| behaviour.confidence = [("large".into(), 80)].into());
    // The smallest model is not sure, so the largest one is asked, at any server.
    rig.engines[0].set_behaviour(|behaviour| {
        behaviour.confidence = [("small".into(), 5), ("large".into(), 80)].into();
        behaviour.delay = Duration::from_millis(700);
    });
    tokio::try_join!(send_in_sessions(&rig, 0..20, 0), async {
        sleep(Duration::from_millis(100)).await;
        begin_rollout(&rig, &new).await
    })?;
    assert!(rig.gateways[0].log().contains("event=escalated"));
    assert_eq!(new.arrivals().len(), 0, "requests from before the order ran on the new version");
    Ok(())
}
