//! Tests of gateway processes with servers that shut down and say so in their answers, or that ask for a pause.

use std::time::Duration;

use eelgrasswell_testbed::{
    http::Reply,
    site::{Behaviour, FakeBackend, Rig, RigPlan, Script, ScriptedBackend, wait_until},
};
use eyre::{Result, ensure};
use futures::future::join_all;
use hyper::StatusCode;
use serde_json::{Value, json};
use test_case::test_case;
use tokio::time::{Instant, sleep};

async fn post(rig: &Rig, gateway: usize, path: &str, id: &str) -> Result<Reply> {
    let client = if path.starts_with("/chat") { rig.chat(id) } else { rig.customer("key-a").with("x-attempt-id", id) };
    client.post_json(rig.gateways[gateway].callers, path, &json!({})).await
}

/// Sends requests at `gateway` until one has arrived at `backend`.
async fn send_until_arrival(rig: &Rig, gateway: usize, path: &str, backend: &FakeBackend) -> Result<()> {
    let mut sent = 0;
    wait_until("a request arrives", async || {
        sent += 1;
        let _ = post(rig, gateway, path, &format!("until-{gateway}-{sent}")).await;
        !backend.arrivals().is_empty()
    })
    .await
}

/// The entry of a backend with another start time.
fn entry_of_start(backend: &FakeBackend, service: &str, born: u64) -> Value {
    let mut entry = backend.store_entry(service, "v1", "ready");
    entry["born"] = json!(born);
    entry
}

/// Guards against requests to a server that has said in an answer that it shuts down, while the store lists it as ready.
#[test_case("/book/1", |_| {}; "plain answer")]
#[test_case("/chat/1", |_| {}; "stream")]
#[test_case("/book/1", |b| b.fails = true; "error")]
#[test_case("/read/1", |b| b.refuses = true; "refusal")]
#[tokio::test]
async fn leaving_server_gets_no_more_requests(path: &str, change: fn(&mut Behaviour)) -> Result<()> {
    let rig = Rig::start(RigPlan::default()).await?;
    let service = if path.starts_with("/chat") { "chat" } else { "desk" };
    let backends = if service == "chat" { &rig.engines } else { &rig.desks };
    backends[0].set_behaviour(|behaviour| behaviour.leaving = true);
    backends[0].set_behaviour(change);
    send_until_arrival(&rig, 0, path, &backends[0]).await?;
    let before = backends[0].arrivals().len();
    for n in 0..30 {
        let mut entry = backends[0].store_entry(service, "v1", "ready");
        entry["sequence"] = json!(n + 2);
        rig.store.put("servers", &backends[0].id, entry);
        let reply = post(&rig, 0, path, &format!("after-{n}")).await?;
        ensure!(reply.status == StatusCode::OK, "{}", reply.text());
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(backends[0].arrivals().len(), before);
    assert!(rig.gateways[0].log().contains("backend_leaving"));
    // The next incarnation is used.
    backends[0].set_behaviour(|behaviour| *behaviour = Behaviour::default());
    rig.store.put("servers", &backends[0].id, entry_of_start(&backends[0], service, 1_800_000_000_000));
    let mut sent = 0;
    wait_until("the next incarnation gets requests", async || {
        sent += 1;
        let _ = post(&rig, 0, path, &format!("next-{sent}")).await;
        backends[0].arrivals().len() > before
    })
    .await
}

/// Guards against an interim response whose announcement is overlooked.
#[tokio::test]
async fn server_leaving_by_interim_response_gets_no_more_requests() -> Result<()> {
    let rig = Rig::start(RigPlan { engines: 1, desks: 1, ..RigPlan::default() }).await?;
    let leaving = ScriptedBackend::bind(|req| Script {
        runs: true,
        bytes: format!(
            "HTTP/1.1 103 Early Hints\r\nserver-leaving: 1\r\n\r\n\
             HTTP/1.1 200 OK\r\nx-response-seal: s\r\nx-attempt-id: {}\r\ncontent-length: 4\r\n\r\ndone",
            req.id
        )
        .into(),
        closes: false,
    })
    .await?;
    let mut entry = rig.desks[0].store_entry("desk", "v1", "ready");
    entry["address"] = json!(leaving.address.to_string());
    rig.store.put("servers", "leaving", entry);
    let mut sent = 0;
    wait_until("a request arrives", async || {
        sent += 1;
        let _ = post(&rig, 0, "/book/1", &format!("r{sent}")).await;
        leaving.runs() > 0
    })
    .await?;
    for n in 0..20 {
        post(&rig, 0, "/book/1", &format!("after-{n}")).await?;
    }
    assert_eq!(leaving.runs(), 1);
    Ok(())
}

/// Guards against gateways that go on sending to a server that has told another gateway that it shuts down, while the
/// store answers nobody.
#[tokio::test]
async fn leaving_server_is_known_to_all_gateways() -> Result<()> {
    let rig = Rig::start(RigPlan { gateways: 3, ..RigPlan::default() }).await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.leaving = true);
    rig.store.set_faults(|faults| faults.unresponsive = true);
    send_until_arrival(&rig, 0, "/book/1", &rig.desks[0]).await?;
    for gateway in &rig.gateways[1..] {
        wait_until("the gateway learns of it", async || gateway.log().contains("source=peer")).await?;
    }
    let before = rig.desks[0].arrivals().len();
    for n in 0..30 {
        let _ = post(&rig, n % 3, "/read/1", &format!("after-{n}")).await;
    }
    assert_eq!(rig.desks[0].arrivals().len(), before);
    Ok(())
}

