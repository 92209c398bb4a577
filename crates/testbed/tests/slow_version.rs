//! Test of gateway processes with a new version that is slow after the first event of its answers.

use std::time::Duration;

use eelgrasswell_testbed::site::{FakeBackend, Rig, RigPlan};
use eyre::{Result, ensure};
use futures::future::try_join_all;
use hyper::StatusCode;
use serde_json::json;
use tokio::time::Instant;

const EVENTS: usize = 20;
/// Pause between two events of the old version, and of the new one.
const PAUSES: [Duration; 2] = [Duration::from_millis(4), Duration::from_millis(40)];
/// Number of requests at a time.
const CONCURRENT: usize = 24;

fn set_pause(backend: &FakeBackend, pause: Duration) {
    backend.set_behaviour(|behaviour| {
        behaviour.events = EVENTS;
        behaviour.pause = pause;
        behaviour.confidence = [("small".into(), 80)].into();
    });
}

/// Guards against a version that begins its answers in time, generates them several times slower, and is completed (issue
/// 20, EXPOSURE).
#[tokio::test]
async fn version_slow_after_first_event_is_rolled_back() -> Result<()> {
    let rig = Rig::start(RigPlan { gateways: 2, engines: 3, ..RigPlan::default() }).await?;
    rig.engines.iter().for_each(|engine| set_pause(engine, PAUSES[0]));
    let new = FakeBackend::bind("chat-new").await?;
    set_pause(&new, PAUSES[1]);
    rig.store.put("servers", "chat-new", new.store_entry("chat", "v2", "ready"));
    rig.store.put("rollouts", "chat", json!({"service": "chat", "target": "v2", "duration_s": 10}));
    let started = Instant::now();
    let mut sent = 0;
    loop {
        let state = rig.store.status("rollouts", "chat")["state"].clone();
        ensure!(state != "completed", "the slow version was completed after {:?}", started.elapsed());
        if state == "rolled_back" {
            return Ok(());
        }
        ensure!(started.elapsed() < Duration::from_secs(20), "no verdict");
        let requests = (sent..sent + CONCURRENT).map(|n| {
            let client = rig.chat(&format!("r{n}")).with("session", &format!("session-{n}"));
            let callers = rig.gateways[n % 2].callers;
            async move { client.post_json(callers, "/chat/1", &json!({})).await }
        });
        for reply in try_join_all(requests).await? {
            ensure!(reply.status == StatusCode::OK, "a request failed: {}", reply.text());
        }
        sent += CONCURRENT;
    }
}
