//! Tests of gateway processes against a fake store and fake backend servers.

use std::time::Duration;

use eelgrasswell_testbed::{
    fault_link::FaultLink,
    http::{HttpClient, Reply},
    process::Signal,
    site::{Behaviour, FakeBackend, Rig, RigPlan, config, event, wait_until},
};
use eyre::{Result, ensure};
use hyper::StatusCode;
use serde_json::json;
use test_case::test_case;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep},
};

fn event_text(range: std::ops::RangeInclusive<usize>, model: &str) -> String {
    range.map(|number| event(number, model)).collect()
}

fn set_confidence(backend: &FakeBackend, small: u8) {
    backend.set_behaviour(|behaviour| behaviour.confidence = [("small".into(), small), ("large".into(), 90)].into());
}

async fn post_stream(rig: &Rig, id: &str) -> Result<Reply> {
    rig.chat(id).post_json(rig.gateways[0].callers, "/chat/1", &json!({"ask": id})).await
}

async fn post_booking(rig: &Rig, id: &str) -> Result<Reply> {
    rig.customer("key-a").with("x-attempt-id", id).post_json(rig.gateways[0].callers, "/book/1", &json!({})).await
}

async fn get_safe(rig: &Rig, gateway: usize, key: &str) -> Result<Reply> {
    rig.customer(key).with("x-attempt-id", "read").get(rig.gateways[gateway].callers, "/read/1").await
}

fn count_runs(backends: &[FakeBackend], id: &str) -> usize {
    backends.iter().flat_map(FakeBackend::runs).filter(|run| run.id == id).count()
}

/// Guards against the use of the large model although the small one rates its answer high, and against the small
/// model's answer although it rates that low.
#[test_case(80, "small", 1; "small model is confident")]
#[test_case(10, "large", 2; "small model is not confident")]
#[tokio::test]
async fn stream_model(confidence: u8, model: &str, sends: usize) -> Result<()> {
    let rig = Rig::start(RigPlan::default()).await?;
    rig.engines.iter().for_each(|engine| set_confidence(engine, confidence));
    let reply = post_stream(&rig, "s1").await?;
    assert_eq!(reply.text(), event_text(1..=5, model));
    assert_eq!(count_runs(&rig.engines, "s1"), sends);
    assert!(reply.header("x-response-seal").starts_with("chat-"));
    Ok(())
}

/// Guards against forwarding header fields that only the router may set, forwarding the caller's key, and changing the
/// rest of the request.
#[tokio::test]
async fn request_at_backend() -> Result<()> {
    let rig = Rig::start(RigPlan { desks: 1, ..RigPlan::default() }).await?;
    let client = rig
        .customer("key-b")
        .with("x-attempt-id", "b1")
        .with("x-deadline-ms", "2000")
        .with("x-tenant", "customer-a")
        .with("x-hold", "h1")
        .with("x-pin-ms", "100")
        .with("x-kv-backup", "10.0.0.1:1")
        .with("kv-from", "10.0.0.1:1/h")
        .with("x-request-urgency", "9")
        .with("x-expect-version", "9")
        .with("x-own", "kept");
    let reply = client.post_json(rig.gateways[0].callers, "/book/a%20b?c=d&e", &json!({"lamp": 1})).await?;
    assert_eq!((reply.status, reply.text().as_str()), (StatusCode::OK, "done by desk-0"));
    let run = &rig.desks[0].runs()[0];
    assert_eq!(run.path, "/book/a%20b?c=d&e");
    assert_eq!(run.body, json!({"lamp": 1}).to_string());
    assert_eq!(run.header("x-tenant"), "customer-b");
    assert_eq!(run.header("x-own"), "kept");
    assert_eq!(run.header("host"), "site.example");
    let remaining_ms: u64 = run.header("x-deadline-ms").parse()?;
    assert!((1_000..=2_000).contains(&remaining_ms), "{remaining_ms}");
    assert_eq!(run.header("x-request-urgency"), "0", "not the priority of the route");
    for name in ["authorization", "x-hold", "x-pin-ms", "x-kv-backup", "kv-from", "x-expect-version"] {
        assert_eq!(run.header(name), "", "{name} reached the backend server");
    }
    Ok(())
}

