//! Tests of gateway processes with servers that continue a stream with something else.

use std::time::Duration;

use eelgrasswell_testbed::site::{FakeBackend, Rig, RigPlan, event};
use eyre::{Result, ensure};
use futures::future::join_all;
use hyper::{Method, StatusCode};
use serde_json::json;
use test_case::test_case;

fn event_text(range: std::ops::RangeInclusive<usize>) -> String {
    range.map(|number| event(number, "small")).collect()
}

fn confident(engine: &FakeBackend) {
    engine.set_behaviour(|behaviour| behaviour.confidence = [("small".into(), 80)].into());
}

/// Guards against bytes in the middle of a stream that are no events of it, and against a stream that ends there as if it
/// were complete: a server breaks off within an event, and the next one answers with something else.
#[test_case("", "upstream failed\n\n"; "text of an error")]
#[test_case("", "HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n\r\nupstream failed"; "a whole head")]
#[test_case("", "error: upstream failed\r\n\r\n"; "text with a colon")]
#[test_case("application/json", "{\"error\": \"upstream failed\"}\n\n"; "another media type")]
#[test_case("text/event-stream", "id: 1\ndata: piece 1 by small\n\n"; "events from the start")]
#[test_case("text/event-stream", "id: 3\nda"; "half an event")]
#[test_case("text/event-stream", ""; "no event")]
#[tokio::test]
async fn stream_is_not_continued_with(media_type: &str, body: &str) -> Result<()> {
    let rig = Rig::start(RigPlan { engines: 3, ..RigPlan::default() }).await?;
    rig.engines.iter().for_each(confident);
    rig.engines[0].set_behaviour(|behaviour| behaviour.cut_in_event = Some(3));
    rig.engines[1].set_behaviour(|behaviour| behaviour.resumed = Some((media_type.into(), body.into())));
    let mut resumed = 0;
    for round in 0..8 {
        let streams = (0..6).map(|n| {
            let client = rig.chat(&format!("s{round}-{n}"));
            let callers = rig.gateways[0].callers;
            async move { client.post_json(callers, "/chat/1", &json!({})).await }
        });
        for reply in join_all(streams).await {
            // An error means that the connection was closed without the end of the body.
            let Ok(reply) = reply else { continue };
            assert!(reply.status != StatusCode::OK || reply.text() == event_text(1..=5), "got {:?}", reply.text());
        }
        resumed += rig.engines[1].runs().iter().filter(|run| !run.header("last-event-id").is_empty()).count();
    }
    ensure!(resumed > 0, "no stream was resumed at the faulty server");
    Ok(())
}

/// Number of requests after which each of two servers without load must have got one; which gets the next is random.
const MAX_SENDS_TO_BOTH: usize = 60;

/// Guards against a stream that is held back until its end because the answer before it, which broke off, was none.
#[tokio::test]
async fn stream_after_broken_answer_is_relayed_as_it_arrives() -> Result<()> {
    let rig = Rig::start(RigPlan { engines: 2, ..RigPlan::default() }).await?;
    rig.engines.iter().for_each(confident);
    rig.engines[0].set_behaviour(|behaviour| behaviour.breaks_refusal = true);
    rig.engines[1].set_behaviour(|behaviour| behaviour.pause = Duration::from_millis(300));
    for n in 0..MAX_SENDS_TO_BOTH {
        if n >= 6 && !rig.engines[0].runs().is_empty() {
            break;
        }
        let client = rig.chat(&format!("s{n}")).with("content-type", "application/json");
        let response = client.send(Method::POST, rig.gateways[0].callers, "/chat/1", "{}".into()).await?;
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(rig.engines[1].streams(), 1, "the head came only after the end of the stream");
    }
    ensure!(!rig.engines[0].runs().is_empty(), "no request went to the faulty server");
    Ok(())
}
