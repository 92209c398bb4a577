//! Tests of gateway processes with more requests than the servers have slots. One gateway alone counts on a third of the
//! slots, since it knows no peers: 2 of the 8 slots of one server.

use std::time::Duration;

use eelgrasswell_testbed::{
    http::Reply,
    process::Signal,
    site::{Rig, RigPlan, config, wait_until},
};
use eyre::Result;
use futures::future::join_all;
use hyper::StatusCode;
use serde_json::json;
use tokio::task::JoinHandle;

/// Starts gateways with an `admission` section in their settings, and one server of the plain service. The routes have the
/// objective and the timeout `objective` and `timeout`, in milliseconds.
async fn start(gateways: usize, admission: &str, objective: u64, timeout: u64) -> Result<Rig> {
    let mut rig = Rig::start_unready(RigPlan { gateways, engines: 1, desks: 1, ..RigPlan::default() }).await?;
    let mut config = config(1);
    for route in config["routes"].as_array_mut().expect("the configuration has routes") {
        (route["target_latency_ms"], route["timeout_ms"]) = (json!(objective), json!(timeout));
    }
    rig.store.put("config", "main", config);
    for gateway in &mut rig.gateways {
        gateway.process.kill()?;
        let settings = std::fs::read_to_string(&gateway.settings)?;
        std::fs::write(&gateway.settings, format!("{settings}{admission}"))?;
        gateway.restart()?;
    }
    for gateway in &rig.gateways {
        wait_until("a gateway is ready", async || gateway.is_ready().await).await?;
    }
    Ok(rig)
}

fn book(rig: &Rig, gateway: usize, id: &str, deadline: u64) -> JoinHandle<Result<Reply>> {
    let client = rig.customer("key-a").with("x-attempt-id", id).with("x-deadline-ms", &deadline.to_string());
    let address = rig.gateways[gateway].callers;
    tokio::spawn(async move { client.post_json(address, "/book/1", &json!({})).await })
}

fn events(rig: &Rig, gateway: usize, event: &str) -> usize {
    rig.gateways[gateway].log().lines().filter(|line| line.contains(&format!("event={event} "))).count()
}

fn runs(rig: &Rig, id: &str) -> usize {
    rig.desks[0].runs().iter().filter(|run| run.id == id).count()
}

/// Guards against a burst that is refused, or piles up in the server's own queue, although it could wait and be served.
#[tokio::test]
async fn burst_waits_and_is_served() -> Result<()> {
    let rig = start(1, "admission: {max_wait_ms: 20000}\n", 20_000, 30_000).await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.delay = Duration::from_millis(100));
    let replies = join_all((0..12).map(|n| book(&rig, 0, &format!("r{n}"), 30_000))).await;
    for (n, reply) in replies.into_iter().enumerate() {
        assert_eq!(reply??.status, StatusCode::OK);
        assert_eq!(runs(&rig, &format!("r{n}")), 1);
    }
    assert!(events(&rig, 0, "request_waits") > 0);
    assert_eq!(events(&rig, 0, "request_waits"), events(&rig, 0, "request_admitted"));
    Ok(())
}

/// Guards against a request that waits in vain, a refusal of a request that runs, and callers that are told to come back
/// later than they can. A third of the time that is left is their limit.
#[tokio::test]
async fn late_request_is_refused_at_once() -> Result<()> {
    let rig = start(1, "admission: {}\n", 1_000, 9_000).await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.delay = Duration::from_millis(1_500));
    for round in 0..2 {
        let held = [book(&rig, 0, &format!("held-{round}a"), 9_000), book(&rig, 0, &format!("held-{round}b"), 9_000)];
        if round == 1 {
            wait_until("the slots are in use", async || rig.desks[0].runs().len() == 4).await?;
            let late = book(&rig, 0, "late", 9_000).await??;
            assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
            let wait: f64 = late.header("retry-after").parse()?;
            assert!(wait > 0.0 && wait <= 3.0, "{wait}");
            let hurried = book(&rig, 0, "hurried", 1_200).await??;
            assert_eq!(hurried.status, StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(hurried.header("retry-after"), "", "no time fits");
        }
        for reply in held {
            assert_eq!(reply.await??.status, StatusCode::OK);
        }
    }
    assert_eq!((runs(&rig, "late"), runs(&rig, "hurried"), events(&rig, 0, "request_waits")), (0, 0, 0));
    assert_eq!(events(&rig, 0, "admission_refused"), 2);
    Ok(())
}