/// Guards against an unsafe request that runs twice, and against one that fails although it was not run and another
/// server could run it.
#[test_case(|b| b.refuses = true, StatusCode::OK, 1; "refused by another server first")]
#[test_case(|b| b.replaced = true, StatusCode::OK, 1; "another server at the address")]
#[test_case(|b| b.drops_response = true, StatusCode::BAD_GATEWAY, 1; "answer lost")]
#[test_case(|b| b.fails = true, StatusCode::INTERNAL_SERVER_ERROR, 1; "failed")]
#[test_case(|b| b.unsealed = true, StatusCode::BAD_GATEWAY, 1; "not sealed")]
#[tokio::test]
async fn unsafe_request_runs_once(fault: fn(&mut Behaviour), status: StatusCode, expected: usize) -> Result<()> {
    let rig = Rig::start(RigPlan { desks: 2, ..RigPlan::default() }).await?;
    rig.desks[0].set_behaviour(fault);
    // The choice between equal servers is random, so some of the requests go to the faulty server.
    let mut fault_hit = false;
    for n in 0..12 {
        let id = format!("u{n}");
        let reply = post_booking(&rig, &id).await?;
        let at_fault = status != StatusCode::OK && reply.status != StatusCode::OK;
        fault_hit |= at_fault || status == StatusCode::OK;
        ensure!(reply.status == StatusCode::OK || reply.status == status, "{id}: {} {}", reply.status, reply.text());
        assert_eq!(count_runs(&rig.desks, &id), expected, "{id}");
    }
    assert!(fault_hit, "no request went to the faulty server");
    Ok(())
}

/// Guards against a safe request that fails although another server could answer it after the first one failed.
#[test_case(|b| b.drops_response = true; "answer lost")]
#[test_case(|b| b.fails = true; "failed")]
#[test_case(|b| b.unresponsive = true; "unresponsive")]
#[tokio::test]
async fn safe_request_uses_another_server(fault: fn(&mut Behaviour)) -> Result<()> {
    let rig = Rig::start(RigPlan::default()).await?;
    rig.desks[0].set_behaviour(fault);
    for _ in 0..4 {
        let reply = get_safe(&rig, 0, "key-a").await?;
        assert_eq!((reply.status, reply.text().as_str()), (StatusCode::OK, "done by desk-1"));
    }
    Ok(())
}

/// Guards against missing, duplicate or mixed parts of a stream whose server breaks off inside an event.
#[tokio::test]
async fn stream_resumes_at_another_server() -> Result<()> {
    let rig = Rig::start(RigPlan::default()).await?;
    rig.engines.iter().for_each(|engine| set_confidence(engine, 80));
    rig.engines[0].set_behaviour(|behaviour| behaviour.cut_in_event = Some(3));
    let ids: Vec<String> = (0..8).map(|n| format!("s{n}")).collect();
    let replies = futures::future::try_join_all(ids.iter().map(|id| post_stream(&rig, id))).await?;
    let mut resumed = 0;
    for (id, reply) in ids.iter().zip(replies) {
        assert_eq!(reply.text(), event_text(1..=5, "small"), "{id}");
        resumed += usize::from(count_runs(&rig.engines, id) == 2);
    }
    assert!(resumed > 0, "no stream went to the faulty server");
    let again = rig.engines[1].runs();
    let resumption = again.iter().find(|run| !run.header("last-event-id").is_empty()).expect("a stream was resumed");
    assert_eq!(resumption.header("last-event-id"), "2");
    Ok(())
}

/// Guards against final refusals while the gateway has no configuration yet, and against requests that are served
/// without a valid key.
#[tokio::test]
async fn refused_by_configuration() -> Result<()> {
    let rig = Rig::start_unready(RigPlan::default()).await?;
    let gateway = &rig.gateways[0];
    wait_until("the gateway listens", async || HttpClient::without_headers().get(gateway.callers, "/x").await.is_ok())
        .await?;
    let early = get_safe(&rig, 0, "key-a").await?;
    assert_eq!(early.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!gateway.is_ready().await);
    rig.store.put("config", "main", config(1));
    wait_until("the gateway is ready", async || gateway.is_ready().await).await?;
    assert_eq!(get_safe(&rig, 0, "key-a").await?.status, StatusCode::OK);
    assert_eq!(get_safe(&rig, 0, "key-z").await?.status, StatusCode::UNAUTHORIZED);
    let unknown = rig.customer("key-a").get(gateway.callers, "/other/1").await?;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    let large = rig.customer("key-a").call(hyper::Method::POST, gateway.callers, "/book/1", vec![0; 200_000]).await?;
    assert_eq!(large.status, StatusCode::PAYLOAD_TOO_LARGE);
    Ok(())
}

