//! Tests of the duties that one gateway performs for all, with one failure each.

use std::time::Duration;

use eelgrasswell_testbed::{
    process::Signal,
    site::{ApiMode, FakeDutyApi, Rig, RigPlan, wait_until},
};
use eyre::{Result, ensure};
use hyper::StatusCode;
use serde_json::{Value, json};
use test_case::test_case;
use tokio::time::sleep;

/// Number of gateways.
const GATEWAYS: usize = 3;

/// Starts gateways with short windows and leases.
async fn start() -> Result<(Rig, FakeDutyApi)> {
    let api = FakeDutyApi::bind().await?;
    let settings = format!(
        "duties:\n  address: {}\n  names: [usage_report]\n  calls_per_s: 10\n  lease_ms: 1200\n  window_s: 1\n  due_s: 10\n",
        api.address
    );
    let rig = Rig::start_with(RigPlan { gateways: GATEWAYS, ..RigPlan::default() }, &settings).await?;
    Ok((rig, api))
}

/// Sends `count` reads of each customer, to all gateways in turn.
async fn send_reads(rig: &Rig, count: usize) -> Result<()> {
    for n in 0..count {
        for key in ["key-a", "key-b"] {
            send_read(rig, n % rig.gateways.len(), key).await?;
        }
    }
    Ok(())
}

async fn send_read(rig: &Rig, gateway: usize, key: &str) -> Result<()> {
    let reply = rig.customer(key).get(rig.gateways[gateway].callers, "/read/1").await?;
    ensure!(reply.status == StatusCode::OK, "a read failed: {}", reply.text());
    Ok(())
}

/// Waits until the API has accepted a report, and returns the index of the gateway that sent it.
async fn wait_for_holder(api: &FakeDutyApi) -> Result<usize> {
    wait_until("a report is accepted", async || !api.accepted().is_empty()).await?;
    Ok(index_of(&api.accepted().last().expect("one was accepted").holder))
}

/// Index of a gateway, from its id.
fn index_of(id: &str) -> usize {
    id.trim_start_matches("gateway-").parse().expect("the id ends with the index")
}

async fn wait_for_totals(api: &FakeDutyApi, a: u64, b: u64) -> Result<()> {
    let counted = async || api.total("customer-a") == a && api.total("customer-b") == b;
    let result = wait_until("all requests are reported", counted).await;
    result.map_err(|err| err.wrap_err(format!("reported: {:?}", api.calls())))
}

/// Guards against requests that are counted twice, for each send, not at all, or although they did not run.
#[tokio::test]
async fn requests_reported_once() -> Result<()> {
    let (rig, api) = start().await?;
    wait_for_holder(&api).await?;
    send_reads(&rig, 9).await?;
    // Is sent again after the failure of one server.
    rig.desks[0].set_behaviour(|behaviour| behaviour.fails = true);
    send_read(&rig, 0, "key-a").await?;
    send_read(&rig, 1, "key-a").await?;
    rig.desks[0].set_behaviour(|behaviour| behaviour.fails = false);
    let booking = rig.customer("key-a").post_json(rig.gateways[1].callers, "/book/1", &json!({})).await?;
    ensure!(booking.status == StatusCode::OK, "the booking failed: {}", booking.text());
    // Runs on the small model and then on the large one.
    rig.engines.iter().for_each(|engine| {
        engine.set_behaviour(|behaviour| behaviour.confidence = [("small".into(), 10), ("large".into(), 90)].into());
    });
    let stream = rig.chat("s1").post_json(rig.gateways[2].callers, "/chat/1", &json!({"ask": 1})).await?;
    ensure!(stream.status == StatusCode::OK, "the stream failed: {}", stream.text());
    rig.desks.iter().for_each(|desk| desk.set_behaviour(|behaviour| behaviour.refuses = true));
    // Servers name the request in a refusal by the caller's id; without it, the refusal proves nothing.
    let caller = rig.customer("key-b").with("x-attempt-id", "refused");
    let refused = caller.get(rig.gateways[0].callers, "/read/1").await?;
    ensure!(refused.status == StatusCode::SERVICE_UNAVAILABLE, "the read was not refused: {}", refused.status);
    wait_for_totals(&api, 9 + 2 + 1 + 1, 9).await?;
    api.check()
}

