//! Tests of requests that the agent refuses or aborts, and of request ids that ran or are barred.

use std::time::Duration;

use eelgrasswell_core::refusal::Reason;
use eelgrasswell_daemon::agent::{
    checks::{AgentState, check},
    loaded::LoadedVersions,
};
use eelgrasswell_manifest::{
    config::{Config, RolloutPhase, RolloutStatus},
    manifest::{Drain, VersionState},
    settings::LoadedVersion,
};
use eelgrasswell_proto::v1::{ExecuteRequest, ResolveReply, ResolveRequest, execute_event::Event, resolve_reply::Fate};
use eelgrasswell_testbed::engine::FaultsUpdate;
use test_case::test_case;
use tokio::time::timeout;

use crate::rig::{Reply, Rig, booking_request, changed, config, eventually, model_request, page};

const MODELS: &str = "loan-models";
const RECORDS: &str = "loan-records";

fn domain_out(config: &mut Config) {
    config.manifest.domains.get_mut("nadi").unwrap().in_service = false;
}

fn draining(config: &mut Config) {
    config.manifest.draining.insert("worker-1".into(), Drain {});
}

fn set_state(config: &mut Config, state: VersionState) {
    let model = config.manifest.models.get_mut("loan-desk").unwrap();
    model.versions.get_mut("v1").unwrap().state = state;
}

fn stopped_rollout(config: &mut Config) {
    let status = RolloutStatus {
        baseline: "v2".into(),
        step: 0,
        permille: 0,
        phase: RolloutPhase::Stopped,
        reason: "errors".into(),
    };
    config.rollouts.insert("loan-desk/v1".parse().unwrap(), status);
}

/// Guards against work for a server or version that must not receive any, and against refused requests that reach the
/// backend server.
#[test_case(domain_out, "domain_out" ; "domain out")]
#[test_case(draining, "leaving" ; "host draining")]
#[test_case(|c| set_state(c, VersionState::Withdrawn), "version_withdrawn" ; "version withdrawn")]
#[test_case(|c| set_state(c, VersionState::Closed), "no_version" ; "version closed")]
#[test_case(stopped_rollout, "version_withdrawn" ; "rollout stopped")]
#[test_case(|c| { c.manifest.customers.remove("reef"); }, "not_allowed" ; "customer removed")]
#[test_case(|c| { c.manifest.models.remove("loan-desk"); }, "not_found" ; "model removed")]
#[tokio::test]
async fn execute_after_change_refuses(change: fn(&mut Config), reason: &str) {
    let (rig, mut link) = Rig::configured(MODELS, "", &config(1)).await;
    rig.run(model_request("r1", false, 1)).await.finished();
    link.configure(&changed(&config(1), change)).await;
    let reply = rig.run(model_request("r2", false, 1)).await;
    assert_eq!(reply.refusal(), (reason, true));
    assert_eq!(rig.engine.runs().len(), 1);
    let (_, metrics) = page(rig.operators, "/metrics").await;
    let counter = format!("eelgrasswell_refusals_total{{reason=\"{reason}\",outcome=\"not_run\"}} 1");
    assert!(metrics.contains(&counter), "{metrics}");
}

fn lagoon_on_v2(req: &mut ExecuteRequest) {
    req.customer = "lagoon".to_owned();
    req.version = "v2".to_owned();
}

/// Guards against invalid requests of a faulty router that reach the backend server.
#[test_case(lagoon_on_v2, "not_allowed" ; "version not allowed")]
#[test_case(|req| req.version = "v9".to_owned(), "not_found" ; "version unknown")]
#[test_case(|req| req.idempotent = false, "bad_request" ; "no claim fence")]
#[test_case(|req| req.revision = 9, "stale_config" ; "revision ahead")]
#[test_case(|req| req.request_id.clear(), "bad_request" ; "no request id")]
#[test_case(|req| req.max_output_tokens = 1_000_000, "memory_full" ; "more than the memory")]
#[tokio::test]
async fn execute_bad_request_refuses(corrupt: fn(&mut ExecuteRequest), reason: &str) {
    let (rig, _link) = Rig::configured(MODELS, "", &config(1)).await;
    let mut req = model_request("r1", false, 1);
    corrupt(&mut req);
    assert_eq!(rig.run(req).await.refusal(), (reason, true));
    assert!(rig.engine.runs().is_empty());
}