/// Guards against refusing requests in the moment after a start, which costs callers one of their few retries.
#[tokio::test]
async fn request_waits_for_first_configuration() -> Result<()> {
    let rig = Rig::start_unready(RigPlan::default()).await?;
    wait_until("the gateway listens", async || {
        HttpClient::without_headers().get(rig.gateways[0].callers, "/x").await.is_ok()
    })
    .await?;
    let put = async {
        sleep(Duration::from_millis(100)).await;
        rig.store.put("config", "main", config(1));
    };
    let (reply, ()) = futures::join!(get_safe(&rig, 0, "key-a"), put);
    assert_eq!(reply?.status, StatusCode::OK);
    Ok(())
}

/// Guards against a malformed entry of another writer that stops the other entries from being used.
#[test_case(json!("not an object"); "not an object")]
#[test_case(json!({"service": "desk"}); "fields missing")]
#[test_case(json!({"service": "desk", "address": "nowhere", "zone": "north", "version": "v1", "slots": 8,
    "state": "ready", "cold_remaining_ms": 0, "sequence": 1}); "invalid address")]
#[test_case(json!({"service": "desk", "address": "127.0.0.1:1", "zone": "north", "version": "v1", "slots": 8,
    "state": "resting", "cold_remaining_ms": 0, "sequence": 1}); "unknown state")]
#[tokio::test]
async fn malformed_entry_is_skipped(spec: serde_json::Value) -> Result<()> {
    let rig = Rig::start(RigPlan { desks: 1, ..RigPlan::default() }).await?;
    rig.store.put("servers", "a-bad-one", spec);
    let second = FakeBackend::bind("desk-9").await?;
    rig.store.put("servers", "desk-9", second.store_entry("desk", "v1", "ready"));
    wait_until("the server after the bad entry is used", async || {
        let reply = get_safe(&rig, 0, "key-a").await;
        reply.is_ok_and(|reply| reply.status == StatusCode::OK) && !second.runs().is_empty()
    })
    .await
}