/// Reports in the lease object that must still be sent.
fn unsent_reports(rig: &Rig) -> Vec<(u64, Value)> {
    let spec = rig.store.spec("duties", "lease-1");
    let reports = spec["reports"].as_array().cloned().unwrap_or_default();
    let unsent = reports.iter().filter(|report| report["done"] == false);
    unsent.map(|report| (report["window_id"].as_u64().unwrap_or(0), report["counts"].clone())).collect()
}

/// Guards against a settled report that the next holder makes anew from other counts, or does not send.
#[tokio::test]
async fn holder_killed_before_sending() -> Result<()> {
    let (mut rig, api) = start().await?;
    let holder = wait_for_holder(&api).await?;
    api.set_mode(ApiMode::Throttling);
    send_reads(&rig, 6).await?;
    let has_counts = |(_, counts): &(u64, Value)| counts["customer-a"].is_u64();
    wait_until("a report is settled", async || unsent_reports(&rig).iter().any(has_counts)).await?;
    rig.gateways[holder].process.kill()?;
    let settled = unsent_reports(&rig);
    let fence = api.calls().last().map_or(0, |call| call.fence);
    api.set_mode(ApiMode::Accepting);
    for (window, counts) in settled {
        let is_sent = || api.accepted().into_iter().find(|call| call.window == window && call.fence > fence);
        wait_until("the next holder sends the report", async || is_sent().is_some()).await?;
        let sent = is_sent().expect("it was sent");
        ensure!(sent.counts == counts, "settled {counts}, but sent {sent:?}");
    }
    api.check()
}

/// Guards against calls of a holder that resumes after another one has taken over.
#[tokio::test]
async fn holder_freezes_and_resumes() -> Result<()> {
    let (rig, api) = start().await?;
    let holder = wait_for_holder(&api).await?;
    rig.gateways[holder].signal(Signal::Stop)?;
    let is_other = |id: &str| index_of(id) != holder;
    let taken = async || api.accepted().last().is_some_and(|call| is_other(&call.holder));
    wait_until("another gateway reports", taken).await?;
    rig.gateways[holder].signal(Signal::Continue)?;
    let lost = async || rig.gateways[holder].log().contains("event=duty_lease_lost");
    wait_until("the old holder learns that it has lost the lease", lost).await?;
    send_reads(&rig, 3).await?;
    wait_for_totals(&api, 3, 3).await?;
    api.check()
}

/// Guards against a holder that relies on a write whose answer is lost, and against the harm of one that takes effect late,
/// before or after another gateway could take over.
#[test_case(Duration::from_millis(600), true; "while the lease object is unchanged")]
#[test_case(Duration::from_secs(5), false; "after another gateway has taken over")]
#[tokio::test]
async fn renewal_takes_effect_late(delay: Duration, takes_effect: bool) -> Result<()> {
    let (rig, api) = start().await?;
    let holder = wait_for_holder(&api).await?;
    rig.store.set_faults(|faults| faults.late_writes = Some((holder, delay)));
    let is_done = async || {
        let (effective, void) = rig.store.late_writes();
        if takes_effect { effective > 0 } else { void > 0 }
    };
    wait_until("the write is executed", is_done).await?;
    rig.store.set_faults(|faults| faults.late_writes = None);
    if !takes_effect {
        let last = api.accepted().last().map(|call| index_of(&call.holder));
        ensure!(last != Some(holder), "no other gateway has taken over");
    }
    send_reads(&rig, 3).await?;
    wait_for_totals(&api, 3, 3).await?;
    api.check()
}