/// Guards against slots that are lost with the callers that waited for them, and against running the abandoned request.
#[tokio::test]
async fn abandoned_wait_uses_no_slot() -> Result<()> {
    let rig = start(1, "admission: {max_wait_ms: 20000}\n", 20_000, 30_000).await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.delay = Duration::from_secs(3));
    let held = [book(&rig, 0, "held-a", 30_000), book(&rig, 0, "held-b", 30_000)];
    wait_until("the slots are in use", async || rig.desks[0].runs().len() == 2).await?;
    let abandoned = book(&rig, 0, "abandoned", 30_000);
    wait_until("a request waits", async || events(&rig, 0, "request_waits") == 1).await?;
    abandoned.abort();
    rig.desks[0].set_behaviour(|behaviour| behaviour.delay = Duration::from_millis(10));
    let others = join_all((0..4).map(|n| book(&rig, 0, &format!("r{n}"), 30_000))).await;
    for reply in join_all(held).await.into_iter().chain(others) {
        assert_eq!(reply??.status, StatusCode::OK);
    }
    assert_eq!(runs(&rig, "abandoned"), 0);
    Ok(())
}

/// Guards against streams that give their slot back when they begin.
#[tokio::test]
async fn stream_keeps_its_slot() -> Result<()> {
    let rig = start(1, "admission: {max_wait_ms: 20000}\n", 20_000, 30_000).await?;
    rig.engines[0].set_behaviour(|behaviour| {
        behaviour.confidence = [("small".into(), 80)].into();
        behaviour.pause = Duration::from_millis(600);
    });
    let stream = |id: &str| {
        let (client, address) = (rig.chat(id), rig.gateways[0].callers);
        tokio::spawn(async move { client.post_json(address, "/chat/1", &json!({})).await })
    };
    let mut streams = vec![stream("s0"), stream("s1")];
    wait_until("two streams are open", async || rig.engines[0].streams() == 2).await?;
    streams.push(stream("s2"));
    wait_until("the third one waits", async || events(&rig, 0, "request_waits") == 1).await?;
    for reply in join_all(streams).await {
        assert_eq!(reply??.status, StatusCode::OK);
    }
    assert_eq!((events(&rig, 0, "request_admitted"), rig.engines[0].runs().len()), (1, 3));
    Ok(())
}

/// Guards against capacity that stays lost after the gateway that held all of it was killed.
#[tokio::test]
async fn room_of_killed_gateway_returns() -> Result<()> {
    let rig = start(3, "admission: {max_wait_ms: 30000}\n", 40_000, 50_000).await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.unresponsive = true);
    // One after the other, because the first gateway counts on all slots only once it knows that the others use none.
    let mut held = Vec::new();
    for n in 0..8 {
        held.push(book(&rig, 0, &format!("held-{n}"), 50_000));
        wait_until("the request is sent", async || rig.desks[0].runs().len() > n).await?;
    }
    // Reports spread within some intervals of 400 ms; before, the second gateway counts on more than its share.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for n in 8.. {
        held.push(book(&rig, 1, &format!("held-{n}"), 50_000));
        let is_decided = async || rig.desks[0].runs().len() > n || events(&rig, 1, "request_waits") > 0;
        wait_until("the request is sent or waits", is_decided).await?;
        if events(&rig, 1, "request_waits") > 0 {
            break;
        }
    }
    rig.desks[0].set_behaviour(|behaviour| behaviour.unresponsive = false);
    let waiting = held.pop().expect("a request waits");
    assert!(!waiting.is_finished());
    rig.gateways[0].signal(Signal::Kill)?;
    assert_eq!(waiting.await??.status, StatusCode::OK);
    assert_eq!(events(&rig, 1, "admission_refused"), 0);
    held.iter().for_each(JoinHandle::abort);
    Ok(())
}

/// Guards against holding requests back on deployments that have not asked for it.
#[tokio::test]
async fn without_section_all_are_sent() -> Result<()> {
    let rig = start(1, "", 40_000, 50_000).await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.unresponsive = true);
    let sent: Vec<_> = (0..30).map(|n| book(&rig, 0, &format!("r{n}"), 50_000)).collect();
    wait_until("all requests are sent", async || rig.desks[0].runs().len() == 30).await?;
    assert_eq!(events(&rig, 0, "request_waits"), 0);
    sent.iter().for_each(JoinHandle::abort);
    Ok(())
}