/// Guards against a key that still works after its revocation: at a gateway that reads the new configuration, and at
/// one that can't because the store is unresponsive.
#[tokio::test]
async fn withdrawn_key() -> Result<()> {
    let rig = Rig::start(RigPlan::default()).await?;
    let mut without_customer_a = config(2);
    without_customer_a["tenants"] = json!([{"name": "customer-b", "api_keys": ["key-b"]}]);
    rig.store.put("config", "main", without_customer_a);
    wait_until("the key is refused", async || {
        get_safe(&rig, 0, "key-a").await.is_ok_and(|reply| reply.status == StatusCode::UNAUTHORIZED)
    })
    .await?;
    rig.store.set_faults(|faults| faults.unresponsive = true);
    // The gateway may hold a request for a moment before it refuses it, so the test takes the times at which the
    // requests that ran were sent.
    let unresponsive_at = Instant::now();
    let mut last_served = unresponsive_at;
    wait_until("keyed requests are refused", async || {
        let sent = Instant::now();
        let Ok(reply) = get_safe(&rig, 0, "key-b").await else { return false };
        if reply.status == StatusCode::OK {
            last_served = sent;
        }
        reply.status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await?;
    let served_for = last_served - unresponsive_at;
    assert!(served_for < Duration::from_millis(5_000), "served {served_for:?} after the store became unresponsive");
    rig.store.set_faults(|faults| faults.unresponsive = false);
    wait_until("it is served again", async || {
        get_safe(&rig, 0, "key-b").await.is_ok_and(|reply| reply.status == StatusCode::OK)
    })
    .await
}

/// Guards against a key that still works after its revocation at a gateway that was frozen in the meantime. By a clock
/// that stands still during the freeze, the gateway's last confirmation of the configuration would look recent.
#[tokio::test]
async fn withdrawn_key_after_freeze() -> Result<()> {
    let rig = Rig::start(RigPlan::default()).await?;
    assert_eq!(get_safe(&rig, 0, "key-a").await?.status, StatusCode::OK);
    rig.gateways[0].signal(Signal::Stop)?;
    let mut without_customer_a = config(2);
    without_customer_a["tenants"] = json!([{"name": "customer-b", "api_keys": ["key-b"]}]);
    rig.store.put("config", "main", without_customer_a);
    // The request waits in the kernel until the gateway continues.
    let early = rig.customer("key-a").with("x-attempt-id", "early");
    let callers = rig.gateways[0].callers;
    let waiting = tokio::spawn(async move {
        sleep(Duration::from_millis(5_200)).await;
        early.get(callers, "/read/1").await
    });
    sleep(Duration::from_millis(5_400)).await;
    rig.gateways[0].signal(Signal::Continue)?;
    let reply = waiting.await??;
    assert!(reply.status != StatusCode::OK, "a revoked key was served after the freeze");
    assert_eq!(count_runs(&rig.desks, "early"), 0);
    wait_until("the other key is served", async || {
        get_safe(&rig, 0, "key-b").await.is_ok_and(|reply| reply.status == StatusCode::OK)
    })
    .await
}

/// Guards against the reuse of idle connections that have become unresponsive while new ones work. A safe request must
/// not be lost on one, and an unsafe request must not run twice.
#[tokio::test]
async fn unresponsive_connections_to_a_server() -> Result<()> {
    let rig = Rig::start(RigPlan { desks: 1, ..RigPlan::default() }).await?;
    let listen = "127.0.0.1:0".parse()?;
    let link = FaultLink::open(listen, rig.desks[0].address()).await?;
    let mut entry = rig.desks[0].store_entry("desk", "v1", "ready");
    entry["address"] = json!(link.address().to_string());
    rig.store.put("servers", "desk-0", entry);
    wait_until("requests go through the link", async || {
        get_safe(&rig, 0, "key-a").await.is_ok_and(|reply| reply.status == StatusCode::OK)
            && link.traffic().request_bytes > 0
    })
    .await?;
    link.blackhole_open_connections();
    let started = Instant::now();
    let reply = rig
        .customer("key-a")
        .with("x-attempt-id", "safe")
        .with("x-deadline-ms", "4000")
        .get(rig.gateways[0].callers, "/read/1")
        .await?;
    assert_eq!(reply.status, StatusCode::OK, "after {:?}", started.elapsed());
    link.blackhole_open_connections();
    let reply = post_booking(&rig, "booking").await?;
    let sent = count_runs(&rig.desks, "booking");
    match reply.status {
        StatusCode::OK => assert_eq!(sent, 1),
        status => assert!(
            matches!(status, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) && sent <= 1,
            "{status} after {sent} runs"
        ),
    }
    Ok(())
}

/// Guards against an older configuration that replaces a newer one.
#[tokio::test]
async fn older_configuration_is_not_adopted() -> Result<()> {
    let rig = Rig::start(RigPlan::default()).await?;
    let mut newer = config(5);
    newer["tenants"] = json!([{"name": "customer-b", "api_keys": ["key-b"]}]);
    rig.store.put("config", "main", newer);
    let refused = async || get_safe(&rig, 0, "key-a").await.is_ok_and(|reply| reply.status == StatusCode::UNAUTHORIZED);
    wait_until("the key is refused", refused).await?;
    rig.store.put("config", "main", config(4));
    rig.store.put("servers", "marker", rig.desks[0].store_entry("desk", "v1", "draining"));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(get_safe(&rig, 0, "key-a").await?.status, StatusCode::UNAUTHORIZED);
    Ok(())
}

/// Guards against new requests to a server that is draining, deleted, or in an evacuated failure domain.
#[test_case(|rig: &Rig| {
    rig.store.put("servers", "desk-0", rig.desks[0].store_entry("desk", "v1", "draining"));
}; "draining")]
#[test_case(|rig: &Rig| rig.store.delete("servers", "desk-0"); "deleted")]
#[test_case(|rig: &Rig| {
    let mut entry = rig.desks[0].store_entry("desk", "v1", "ready");
    entry["zone"] = json!("south");
    rig.store.put("servers", "desk-0", entry);
    rig.store.put("evacuations", "south", json!({}));
}; "evacuated")]
#[tokio::test]
async fn leaving_server_gets_no_requests(leave: fn(&Rig)) -> Result<()> {
    let rig = Rig::start(RigPlan::default()).await?;
    leave(&rig);
    sleep(Duration::from_millis(800)).await;
    let before = rig.desks[0].runs().len();
    for _ in 0..20 {
        assert_eq!(get_safe(&rig, 0, "key-a").await?.status, StatusCode::OK);
    }
    assert_eq!(rig.desks[0].runs().len(), before);
    Ok(())
}