/// Guards against calls of a holder that can't renew its lease, and against duties that nobody performs after an outage.
#[tokio::test]
async fn store_down_longer_than_lease() -> Result<()> {
    let (rig, api) = start().await?;
    let holder = wait_for_holder(&api).await?;
    rig.store.set_faults(|faults| faults.down = true);
    let stepped_back = async || rig.gateways[holder].log().contains("event=duty_stepped_back");
    wait_until("the holder steps back", stepped_back).await?;
    let calls = api.calls().len();
    send_reads(&rig, 2).await?;
    // Another gateway tries to read the lease only after it has heard of no renewal for the lease time.
    let others = || rig.gateways.iter().enumerate().filter(|(n, _)| *n != holder);
    let expired = async || others().any(|(_, other)| other.log().contains("event=duty_lease_not_read"));
    wait_until("the lease has expired", expired).await?;
    ensure!(api.calls().len() == calls, "the holder has called without a lease: {:?}", api.calls());
    rig.store.set_faults(|faults| faults.down = false);
    wait_for_totals(&api, 2, 2).await?;
    api.check()
}

/// Guards against reports that are sent again with other counts, or left out, and against two holders, because the store has
/// forgotten the last renewals of the lease (issue 48).
#[test_case(false; "the holder goes on")]
#[test_case(true; "the holder is frozen and wakes after another one has taken over")]
#[tokio::test]
async fn store_comes_back_older(freezes: bool) -> Result<()> {
    let (rig, api) = start().await?;
    let holder = wait_for_holder(&api).await?;
    let copy = rig.store.copy();
    send_reads(&rig, 3).await?;
    wait_for_totals(&api, 3, 3).await?;
    if freezes {
        rig.gateways[holder].signal(Signal::Stop)?;
    }
    rig.store.go_away();
    sleep(Duration::from_millis(200)).await;
    rig.store.come_back(copy);
    if freezes {
        let taken = async || api.accepted().last().is_some_and(|call| index_of(&call.holder) != holder);
        wait_until("another gateway reports", taken).await?;
        rig.gateways[holder].signal(Signal::Continue)?;
        // What was served before the takeover may be left out.
        sleep(Duration::from_secs(2)).await;
    }
    send_reads(&rig, 3).await?;
    wait_for_totals(&api, 6, 6).await?;
    api.check()
}

/// Guards against the loss of the requests that a gateway has reported before it was killed.
#[tokio::test]
async fn gateway_with_counts_killed() -> Result<()> {
    let (mut rig, api) = start().await?;
    let victim = (wait_for_holder(&api).await? + 1) % GATEWAYS;
    for _ in 0..5 {
        send_read(&rig, victim, "key-a").await?;
    }
    let delivered = |rig: &Rig| rig.gateways[victim].log().matches("event=usage_delivered").count();
    let before = delivered(&rig);
    // A report in progress may have been made before the last request.
    wait_until("the counts are reported", async || delivered(&rig) >= before + 4).await?;
    rig.gateways[victim].process.kill()?;
    wait_for_totals(&api, 5, 0).await?;
    api.check()
}

/// Guards against the loss of the last requests of a gateway that stops, as the holder or not.
#[test_case(0; "holder")]
#[test_case(1; "another gateway")]
#[tokio::test]
async fn gateway_stops(distance: usize) -> Result<()> {
    let (mut rig, api) = start().await?;
    let stopping = (wait_for_holder(&api).await? + distance) % GATEWAYS;
    rig.gateways[stopping].signal(Signal::Term)?;
    for _ in 0..5 {
        send_read(&rig, stopping, "key-b").await?;
    }
    rig.gateways[stopping].process.wait().await?;
    wait_for_totals(&api, 0, 5).await?;
    api.check()
}

/// Guards against requests that fail, and reports that are lost, because the API rejects calls or does not answer.
#[test_case(ApiMode::Throttling; "above the rate limit")]
#[test_case(ApiMode::Silent; "no answer")]
#[tokio::test]
async fn api_fails(mode: ApiMode) -> Result<()> {
    let (rig, api) = start().await?;
    wait_for_holder(&api).await?;
    api.set_mode(mode);
    send_reads(&rig, 4).await?;
    let failed = async || api.calls().iter().filter(|call| !call.accepted).count() >= 2;
    wait_until("calls have failed", failed).await?;
    send_reads(&rig, 4).await?;
    api.set_mode(ApiMode::Accepting);
    wait_for_totals(&api, 8, 8).await?;
    api.check()
}