/// Guards against a sound server that is held back because another one at its former address says that it leaves.
#[tokio::test]
async fn another_server_that_leaves_says_nothing_about_this_one() -> Result<()> {
    let rig = Rig::start(RigPlan { engines: 1, desks: 1, ..RigPlan::default() }).await?;
    rig.desks[0].set_behaviour(|behaviour| {
        behaviour.leaving = true;
        behaviour.replaced = true;
    });
    send_until_arrival(&rig, 0, "/book/1", &rig.desks[0]).await?;
    rig.desks[0].set_behaviour(|behaviour| *behaviour = Behaviour::default());
    rig.store.put("servers", "desk-0", rig.desks[0].store_entry("desk", "v1", "ready"));
    rig.store.put("servers", "touch", json!(null));
    wait_until("the server is used", async || {
        post(&rig, 0, "/book/1", "again").await.is_ok_and(|reply| reply.status == StatusCode::OK)
    })
    .await
}

/// Guards against requests that wait, or are sent in vain, while all servers of a service shut down.
#[tokio::test]
async fn all_servers_leaving_is_refused_at_once() -> Result<()> {
    let rig = Rig::start(RigPlan::default()).await?;
    rig.desks.iter().for_each(|desk| desk.set_behaviour(|behaviour| behaviour.leaving = true));
    for desk in &rig.desks {
        send_until_arrival(&rig, 0, "/book/1", desk).await?;
    }
    let started = Instant::now();
    let reply = post(&rig, 0, "/book/1", "refused").await?;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(started.elapsed() < Duration::from_millis(500), "refused after {:?}", started.elapsed());
    assert!(reply.header("retry-after").parse::<f64>()? > 0.0);
    assert!(rig.desks.iter().all(|desk| desk.runs().iter().all(|run| run.id != "refused")));
    Ok(())
}

/// Arrivals between half a second after a refusal and the end of the pause that it asked for. Only the first refusal of
/// each pause counts, as all later ones should not have been caused.
fn arrivals_in_pauses(backend: &FakeBackend, pause: Duration) -> usize {
    let arrivals = backend.arrivals();
    let in_pause =
        |refused: &Instant, at: &Instant| (*refused + Duration::from_millis(500)..*refused + pause).contains(at);
    arrivals.iter().filter(|at| arrivals.iter().any(|refused| in_pause(refused, at))).count()
}

/// Guards against requests to servers that have turned one away and asked for a pause (rule: at most two from half a second
/// after the refusal to the end of the pause), and against the loss of requests that others can serve.
#[test_case(1; "one always turns away")]
#[test_case(2; "half turn away")]
#[test_case(4; "all turn away")]
#[tokio::test]
async fn servers_that_ask_for_a_pause_get_it(refusing: usize) -> Result<()> {
    const PAUSE: Duration = Duration::from_millis(1_500);
    let rig = Rig::start(RigPlan { desks: 4, ..RigPlan::default() }).await?;
    for desk in &rig.desks[..refusing] {
        desk.set_behaviour(|behaviour| {
            behaviour.refuses = true;
            behaviour.retry_after = Some("1.5".into());
        });
    }
    let started = Instant::now();
    let mut served = 0;
    let mut sent = 0;
    while started.elapsed() < Duration::from_secs(4) {
        let ids: Vec<String> = (sent..sent + 8).map(|n| format!("r{n}")).collect();
        sent += ids.len();
        for reply in join_all(ids.iter().map(|id| post(&rig, 0, "/read/1", id))).await {
            served += usize::from(reply?.status == StatusCode::OK);
        }
        sleep(Duration::from_millis(40)).await;
    }
    for desk in &rig.desks[..refusing] {
        ensure!(!desk.arrivals().is_empty(), "no request was turned away");
        let count = arrivals_in_pauses(desk, PAUSE);
        assert!(count <= 2, "{count} of {} arrivals at {} came in its pauses", desk.arrivals().len(), desk.id);
    }
    if refusing < 4 {
        // Each refusal of a pause may cost one request its tries.
        assert!(served * 100 >= sent * 98, "{served} of {sent} requests were served");
    }
    Ok(())
}