/// Guards against a watch that never continues after the store has dropped the history since its revision.
#[tokio::test]
async fn history_gone() -> Result<()> {
    let rig = Rig::start(RigPlan { desks: 1, ..RigPlan::default() }).await?;
    rig.store.set_faults(|faults| faults.down = true);
    sleep(Duration::from_millis(300)).await;
    rig.store.put("servers", "desk-0", rig.desks[0].store_entry("desk", "v1", "draining"));
    rig.store.drop_history();
    rig.store.set_faults(|faults| faults.down = false);
    wait_until("the change is seen", async || {
        get_safe(&rig, 0, "key-a").await.is_ok_and(|reply| reply.status == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await
}

/// Guards against a graceful shutdown that aborts a request, refuses new callers at once, or never ends.
#[tokio::test]
async fn graceful_shutdown() -> Result<()> {
    let mut rig = Rig::start(RigPlan { desks: 1, ..RigPlan::default() }).await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.delay = Duration::from_millis(1_500));
    let client = rig.customer("key-a").with("x-attempt-id", "slow");
    let address = rig.gateways[0].callers;
    let slow = tokio::spawn(async move { client.post_json(address, "/book/1", &json!({})).await });
    wait_until("the request runs", async || count_runs(&rig.desks, "slow") == 1).await?;
    rig.gateways[0].signal(Signal::Term)?;
    wait_until("the gateway is not ready", async || !rig.gateways[0].is_ready().await).await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.delay = Duration::from_millis(1));
    let late = post_booking(&rig, "late").await?;
    assert_eq!(late.status, StatusCode::OK);
    assert_eq!(late.header("connection"), "close");
    assert_eq!(slow.await??.status, StatusCode::OK);
    let status = tokio::time::timeout(Duration::from_secs(8), rig.gateways[0].process.wait()).await??;
    assert!(status.success(), "{status}");
    Ok(())
}

/// Guards against a request that comes late in the grace period, is passed on, and is cut without an answer at its end
/// (issue 33, second report).
#[tokio::test]
async fn late_request_in_shutdown_is_answered_or_not_passed_on() -> Result<()> {
    let rig = Rig::start(RigPlan { desks: 1, ..RigPlan::default() }).await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.delay = Duration::from_millis(2_400));
    rig.gateways[0].signal(Signal::Term)?;
    let stopped = Instant::now();
    let requests = (0..25).map(|n| {
        let client = rig.customer("key-a").with("x-attempt-id", &format!("late-{n}"));
        let callers = rig.gateways[0].callers;
        async move {
            tokio::time::sleep_until(stopped + Duration::from_millis(100 * n)).await;
            client.post_json(callers, "/book/1", &json!({})).await.is_ok()
        }
    });
    let answered = futures::future::join_all(requests).await;
    for (n, is_answered) in answered.into_iter().enumerate() {
        let is_passed_on = count_runs(&rig.desks, &format!("late-{n}")) > 0;
        ensure!(is_answered || !is_passed_on, "late-{n} was passed on and got no answer");
    }
    Ok(())
}

/// Guards against a reload signal that ends the process, and against invalid settings that replace valid ones.
#[tokio::test]
async fn reload_settings() -> Result<()> {
    let mut rig = Rig::start(RigPlan::default()).await?;
    let path = rig.gateways[0].settings.clone();
    let good = std::fs::read_to_string(&path)?;
    std::fs::write(&path, good.replace("session_s: 1", "session_s: 2"))?;
    rig.gateways[0].signal(Signal::HangUp)?;
    wait_until("the settings are read", async || rig.gateways[0].log().contains("settings_reloaded")).await?;
    std::fs::write(&path, "nonsense: true\n")?;
    rig.gateways[0].signal(Signal::HangUp)?;
    wait_until("the invalid settings are rejected", async || rig.gateways[0].log().contains("settings_kept")).await?;
    assert!(rig.gateways[0].process.exit_status().is_none());
    assert_eq!(get_safe(&rig, 0, "key-a").await?.status, StatusCode::OK);
    Ok(())
}

