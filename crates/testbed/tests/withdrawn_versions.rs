//! Tests of gateway processes with a version that was rolled back while its servers are still listed.

use std::time::Duration;

use eelgrasswell_testbed::site::{FakeBackend, Rig, RigPlan, wait_until};
use eyre::Result;
use serde_json::json;
use test_case::test_case;
use tokio::time::sleep;

/// What follows the rollback.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Next {
    Order,
    OrderAndRestart,
    Removal,
}

async fn send(rig: &Rig, gateway: usize, session: &str) {
    let client = rig.chat(session).with("x-deadline-ms", "2000").with("session", session);
    // Failures of the bad version count as answers here.
    let _ = client.post_json(rig.gateways[gateway].callers, "/chat/1", &json!({})).await;
}

/// Guards against a bad version that gets requests again once its order is replaced or removed (review/10, PINNED).
#[test_case(Next::Order; "the next version is ordered")]
#[test_case(Next::OrderAndRestart; "a gateway starts after the next order")]
#[test_case(Next::Removal; "the order is removed")]
#[tokio::test]
async fn withdrawn_version_gets_no_requests(next: Next) -> Result<()> {
    let mut rig = Rig::start(RigPlan { gateways: 2, engines: 2, ..RigPlan::default() }).await?;
    let bad = FakeBackend::bind("chat-v2").await?;
    bad.set_behaviour(|behaviour| behaviour.fails = true);
    let good = FakeBackend::bind("chat-v3").await?;
    for engine in rig.engines.iter().chain([&good]) {
        engine.set_behaviour(|behaviour| behaviour.confidence = [("small".into(), 80)].into());
    }
    rig.store.put("servers", "chat-v2", bad.store_entry("chat", "v2", "ready"));
    rig.store.put("rollouts", "chat", json!({"service": "chat", "target": "v2", "duration_s": 8}));
    let mut sent = 0;
    wait_until("the version is rolled back", async || {
        sent += 1;
        send(&rig, sent % 2, &format!("trial-{sent}")).await;
        rig.store.status("rollouts", "chat")["state"] == "rolled_back"
    })
    .await?;
    if next == Next::Removal {
        rig.store.delete("rollouts", "chat");
    } else {
        rig.store.put("servers", "chat-v3", good.store_entry("chat", "v3", "ready"));
        rig.store.put("rollouts", "chat", json!({"service": "chat", "target": "v3", "duration_s": 20}));
    }
    if next == Next::OrderAndRestart {
        sleep(Duration::from_millis(500)).await;
        rig.gateways[1].restart()?;
        let gateway = &rig.gateways[1];
        wait_until("the gateway is ready", async || gateway.is_ready().await).await?;
        wait_until("it hears from the other one", async || gateway.log().contains("event=version_withdrawn")).await?;
    }
    sleep(Duration::from_millis(300)).await;
    let before = bad.arrivals().len();
    for n in 0..60 {
        send(&rig, n % 2, &format!("after-{n}")).await;
    }
    assert_eq!(bad.arrivals().len(), before);
    Ok(())
}