/// Guards against an agent that refuses a request because the router's newer configuration arrives a little later.
#[tokio::test]
async fn execute_ahead_of_config_waits_for_it() {
    let (rig, mut link) = Rig::configured(MODELS, "", &config(1)).await;
    let req = ExecuteRequest { revision: 2, ..model_request("r1", false, 1) };
    let (reply, ()) = tokio::join!(rig.run(req), async { link.configure(&changed(&config(1), |_| ())).await });
    reply.finished();
}

/// Guards against running a request of a route that the router wrongly treats as idempotent.
#[tokio::test]
async fn execute_service_trusts_manifest_over_router() {
    let (rig, _link) = Rig::configured(RECORDS, "", &config(1)).await;
    let req = ExecuteRequest { idempotent: true, claim_fence: 0, ..booking_request("b1") };
    assert_eq!(rig.run(req).await.refusal(), ("bad_request", true));
    assert!(rig.engine.runs().is_empty());
}

/// Guards against a second run of a request id, and against a refusal that wrongly reports "not run".
#[tokio::test]
async fn execute_same_id_runs_once() {
    let (rig, _link) = Rig::configured(RECORDS, "", &config(1)).await;
    rig.run(booking_request("b1")).await.finished();
    assert_eq!(rig.run(booking_request("b1")).await.refusal(), ("barred", false));
    assert_eq!(rig.engine.runs().len(), 1);
}

async fn resolve(rig: &Rig, request_id: &str, agent_incarnation: u64) -> ResolveReply {
    let req = ResolveRequest { request_id: request_id.to_owned(), customer: "reef".to_owned(), agent_incarnation };
    rig.client.clone().resolve(req).await.unwrap().into_inner()
}

/// Guards against a booking that runs after its claim was granted to another attempt.
#[tokio::test]
async fn resolve_unseen_id_bars_it() {
    let (rig, mut link) = Rig::configured(RECORDS, "", &config(1)).await;
    let incarnation = link.until(|_| true).await.incarnation;
    assert_eq!(resolve(&rig, "b1", incarnation).await.fate(), Fate::Barred);
    assert_eq!(rig.run(booking_request("b1")).await.refusal(), ("barred", true));
    assert_eq!(resolve(&rig, "b1", incarnation).await.fate(), Fate::Barred);
    assert!(rig.engine.runs().is_empty());
}

/// Guards against a wrong reply about a request that has run, or that another incarnation may have run.
#[tokio::test]
async fn resolve_reports_what_ran() {
    let (rig, mut link) = Rig::configured(RECORDS, "", &config(1)).await;
    let incarnation = link.until(|_| true).await.incarnation;
    rig.engine.update_faults(&unresponsive(true)).await;
    let events = rig.execute(booking_request("b1")).await;
    eventually(|| (!rig.engine.runs().is_empty()).then_some(())).await;
    assert_eq!(resolve(&rig, "b1", incarnation).await.fate(), Fate::Running);
    rig.engine.update_faults(&unresponsive(false)).await;
    let answer = crate::rig::read(events).await;
    let reply = resolve(&rig, "b1", incarnation).await;
    assert_eq!((reply.fate(), reply.status, &reply.body[..]), (Fate::Finished, 200, &answer.body[..]));
    assert_eq!(resolve(&rig, "b1", incarnation + 1).await.fate(), Fate::Unknown);
    assert_eq!(resolve(&rig, "b2", 0).await.fate(), Fate::Unknown);
}