/// Guards against requests that wait for their deadline while all servers pause, and against callers that are told to come
/// back earlier than a server may be asked, or all at the same moment.
#[tokio::test]
async fn all_servers_pausing_is_refused_at_once() -> Result<()> {
    let rig = Rig::start(RigPlan::default()).await?;
    for desk in &rig.desks {
        desk.set_behaviour(|behaviour| {
            behaviour.refuses = true;
            behaviour.retry_after = Some("5".into());
        });
        send_until_arrival(&rig, 0, "/book/1", desk).await?;
    }
    let arrivals = |rig: &Rig| rig.desks.iter().map(|desk| desk.arrivals().len()).sum::<usize>();
    let (before, started) = (arrivals(&rig), Instant::now());
    let ids: Vec<String> = (0..20).map(|n| format!("refused-{n}")).collect();
    let mut waits = Vec::new();
    for reply in join_all(ids.iter().map(|id| post(&rig, 0, "/book/1", id))).await {
        let reply = reply?;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        waits.push(reply.header("retry-after").parse::<f64>()?);
    }
    assert!(started.elapsed() < Duration::from_secs(1), "refused after {:?}", started.elapsed());
    assert_eq!(arrivals(&rig), before);
    waits.sort_by(f64::total_cmp);
    waits.dedup();
    assert!(waits.iter().all(|wait| (3.0..=7.0).contains(wait)), "{waits:?}");
    assert!(waits.len() > 10, "callers return together: {waits:?}");
    Ok(())
}

/// Guards against a server that is left alone because of a field that can't be read.
#[test_case("soon"; "text")]
#[test_case("-5"; "negative")]
#[test_case("1e999"; "too large")]
#[tokio::test]
async fn unreadable_pause_is_ignored(value: &str) -> Result<()> {
    let rig = Rig::start(RigPlan { engines: 1, desks: 1, ..RigPlan::default() }).await?;
    rig.desks[0].set_behaviour(|behaviour| {
        behaviour.refuses = true;
        behaviour.retry_after = Some(value.into());
    });
    send_until_arrival(&rig, 0, "/book/1", &rig.desks[0]).await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.refuses = false);
    assert_eq!(post(&rig, 0, "/book/1", "next").await?.status, StatusCode::OK);
    assert!(rig.gateways[0].log().contains("pause_ignored"));
    Ok(())
}

/// Guards against a server that leaves right after the store has cut off the waiting watches, as it may in calm, and gets
/// requests for longer than `drain_ms`, since the cut is taken for an outage (review/7, DRAIN).
#[tokio::test]
async fn server_removed_after_cut_watches_gets_no_requests() -> Result<()> {
    let rig = Rig::start(RigPlan::default()).await?;
    // Two cuts in a row, so that the second one follows an answer and not a complete watch.
    for _ in 0..2 {
        let before = rig.store.calls(0, "servers");
        rig.store.cut_watches();
        wait_until("the gateway calls again", async || rig.store.calls(0, "servers") >= before + 2).await?;
    }
    rig.store.delete("servers", &rig.desks[0].id);
    assert_no_late_arrivals(&rig).await
}

/// Guards against a server that was removed some seconds after an outage of the store and gets requests for longer than
/// `drain_ms`, since it is taken for one whose entry lapsed in the outage (review/4, DRAIN).
#[tokio::test]
async fn server_removed_after_outage_gets_no_requests() -> Result<()> {
    let rig = Rig::start(RigPlan::default()).await?;
    rig.store.set_faults(|faults| faults.unresponsive = true);
    wait_until("the outage is noticed", async || rig.gateways[0].log().contains("event=store_lost kind=servers"))
        .await?;
    rig.store.set_faults(|faults| faults.unresponsive = false);
    wait_until("the store is back", async || rig.gateways[0].log().contains("event=store_regained kind=servers"))
        .await?;
    sleep(Duration::from_millis(2_300)).await;
    rig.store.delete("servers", &rig.desks[0].id);
    assert_no_late_arrivals(&rig).await
}

/// Sends requests for `desk`, whose first server has just been removed, and checks that none reaches it later than
/// `drain_ms`.
async fn assert_no_late_arrivals(rig: &Rig) -> Result<()> {
    const DRAIN: Duration = Duration::from_millis(2_000);
    let removed = Instant::now();
    let mut sent = 0;
    while removed.elapsed() < DRAIN + Duration::from_millis(400) {
        let reply = post(rig, 0, "/book/1", &format!("r{sent}")).await?;
        ensure!(reply.status == StatusCode::OK, "{}", reply.text());
        sent += 1;
        sleep(Duration::from_millis(10)).await;
    }
    let late = rig.desks[0].arrivals().iter().filter(|at| **at > removed + DRAIN).count();
    assert_eq!(late, 0, "requests reached the removed server later than {DRAIN:?}");
    Ok(())
}