/// Guards against the rollback of a good version because its servers crash for a while, so that answers are lost.
#[tokio::test]
async fn rollout_survives_lost_answers() -> Result<()> {
    let rig = Rig::start(RigPlan { gateways: 2, engines: 2, ..RigPlan::default() }).await?;
    rig.engines.iter().for_each(|engine| set_confidence(engine, 80));
    let mut new = Vec::new();
    for n in 0..4 {
        let id = format!("chat-new-{n}");
        let backend = FakeBackend::bind(&id).await?;
        set_confidence(&backend, 80);
        backend.set_behaviour(|behaviour| behaviour.drops_response = true);
        rig.store.put("servers", &id, backend.store_entry("chat", "v2", "ready"));
        new.push(backend);
    }
    rig.store.put("rollouts", "chat", json!({"service": "chat", "target": "v2", "duration_s": 8}));
    let client = rig.chat("r").with("x-deadline-ms", "2000");
    let started = Instant::now();
    let mut sent = 0;
    while rig.store.status("rollouts", "chat")["state"] != "completed" {
        ensure!(rig.store.status("rollouts", "chat")["state"] != "rolled_back", "a good version was rolled back");
        ensure!(started.elapsed() < Duration::from_secs(8), "not completed in time");
        if started.elapsed() > Duration::from_millis(3_500) {
            new.iter().for_each(|backend| backend.set_behaviour(|behaviour| behaviour.drops_response = false));
        }
        sent += 1;
        let callers = rig.gateways[sent % 2].callers;
        client.with("session", &format!("session-{sent}")).post_json(callers, "/chat/1", &json!({})).await?;
    }
    Ok(())
}

/// Guards against a rollout of a good version that is not completed, one of a bad version that is not rolled back, and
/// requests to the wrong version after the rollout has ended.
#[test_case(false, "completed"; "good")]
#[test_case(true, "rolled_back"; "bad")]
#[tokio::test]
async fn rollout(bad: bool, state: &str) -> Result<()> {
    let rig = Rig::start(RigPlan { gateways: 2, engines: 2, ..RigPlan::default() }).await?;
    let new = FakeBackend::bind("chat-new").await?;
    new.set_behaviour(|behaviour| {
        behaviour.fails = bad;
        behaviour.confidence = [("small".into(), 80)].into();
    });
    rig.engines.iter().for_each(|engine| set_confidence(engine, 80));
    rig.store.put("servers", "chat-new", new.store_entry("chat", "v2", "ready"));
    rig.store.put("rollouts", "chat", json!({"service": "chat", "target": "v2", "duration_s": 8}));
    let client = rig.chat("r").with("x-deadline-ms", "2000");
    let started = Instant::now();
    let mut sent = 0;
    while rig.store.status("rollouts", "chat")["state"] != state {
        ensure!(started.elapsed() < Duration::from_secs(8), "no {state} in time");
        sent += 1;
        let callers = rig.gateways[sent % 2].callers;
        client.with("session", &format!("session-{sent}")).post_json(callers, "/chat/1", &json!({})).await?;
    }
    assert_eq!(rig.store.status("rollouts", "chat")["target"], "v2");
    sleep(Duration::from_millis(900)).await;
    let before = (new.runs().len(), rig.engines.iter().map(|engine| engine.runs().len()).sum::<usize>());
    for n in 0..20 {
        client
            .with("session", &format!("after-{n}"))
            .post_json(rig.gateways[n % 2].callers, "/chat/1", &json!({}))
            .await?;
    }
    let after = (new.runs().len(), rig.engines.iter().map(|engine| engine.runs().len()).sum::<usize>());
    assert_eq!(if bad { after.0 - before.0 } else { after.1 - before.1 }, 0);
    Ok(())
}

/// Guards against calls to the store that grow with the number of gateways.
#[tokio::test]
async fn few_gateways_watch_the_store() -> Result<()> {
    let rig = Rig::start(RigPlan { gateways: 5, engines: 1, desks: 1, ..RigPlan::default() }).await?;
    sleep(Duration::from_millis(2_500)).await;
    let calls = || (0..5).map(|gateway| rig.store.calls(gateway, "config")).collect::<Vec<_>>();
    let before = calls();
    sleep(Duration::from_millis(3_000)).await;
    let after = calls();
    let calling = (0..5).filter(|&gateway| after[gateway] > before[gateway] + 1).count();
    assert_eq!(calling, 2, "{before:?} {after:?}");
    // All gateways learn of a change that the watchers see.
    let mut without_customer_a = config(2);
    without_customer_a["tenants"] = json!([{"name": "customer-b", "api_keys": ["key-b"]}]);
    rig.store.put("config", "main", without_customer_a);
    sleep(Duration::from_millis(1_000)).await;
    for gateway in 0..5 {
        assert_eq!(get_safe(&rig, gateway, "key-a").await?.status, StatusCode::UNAUTHORIZED, "gateway {gateway}");
    }
    Ok(())
}

