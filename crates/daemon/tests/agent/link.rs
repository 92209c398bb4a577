//! Tests of heartbeats, unsettled bills, orders and cold starts.

use std::time::Duration;

use eelgrasswell_proto::v1::{
    ConfigSnapshot, ConfigUpdate, OrderReply, OrderRequest, RouterBeat, order_request::Action,
};
use eelgrasswell_testbed::engine::{FaultsUpdate, Options};
use test_case::test_case;

use crate::rig::{Rig, changed, config, eventually, model_request, page};

const MODELS: &str = "loan-models";
/// Options of an engine whose tokens take so long that pauses of a busy test machine do not make it look cold.
const STEADY: Options =
    Options { first_token: Duration::from_millis(5), token_interval: Duration::from_millis(10), slots: 8 };

/// Guards against a bill that is lost because its router died, and against one that is offered forever.
#[tokio::test]
async fn bill_unsettled_goes_to_another_router() {
    let (rig, mut first) = Rig::configured(MODELS, "", &config(1)).await;
    let mut second = rig.link(&config(1)).await;
    let bill = rig.run(model_request("r1", false, 4)).await.bill().clone();
    rig.run(model_request("r2", false, 4)).await.finished();
    first.settle(&["r2"]).await;
    // The first offer is ignored, as if the router that received it had died.
    for _ in 0..2 {
        let offered = tokio::select! {
            beat = first.until(|beat| !beat.unsettled.is_empty()) => beat,
            beat = second.until(|beat| !beat.unsettled.is_empty()) => beat,
        };
        assert_eq!(offered.unsettled, std::slice::from_ref(&bill));
    }
    second.settle(&["r1"]).await;
    second.until(|_| true).await;
    let (_, metrics) = page(rig.operators, "/metrics").await;
    assert!(metrics.contains("eelgrasswell_agent_unsettled_bills 0"), "{metrics}");
}

/// Guards against an agent that only reports its state in reply to heartbeats of the router.
#[tokio::test]
async fn beat_is_sent_without_router_beat() {
    let (_rig, mut link) = Rig::configured(MODELS, "", &config(1)).await;
    let beat = link.until(|_| true).await;
    assert_eq!((beat.agent.as_str(), beat.domain.as_str(), beat.service.as_str()), ("worker-1", "nadi", MODELS));
    assert_eq!((beat.revision, beat.loaded.len()), (1, 2));
}

/// Guards against a link that stays open after its router has become unresponsive.
#[tokio::test]
async fn link_without_router_beats_is_closed() {
    let (_rig, mut link) = Rig::configured(MODELS, "", &config(1)).await;
    while link.beats.message().await.unwrap().is_some() {}
}

/// Guards against new work for a host that the host list marks as leaving (P10).
#[tokio::test]
async fn beat_with_leaving_host_refuses_new_work() {
    let (rig, mut link) = Rig::configured(MODELS, "", &config(1)).await;
    rig.run(model_request("r1", false, 4)).await.finished();
    link.tx.send(RouterBeat { leaving: true, ..crate::rig::beat(None, &[]) }).await.unwrap();
    link.until(|beat| beat.leaving).await;
    assert_eq!(rig.run(model_request("r2", false, 4)).await.refusal(), ("leaving", true));
}

/// Guards against an older configuration that replaces a newer one.
#[tokio::test]
async fn beat_with_older_config_changes_nothing() {
    let (rig, mut link) = Rig::configured(MODELS, "", &config(5)).await;
    link.tx.send(crate::rig::beat(Some(&config(4)), &[])).await.unwrap();
    assert_eq!(link.until(|_| true).await.revision, 5);
    rig.run(model_request("r1", false, 1)).await.finished();
}

/// Guards against a configuration that never comes into force because it is sent in several messages.
#[tokio::test]
async fn beat_with_config_in_parts_is_joined() {
    let (rig, mut link) = Rig::configured(MODELS, "", &config(1)).await;
    let full_beat = crate::rig::beat(Some(&config(2)), &[]);
    let snapshot = full_beat.update.clone().unwrap().snapshot.unwrap();
    for (start, end, more) in [(0, 10, true), (10, 200, true), (200, snapshot.json.len(), false)] {
        let part = ConfigSnapshot { json: snapshot.json[start..end].to_owned(), more, ..snapshot };
        let update = ConfigUpdate { deltas: Vec::new(), snapshot: Some(part) };
        link.tx.send(RouterBeat { update: Some(update), ..full_beat.clone() }).await.unwrap();
    }
    link.until(|beat| beat.revision == 2).await;
    rig.run(model_request("r1", false, 1)).await.finished();
}

async fn order(rig: &Rig, action: Action, version: &str, fence: u64) -> OrderReply {
    let mut order =
        OrderRequest { model: "loan-desk".to_owned(), version: version.to_owned(), fence, ..OrderRequest::default() };
    order.set_action(action);
    rig.client.clone().order(order).await.unwrap().into_inner()
}

