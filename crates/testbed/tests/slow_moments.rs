//! Test of a gateway process with a server that generates its streams slower than the others.

use std::{fs, time::Duration};

use eelgrasswell_testbed::{
    http::HttpClient,
    process::Signal,
    site::{Rig, RigPlan, wait_until},
};
use eyre::Result;
use serde_json::json;

const ENGINES: usize = 4;
/// Streams that run at each server.
const RUNNING: usize = 2;

/// A client for streams that load a server as much as several small requests.
fn client(rig: &Rig, id: &str) -> HttpClient {
    rig.customer("key-a").with("x-attempt-id", id).with("x-model", "*").with("x-token-count", "7000,5000")
}

/// Guards against new requests to a server whose running streams show that it is slow at the moment.
#[tokio::test]
async fn new_requests_pass_by_slow_server() -> Result<()> {
    let rig = Rig::start(RigPlan { engines: ENGINES, ..RigPlan::default() }).await?;
    let gateway = &rig.gateways[0];
    let text = fs::read_to_string(&gateway.settings)?;
    fs::write(&gateway.settings, format!("{text}server_pace: true\n"))?;
    gateway.signal(Signal::HangUp)?;
    wait_until("the settings are read", async || gateway.log().contains("settings_reloaded")).await?;
    for (n, engine) in rig.engines.iter().enumerate() {
        engine.set_behaviour(|behaviour| {
            behaviour.events = 10_000;
            behaviour.pause = Duration::from_millis(if n == 0 { 40 } else { 8 });
            behaviour.confidence = [("small".into(), 80)].into();
        });
    }
    let mut running = Vec::new();
    for n in 0..ENGINES * RUNNING {
        let (client, callers) = (client(&rig, &format!("running-{n}")), gateway.callers);
        running.push(tokio::spawn(async move { client.post_json(callers, "/chat/1", &json!({})).await }));
        let streams = || rig.engines.iter().map(|engine| engine.streams()).sum::<usize>();
        wait_until("the stream runs", async || streams() > n).await?;
    }
    wait_until("the slow server is found", async || gateway.log().contains("event=backend_slow backend=chat-0 "))
        .await?;
    rig.engines.iter().for_each(|engine| engine.set_behaviour(|behaviour| behaviour.events = 2));
    for n in 0..12 {
        client(&rig, &format!("new-{n}")).post_json(gateway.callers, "/chat/1", &json!({})).await?;
    }
    let to_slow = rig.engines[0].runs().iter().filter(|run| run.id.starts_with("new")).count();
    assert_eq!(to_slow, 0, "new requests at the slow server");
    assert!(!gateway.log().contains("event=version_bad"));
    Ok(())
}
