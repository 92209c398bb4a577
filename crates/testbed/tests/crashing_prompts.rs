//! Tests of gateway processes with prompts that crash the servers that answer them.

use eelgrasswell_testbed::{
    http::Reply,
    process::Signal,
    site::{Rig, RigPlan, wait_until},
};
use eyre::Result;
use hyper::StatusCode;
use serde_json::json;
use test_case::test_case;

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

async fn start_rig() -> Result<Rig> {
    let rig = Rig::start(RigPlan { gateways: GATEWAYS, engines: 6, desks: 1, ..RigPlan::default() }).await?;
    for engine in &rig.engines {
        engine.set_behaviour(|behaviour| {
            behaviour.crashes_on_part = Some(DEADLY.into());
            behaviour.confidence = [("small".into(), 80)].into();
        });
    }
    Ok(rig)
}

/// Shared parts of a sound prompt.
fn sound(n: usize) -> String {
    format!("first:100,topic{}:50", n % 3)
}

/// Sends requests with the deadly part among sound ones, round about at `gateways`, until all of these refuse them.
async fn send_until_refused(rig: &Rig, gateways: &[usize]) -> Result<()> {
    let mut sent = 0;
    wait_until("the gateways refuse the part", async || {
        let mut refused = 0;
        for &gateway in gateways {
            sent += 1;
            let _ = post(rig, gateway, &format!("sound-{gateway}-{sent}"), &sound(sent)).await;
            let deadly = format!("first:100,{DEADLY}:30,topic{}:50", sent % 3);
            let reply = post(rig, gateway, &format!("deadly-{gateway}-{sent}"), &deadly).await;
            refused += usize::from(reply.is_ok_and(|reply| reply.status == StatusCode::SERVICE_UNAVAILABLE));
        }
        refused == gateways.len()
    })
    .await
}

/// Guards against requests that crash one server after the other, at any gateway, and against the refusal of sound
/// requests that share the other parts of their prompts (issue 20, BUDGET and LOST).
#[tokio::test]
async fn crashing_part_is_refused_everywhere() -> Result<()> {
    let rig = start_rig().await?;
    send_until_refused(&rig, &[0, 1, 2]).await?;
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

/// Guards against a part that crashes servers again through a gateway that did not see the crashes: one that was killed and
/// knows nothing of before, or one that was frozen and gets the others' messages late.
#[test_case(Signal::Kill; "killed")]
#[test_case(Signal::Stop; "frozen")]
#[tokio::test]
async fn crashing_part_is_refused_by_gateway_that_was(fault: Signal) -> Result<()> {
    let mut rig = start_rig().await?;
    rig.gateways[2].signal(fault)?;
    send_until_refused(&rig, &[0, 1]).await?;
    let before = deadly_runs(&rig);
    match fault {
        Signal::Kill => rig.gateways[2].restart()?,
        _ => rig.gateways[2].signal(Signal::Continue)?,
    }
    wait_until("the gateway learns of the block", async || rig.gateways[2].log().contains("part_block_learned"))
        .await?;
    wait_until("the gateway is ready", async || rig.gateways[2].is_ready().await).await?;
    send_until_refused(&rig, &[2]).await?;
    assert_eq!(deadly_runs(&rig), before, "more requests with the part ran");
    Ok(())
}