/// Guards against losing the outcome of a booking when its answer is dropped.
#[tokio::test]
async fn resolve_after_hold_still_reports() {
    let rig = Rig::start(RECORDS, "answers: {hold: 200, stalled_after: 200}\n").await;
    let mut link = rig.link(&config(1)).await;
    let incarnation = link.until(|_| true).await.incarnation;
    let answer = rig.run(booking_request("b1")).await;
    let dropped = async { while !crate::rig::read(rig.resume("b1", "reef", 0).await).await.is_answer_gone() {} };
    timeout(Duration::from_secs(10), dropped).await.unwrap();
    let reply = resolve(&rig, "b1", incarnation).await;
    assert_eq!((reply.fate(), reply.status, &reply.body[..]), (Fate::Finished, 200, &answer.body[..]));
}

/// Guards against the outcome "not run" after bytes were sent to the backend server, and against "unknown" if none
/// were.
#[tokio::test]
async fn execute_backend_down_refuses_or_fails() {
    let (rig, _link) = Rig::configured(MODELS, "", &config(1)).await;
    let errors = |permille| FaultsUpdate { error_permille: Some(permille), ..FaultsUpdate::default() };
    rig.engine.update_faults(&errors(1000)).await;
    assert_eq!(rig.run(model_request("r1", false, 1)).await.failure(), ("backend_error", None));
    rig.engine.update_faults(&errors(0)).await;
    let mut events = rig.execute(model_request("r2", true, 500)).await;
    let mut tokens = 0;
    while tokens < 3 {
        let event = events.message().await.unwrap().unwrap().event;
        tokens += u32::from(matches!(event, Some(Event::Data(_))));
    }
    rig.engine.update_faults(&FaultsUpdate { down_ms: Some(60_000), ..FaultsUpdate::default() }).await;
    let reply = crate::rig::read_rest(events).await;
    let (reason, bill) = reply.failure();
    let bill = bill.expect("delivered tokens are billed");
    assert_eq!(reason, "connection_lost");
    assert!((3..500).contains(&bill.output_tokens), "{bill:?}");
    assert_eq!(bill.cost_micros, 3 * 2 + bill.output_tokens * 10);
    assert_eq!(rig.run(model_request("r3", false, 1)).await.refusal(), ("no_backend", true));
}

/// Guards against new work for a version in rollout on a host that may have missed its withdrawal, and against sessions
/// that are interrupted for that reason.
#[test_case("v2", false, Some(Reason::StaleConfig) ; "version in rollout")]
#[test_case("v2", true, None ; "pinned to the version in rollout")]
#[test_case("v1", false, None ; "stable version")]
fn check_with_stale_config(version: &str, pinned: bool, reason: Option<Reason>) {
    let config = changed(&config(1), |config| {
        let plan = serde_json::from_str("{\"version\": \"v2\"}").unwrap();
        config.manifest.models.get_mut("loan-desk").unwrap().rollout = Some(plan);
        let status = RolloutStatus {
            baseline: "v1".into(),
            step: 0,
            permille: 10,
            phase: RolloutPhase::Running,
            reason: "".into(),
        };
        config.rollouts.insert("loan-desk/v2".parse().unwrap(), status);
    });
    let loaded = ["v1", "v2"].map(|version| LoadedVersion { model: "loan-desk".into(), version: version.into() });
    let state = AgentState {
        host: &"worker-1".into(),
        domain: &"nadi".into(),
        service: &MODELS.into(),
        loaded: &LoadedVersions::open(&loaded),
        leaving: false,
        stale: true,
    };
    let req = ExecuteRequest { version: version.to_owned(), pinned, ..model_request("r1", false, 1) };
    assert_eq!(check(&config, &state, &req).err(), reason);
}

/// Returns an update that turns the fault of an unresponsive engine on or off.
fn unresponsive(unresponsive: bool) -> FaultsUpdate {
    FaultsUpdate { silent: Some(unresponsive), ..FaultsUpdate::default() }
}

/// Guards against running a request id twice when it arrives several times concurrently.
#[tokio::test]
async fn execute_same_id_concurrently_runs_once() {
    let (rig, _link) = Rig::configured(RECORDS, "", &config(1)).await;
    let replies = futures::future::join_all((0..20).map(|_| rig.run(booking_request("b1")))).await;
    let ran = replies.iter().filter(|reply| reply.bill_or_none().is_some()).count();
    assert_eq!((ran, rig.engine.runs().len()), (1, 1));
    let others: Vec<_> = replies.iter().filter(|reply| reply.bill_or_none().is_none()).map(Reply::refusal).collect();
    assert!(others.iter().all(|refusal| *refusal == ("barred", false)), "{others:?}");
}