/// Guards against load on an unavailable store by calls of each gateway for each kind of object.
#[tokio::test]
async fn unavailable_store_gets_one_call_at_a_time() -> Result<()> {
    let rig = Rig::start(RigPlan { gateways: 3, engines: 1, desks: 1, ..RigPlan::default() }).await?;
    sleep(Duration::from_millis(2_500)).await;
    rig.store.set_faults(|faults| faults.down = true);
    sleep(Duration::from_millis(1_000)).await;
    let calls = |kind| (0..3).map(|gateway| rig.store.calls(gateway, kind)).sum::<u64>();
    let others = || ["servers", "rollouts", "evacuations"].map(calls).iter().sum::<u64>();
    let (config_before, others_before) = (calls("config"), others());
    sleep(Duration::from_millis(3_000)).await;
    assert!(calls("config") > config_before, "no gateway checks whether the store is available again");
    // One call of each kind may have been due when the first one for the configuration failed.
    assert!(others() - others_before <= 9, "{} other calls", others() - others_before);
    rig.store.set_faults(|faults| faults.down = false);
    rig.store.delete("servers", "desk-0");
    wait_until("all gateways see the change", async || {
        let mut updated = 0;
        for gateway in 0..3 {
            let status = get_safe(&rig, gateway, "key-a").await.map(|reply| reply.status);
            updated += usize::from(status.is_ok_and(|status| status == StatusCode::SERVICE_UNAVAILABLE));
        }
        updated == 3
    })
    .await
}

/// Guards against gateways that get no updates while the watchers that they follow can't reach the store.
#[tokio::test]
async fn followers_call_the_store_when_watchers_are_cut_off() -> Result<()> {
    let rig = Rig::start(RigPlan { gateways: 4, engines: 1, desks: 1, ..RigPlan::default() }).await?;
    sleep(Duration::from_millis(2_500)).await;
    let before: Vec<u64> = (0..4).map(|gateway| rig.store.calls(gateway, "config")).collect();
    sleep(Duration::from_millis(2_000)).await;
    let watching: Vec<usize> =
        (0..4).filter(|&gateway| rig.store.calls(gateway, "config") > before[gateway] + 1).collect();
    assert_eq!(watching.len(), 2, "{watching:?}");
    rig.store.set_faults(|faults| faults.unresponsive_to.clone_from(&watching));
    let mut without_customer_a = config(2);
    without_customer_a["tenants"] = json!([{"name": "customer-b", "api_keys": ["key-b"]}]);
    rig.store.put("config", "main", without_customer_a);
    sleep(Duration::from_millis(2_000)).await;
    for gateway in (0..4).filter(|gateway| !watching.contains(gateway)) {
        assert_eq!(get_safe(&rig, gateway, "key-a").await?.status, StatusCode::UNAUTHORIZED, "gateway {gateway}");
    }
    // The watchers get the change from the other gateways and keep serving.
    for gateway in watching {
        wait_until("a gateway that can't reach the store serves", async || {
            get_safe(&rig, gateway, "key-b").await.is_ok_and(|reply| reply.status == StatusCode::OK)
                && get_safe(&rig, gateway, "key-a").await.is_ok_and(|reply| reply.status == StatusCode::UNAUTHORIZED)
        })
        .await?;
    }
    Ok(())
}

/// Guards against a gateway that the store rejects, and that gets no configuration because the gateways that it follows
/// are rejected as well (issue 20, hypothesis 3).
#[test_case(0; "first reaches the store")]
#[test_case(1; "second reaches the store")]
#[test_case(2; "third reaches the store")]
#[test_case(3; "fourth reaches the store")]
#[test_case(7; "last reaches the store")]
#[tokio::test]
async fn one_gateway_reaches_the_store(connected: usize) -> Result<()> {
    const GATEWAYS: usize = 8;
    let rig = Rig::start(RigPlan { gateways: GATEWAYS, engines: 1, desks: 1, ..RigPlan::default() }).await?;
    sleep(Duration::from_millis(2_500)).await;
    rig.store
        .set_faults(|faults| faults.unresponsive_to = (0..GATEWAYS).filter(|gateway| *gateway != connected).collect());
    let mut without_customer_a = config(2);
    without_customer_a["tenants"] = json!([{"name": "customer-b", "api_keys": ["key-b"]}]);
    rig.store.put("config", "main", without_customer_a);
    for gateway in 0..GATEWAYS {
        wait_until("the gateway serves by the new configuration", async || {
            get_safe(&rig, gateway, "key-b").await.is_ok_and(|reply| reply.status == StatusCode::OK)
                && get_safe(&rig, gateway, "key-a").await.is_ok_and(|reply| reply.status == StatusCode::UNAUTHORIZED)
        })
        .await?;
    }
    Ok(())
}

