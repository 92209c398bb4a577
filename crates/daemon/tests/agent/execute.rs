//! Tests of requests without faults: answers, bills, credential and shutdown.

use eelgrasswell_proto::v1::{agent_client::AgentClient, execute_event::Event};
use eelgrasswell_testbed::engine::answer_text;
use test_case::test_case;
use tonic::Code;

use crate::rig::{Rig, booking_request, config, eventually, model_request, page, read};

const MODELS: &str = "loan-models";
const RECORDS: &str = "loan-records";

/// Guards against lost, doubled or reordered bytes and against wrong token counts.
#[test_case(true ; "streamed")]
#[test_case(false ; "not streamed")]
#[tokio::test]
async fn execute_model_gives_whole_answer_and_bill(stream: bool) {
    let (rig, _link) = Rig::configured(MODELS, "", &config(1)).await;
    let reply = rig.run(model_request("r1", stream, 20)).await;
    assert!(reply.accepted);
    assert_eq!(reply.status, 200);
    assert_eq!(reply.text(), answer_text("loan-desk", "v1", "what is owed", 20));
    assert_eq!(reply.finished().length, reply.body.len() as u64);
    let bill = reply.bill();
    assert_eq!((bill.prompt_tokens, bill.output_tokens, bill.cost_micros), (3, 20, 3 * 2 + 20 * 10));
    assert_eq!((bill.customer.as_str(), bill.router_incarnation), ("reef", 7));
    let runs = rig.engine.runs();
    assert_eq!((runs.len(), runs[0].request_id.as_str(), runs[0].version.as_str()), (1, "r1", "v1"));
}

/// Guards against calls of a plain service that lose their body, idempotency key or price.
#[tokio::test]
async fn execute_service_calls_backend_once() {
    let (rig, _link) = Rig::configured(RECORDS, "", &config(1)).await;
    let reply = rig.run(booking_request("b1")).await;
    assert_eq!(reply.status, 200);
    assert_eq!((reply.bill().cost_micros, reply.bill().service.as_str()), (50, RECORDS));
    let runs = rig.engine.runs();
    assert_eq!(runs.len(), 1);
    let run = &runs[0];
    assert_eq!((run.path.as_str(), run.idempotency_key.as_str(), run.bytes), ("/records/42", "key-1", 7));
}

/// Guards against an inner endpoint that accepts calls without the credential.
#[tokio::test]
async fn inner_endpoint_without_credential_refuses() {
    let (rig, _link) = Rig::configured(MODELS, "", &config(1)).await;
    let mut client = AgentClient::connect(format!("http://{}", rig.inner)).await.unwrap();
    let status = client.execute(model_request("r1", false, 1)).await.unwrap_err();
    assert_eq!(status.code(), Code::Unauthenticated);
    assert!(rig.engine.runs().is_empty());
}

/// Guards against a planned stop that cuts off a stream, loses a bill or accepts new work.
#[tokio::test]
async fn shutdown_finishes_requests_and_hands_over_bills() {
    let (mut rig, mut link) = Rig::configured(MODELS, "", &config(1)).await;
    let mut events = rig.execute(model_request("r1", true, 200)).await;
    while !matches!(events.message().await.unwrap().unwrap().event, Some(Event::Data(_))) {}
    rig.terminate();
    link.until(|beat| beat.leaving).await;
    assert_eq!(rig.run(model_request("r2", true, 1)).await.refusal(), ("leaving", true));
    assert_eq!(page(rig.operators, "/readyz").await.0, 503);
    let mut last = None;
    while let Some(event) = events.message().await.unwrap() {
        last = event.event;
    }
    assert!(matches!(last, Some(Event::Finished(_))), "ended with {last:?}");
    let beat = link.until(|beat| !beat.unsettled.is_empty()).await;
    assert_eq!(beat.unsettled[0].request_id, "r1");
    link.settle(&["r1"]).await;
    assert!(rig.wait_for_exit().await.success());
    assert_eq!(rig.engine.runs().len(), 1);
}

/// Guards against a request that stops when its router disconnects, so that another one cannot resume it.
#[tokio::test]
async fn execute_abandoned_continues_for_resume() {
    let (rig, _link) = Rig::configured(MODELS, "", &config(1)).await;
    let mut events = rig.execute(model_request("r1", true, 50)).await;
    while !matches!(events.message().await.unwrap().unwrap().event, Some(Event::Data(_))) {}
    drop(events);
    let reply = read(rig.resume("r1", "reef", 0).await).await;
    assert_eq!(reply.text(), answer_text("loan-desk", "v1", "what is owed", 50));
    assert_eq!(reply.bill().output_tokens, 50);
    eventually(|| rig.engine.runs()[0].finished.then_some(())).await;
    assert_eq!(rig.engine.runs().len(), 1);
}