/// Guards against a request that was accepted before a change of the configuration and starts in spite of it.
#[test_case(domain_out, "domain_out" ; "domain out")]
#[test_case(|c| set_state(c, VersionState::Withdrawn), "version_withdrawn" ; "version withdrawn")]
#[tokio::test]
async fn execute_queued_through_change_refuses(change: fn(&mut Config), reason: &str) {
    let (rig, mut link) = Rig::configured(MODELS, "", &config(1)).await;
    rig.engine.update_faults(&unresponsive(true)).await;
    let ids: Vec<_> = (0..6).map(|number| format!("r{number}")).collect();
    let mut streams = Vec::new();
    for id in &ids {
        streams.push(rig.execute(model_request(id, true, 5)).await);
    }
    // The cold limit is 4, so 2 requests wait.
    link.until(|beat| beat.load.is_some_and(|load| (load.running, load.queued) == (4, 2))).await;
    link.configure(&changed(&config(1), change)).await;
    rig.engine.update_faults(&unresponsive(false)).await;
    let replies = futures::future::join_all(streams.into_iter().map(crate::rig::read)).await;
    let runs = rig.engine.runs();
    assert_eq!(runs.len(), 4);
    for (id, reply) in ids.iter().zip(&replies) {
        if runs.iter().any(|run| run.request_id == *id) {
            reply.finished();
        } else {
            assert_eq!(reply.refusal(), (reason, true));
        }
    }
}

/// Guards against work that continues after its deadline, when the answer is useless.
#[tokio::test]
async fn execute_past_deadline_is_aborted() {
    let (rig, _link) = Rig::configured(MODELS, "", &config(1)).await;
    let req = ExecuteRequest { deadline_ms: 1_500, ..model_request("r1", true, 90_000) };
    let mut events = rig.execute(req).await;
    while !matches!(events.message().await.unwrap().unwrap().event, Some(Event::Data(_))) {}
    rig.engine.update_faults(&unresponsive(true)).await;
    let mut saw_progress = false;
    let end = loop {
        match events.message().await.unwrap().unwrap().event.unwrap() {
            Event::Progress(_) => saw_progress = true,
            Event::Data(_) => {}
            end => break end,
        }
    };
    assert!(saw_progress, "a reader must be able to distinguish an unresponsive engine from a dead connection");
    let Event::Failed(failed) = end else { panic!("ended with {end:?}") };
    assert_eq!(failed.reason, "deadline");
    assert!(failed.bill.is_some_and(|bill| bill.output_tokens > 0));
    eventually(|| rig.engine.runs()[0].cancelled.then_some(())).await;
}

/// Guards against a request that waits forever for an unresponsive engine.
#[tokio::test]
async fn execute_unresponsive_engine_fails() {
    let (rig, _link) = Rig::configured(MODELS, "", &config(1)).await;
    rig.engine.update_faults(&unresponsive(true)).await;
    assert_eq!(rig.run(model_request("r1", true, 5)).await.failure(), ("connection_lost", None));
}

/// Guards against a booking whose outcome is lost because its deadline passed while it was running.
#[tokio::test]
async fn execute_once_past_deadline_continues() {
    let (rig, _link) = Rig::configured(RECORDS, "", &config(1)).await;
    rig.engine.update_faults(&unresponsive(true)).await;
    let req = ExecuteRequest { deadline_ms: 300, ..booking_request("b1") };
    let mut events = rig.execute(req).await;
    // The first progress event comes after a second, when the deadline has passed.
    while !matches!(events.message().await.unwrap().unwrap().event, Some(Event::Progress(_))) {}
    rig.engine.update_faults(&unresponsive(false)).await;
    crate::rig::read_rest(events).await.finished();
}