/// Guards against a request that still runs at a backend server after its caller has disconnected.
#[tokio::test]
async fn caller_disconnects() -> Result<()> {
    let rig = Rig::start(RigPlan { desks: 1, ..RigPlan::default() }).await?;
    rig.engines.iter().for_each(|engine| {
        engine.set_behaviour(|behaviour| {
            behaviour.events = 10_000;
            behaviour.confidence = [("small".into(), 80)].into();
        });
    });
    let client = rig.chat("leaver");
    let address = rig.gateways[0].callers;
    let request = tokio::spawn(async move { client.post_json(address, "/chat/1", &json!({})).await });
    wait_until("the request runs", async || count_runs(&rig.engines, "leaver") == 1).await?;
    request.abort();
    wait_until("the backend server ends the stream", async || rig.engines.iter().all(|engine| engine.streams() == 0))
        .await
}

/// Guards against callers that do not read their responses and thereby fill the memory of the gateway, or delay other
/// callers.
#[tokio::test]
async fn slow_readers() -> Result<()> {
    const STALLED: usize = 200;
    /// Memory that a gateway may use on the smallest host.
    const MAX_MEMORY_MB: f64 = 88.0;
    let rig = Rig::start(RigPlan { engines: 1, desks: 1, ..RigPlan::default() }).await?;
    rig.engines[0].set_behaviour(|behaviour| {
        behaviour.events = 20_000;
        behaviour.pause = Duration::ZERO;
        behaviour.confidence = [("small".into(), 80)].into();
    });
    let mut stalled = Vec::new();
    for n in 0..STALLED {
        let mut caller = TcpStream::connect(rig.gateways[0].callers).await?;
        let head = format!(
            "POST /chat/1 HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer key-b\r\nx-attempt-id: stalled-{n}\r\n\
             x-model: *\r\ncontent-length: 0\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await?;
        stalled.push(caller);
    }
    wait_until("the streams run", async || rig.engines[0].streams() == STALLED).await?;
    sleep(Duration::from_millis(500)).await;
    for _ in 0..20 {
        let sent = Instant::now();
        assert_eq!(get_safe(&rig, 0, "key-a").await?.status, StatusCode::OK);
        assert!(sent.elapsed() < Duration::from_secs(2), "{:?}", sent.elapsed());
    }
    let memory = rig.gateways[0].process.memory_mb()?;
    println!("{STALLED} stalled readers, {memory} MB");
    assert!(memory < MAX_MEMORY_MB, "{memory} MB with {STALLED} stalled readers");
    Ok(())
}

/// Guards against bytes without end from a server, which keep its connection and the caller's open and fill the memory.
#[test_case("/read/1", hyper::Method::GET; "plain answer")]
#[test_case("/chat/1", hyper::Method::POST; "stream")]
#[tokio::test]
async fn answer_without_end(path: &str, method: hyper::Method) -> Result<()> {
    const MAX_MEMORY_MB: f64 = 88.0;
    let rig = Rig::start(RigPlan { engines: 1, desks: 1, ..RigPlan::default() }).await?;
    let backends = || rig.engines.iter().chain(&rig.desks);
    backends().for_each(|backend| backend.set_behaviour(|behaviour| behaviour.endless = true));
    let client = rig.chat("endless").with("x-deadline-ms", "2000");
    let reply = client.call(method, rig.gateways[0].callers, path, Vec::new()).await;
    assert!(reply.is_err() || reply.is_ok_and(|reply| !reply.status.is_success()), "it looked complete");
    wait_until("the server's connection is closed", async || backends().all(|backend| backend.streams() == 0)).await?;
    let memory = rig.gateways[0].process.memory_mb()?;
    assert!(memory < MAX_MEMORY_MB, "{memory} MB");
    Ok(())
}
