//! Tests of gateway processes with prompts that crash the servers that answer them.

use eelgrasswell_testbed::{
    http::Reply,
    site::{Rig, RigPlan, wait_until},
};
use eyre::Result;
use hyper::StatusCode;
use serde_json::json;

/// A part of prompts on which servers crash.
const DEADLY: &str = "dead01";
const GATEWAYS: usize = 3;

/// Sends a request at `gateway` whose prompt has the parts `shared` and one of its own.
async fn post(rig: &Rig, gateway: usize, id: &str, shared: &str) -> Result<Reply> {
    let client = rig.chat(id).with("x-prompt-prefix", &format!("{shared},{id}:10"));
    client.post_json(rig.gateways[gateway].callers, "/chat/1", &json!({"ask": id})).await
}

fn deadly_runs(rig: &Rig) -> usize {
    let runs = rig.engines.iter().flat_map(|engine| engine.runs());
    runs.filter(|run| run.header("x-prompt-prefix").contains(DEADLY)).count()
}

/// Guards against requests that crash one server after the other, at any gateway, and against the refusal of sound
/// requests that share the other parts of their prompts (issue 20, BUDGET and LOST).
#[tokio::test]
async fn crashing_part_is_refused_everywhere() -> Result<()> {
    let rig = Rig::start(RigPlan { gateways: GATEWAYS, engines: 6, desks: 1, ..RigPlan::default() }).await?;
    for engine in &rig.engines {
        engine.set_behaviour(|behaviour| {
            behaviour.crashes_on_part = Some(DEADLY.into());
            behaviour.confidence = [("small".into(), 80)].into();
        });
    }
    let sound = |n: usize| format!("first:100,topic{}:50", n % 3);
    // Callers send such requests at any gateway, among sound ones, until every gateway refuses them.
    let mut sent = 0;
    wait_until("all gateways refuse the part", async || {
        let mut refused = 0;
        for gateway in 0..GATEWAYS {
            sent += 1;
            let _ = post(&rig, gateway, &format!("sound-{sent}"), &sound(sent)).await;
            let deadly = format!("first:100,{DEADLY}:30,topic{}:50", sent % 3);
            let reply = post(&rig, gateway, &format!("deadly-{sent}"), &deadly).await;
            refused += usize::from(reply.is_ok_and(|reply| reply.status == StatusCode::SERVICE_UNAVAILABLE));
        }
        refused == GATEWAYS
    })
    .await?;
    let before = deadly_runs(&rig);
    for n in 0..12 {
        let deadly = format!("first:100,topic{}:50,{DEADLY}:30", n % 3);
        let reply = post(&rig, n % GATEWAYS, &format!("later-{n}"), &deadly).await?;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        let reply = post(&rig, n % GATEWAYS, &format!("later-sound-{n}"), &sound(n)).await?;
        assert_eq!(reply.status, StatusCode::OK, "a sound request was refused: {}", reply.text());
    }
    assert_eq!(deadly_runs(&rig), before, "requests with the part still reach servers");
    assert!(before <= 12, "{before} requests with the part ran before it was refused");
    Ok(())
}