/// Guards against executing orders of a replaced controller, on engines that check fences and on engines that do not.
#[test_case(false ; "engine checks fences")]
#[test_case(true ; "engine ignores fences")]
#[tokio::test]
async fn order_with_old_fence_is_refused(ignore_fences: bool) {
    let (rig, mut link) = Rig::configured(MODELS, "", &config(1)).await;
    rig.engine.update_faults(&FaultsUpdate { ignore_fences: Some(ignore_fences), ..FaultsUpdate::default() }).await;
    assert!(order(&rig, Action::Load, "v3", 5).await.accepted);
    link.until(|beat| beat.loaded.iter().any(|loaded| loaded.version == "v3")).await;
    let refused = order(&rig, Action::Unload, "v1", 4).await;
    assert_eq!((refused.accepted, refused.fence), (false, 5));
    rig.run(model_request("r1", false, 1)).await.finished();
    assert!(order(&rig, Action::Unload, "v1", 6).await.accepted);
    assert_eq!(rig.run(model_request("r2", false, 1)).await.refusal(), ("not_loaded", true));
}

/// Guards against reporting an order as accepted when the engine refuses its fence. Only the engine knows the highest
/// fence if the agent has restarted since.
#[tokio::test]
async fn order_refused_by_engine_is_reported() {
    let (rig, _link) = Rig::configured(MODELS, "", &config(1)).await;
    assert!(order(&rig, Action::Load, "v3", 5).await.accepted);
    let restarted = crate::rig::Rig::start_second(&rig).await;
    assert!(!order(&restarted, Action::Unload, "v3", 4).await.accepted);
}

fn announced() -> FaultsUpdate {
    FaultsUpdate { cold: Some(true), cold_announced: Some(true), ..FaultsUpdate::default() }
}

fn restarted() -> FaultsUpdate {
    FaultsUpdate { restarted: true, ..FaultsUpdate::default() }
}

/// Guards against full load on an engine whose load report shows that it is cold.
#[test_case(announced() ; "announced")]
#[test_case(restarted() ; "restarted")]
#[tokio::test]
async fn cold_engine_lowers_limit(fault: FaultsUpdate) {
    let (rig, mut link) = Rig::configured(MODELS, "", &config(1)).await;
    warm(&rig).await;
    link.configure(&changed(&config(1), |_| ())).await;
    rig.engine.update_faults(&fault).await;
    let beat = link.until(|beat| beat.load.is_some_and(|load| load.cold)).await;
    assert_eq!(beat.load.unwrap().limit, 4);
}

/// Guards against full load on a cold engine that does not report to be cold.
#[tokio::test]
async fn cold_engine_unannounced_lowers_limit() {
    let rig = Rig::start_with(MODELS, "", STEADY).await;
    let _link = rig.link(&config(1)).await;
    warm(&rig).await;
    let run_three = |name, tokens| {
        let requests = (0..3).map(move |number| model_request(&format!("{name}-{number}"), true, tokens));
        futures::future::join_all(requests.map(|req| rig.run(req)))
    };
    run_three("warm-together", 40).await;
    assert_eq!(limit(&rig).await, 8);
    // 20 times slower than warm; the first answers after the change show it.
    let cold = FaultsUpdate { cold: Some(true), cold_factor: Some(20.0), ..FaultsUpdate::default() };
    rig.engine.update_faults(&cold).await;
    run_three("cold", 6).await;
    assert_eq!(limit(&rig).await, 4);
}

/// Guards against a failure domain that receives full load immediately when it returns to service.
#[tokio::test]
async fn domain_return_starts_cold() {
    let (rig, mut link) = Rig::configured(MODELS, "", &config(1)).await;
    warm(&rig).await;
    let out = changed(&config(1), |config| config.manifest.domains.get_mut("nadi").unwrap().in_service = false);
    link.configure(&out).await;
    let back = changed(&out, |config| config.manifest.domains.get_mut("nadi").unwrap().in_service = true);
    link.configure(&back).await;
    assert_eq!(limit(&rig).await, 4);
}

/// Guards against requests that accumulate on the backend server, and against requests that are lost in the queue.
#[tokio::test]
async fn overload_runs_up_to_limit() {
    let rig = Rig::start_with(MODELS, "", STEADY).await;
    let _link = rig.link(&config(1)).await;
    warm(&rig).await;
    let requests = (0..40).map(|number| rig.run(model_request(&format!("r{number}"), true, 30)));
    let replies = futures::future::join_all(requests).await;
    let refused: Vec<_> = replies.iter().filter(|reply| reply.bill_or_none().is_none()).map(|r| r.refusal()).collect();
    assert_eq!(refused.len(), 40 - 8 - 16);
    assert!(refused.iter().all(|refusal| *refusal == ("overloaded", true)), "{refused:?}");
    let peak = rig.engine.runs().iter().map(|run| run.running).max();
    assert_eq!(peak, Some(8));
}

/// Runs requests until the cold start is over.
async fn warm(rig: &Rig) {
    let mut number = 0;
    while limit(rig).await < 8 {
        number += 1;
        rig.run(model_request(&format!("warm-{number}"), true, 30)).await.finished();
    }
    eventually(|| (rig.engine.runs().len() == number).then_some(())).await;
}

/// Returns the agent's current limit of running requests.
async fn limit(rig: &Rig) -> u32 {
    let (_, metrics) = page(rig.operators, "/metrics").await;
    let line = metrics.lines().find_map(|line| line.strip_prefix("eelgrasswell_agent_limit "));
    line.unwrap().parse().unwrap()
}
