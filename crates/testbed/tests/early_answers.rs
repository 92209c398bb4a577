//! Tests of gateway processes with servers that answer before they have read a whole upload, or with an undefined status.

use eelgrasswell_testbed::site::{
    BodyRead, Rig, RigPlan, Script, ScriptedBackend, ScriptedRequest, config, wait_until,
};
use eyre::Result;
use hyper::StatusCode;
use serde_json::json;
use test_case::test_case;

/// Part of an answer that its server does not complete.
const PART: &str = "part of an answer";

/// An answer that only the end of its connection ends.
fn answer_without_length(status: u16, req: &ScriptedRequest) -> Script {
    let head = format!("HTTP/1.1 {status:03} Status\r\nx-response-seal: s\r\nx-attempt-id: {}\r\n\r\n", req.id);
    Script { runs: true, bytes: (head + PART).into(), closes: true }
}

/// A rig that takes uploads of 5 MB, whose plain service has one sound server and the faulty one.
async fn start(faulty: &ScriptedBackend) -> Result<Rig> {
    let rig = Rig::start(RigPlan { engines: 1, desks: 1, ..RigPlan::default() }).await?;
    let mut entry = rig.desks[0].store_entry("desk", "v1", "ready");
    entry["address"] = json!(faulty.address.to_string());
    rig.store.put("servers", "faulty", entry);
    let mut large = config(2);
    large["limits"]["max_body_bytes"] = json!(5_000_000);
    rig.store.put("config", "main", large);
    wait_until("the configuration is in force", async || {
        rig.gateways[0].log().contains("event=config_adopted config=2")
    })
    .await?;
    Ok(rig)
}

/// Sends bookings and reads with uploads of `size` bytes until the faulty server has run six requests. Returns statuses and
/// bodies of the answers, by path; a closed connection counts as 502.
async fn send_uploads(rig: &Rig, faulty: &ScriptedBackend, size: usize) -> Result<Vec<(&'static str, u16, String)>> {
    let (upload, mut replies) = ("u".repeat(size), Vec::new());
    wait_until("the faulty server has got six requests", async || {
        for path in ["/book/1", "/read/1"] {
            let client = rig.customer("key-a").with("x-attempt-id", &format!("r{}", replies.len()));
            let reply = client.post_json(rig.gateways[0].callers, path, &json!(upload)).await;
            replies.push(match reply {
                Ok(reply) => (path, reply.status.as_u16(), reply.text()),
                Err(_) => (path, StatusCode::BAD_GATEWAY.as_u16(), String::new()),
            });
        }
        faulty.runs() >= 6
    })
    .await?;
    Ok(replies)
}

/// Guards against a part of an answer that is passed on as the whole: its server ends its side while the upload is still
/// being written, and resets the connection then (issue 46, MIXED).
#[test_case(0, 400_000; "at once")]
#[test_case(0, 4_000_000; "at once, large upload")]
#[test_case(300_000, 1_000_000; "after a part")]
#[test_case(300_000, 4_000_000; "after a part, large upload")]
#[tokio::test]
async fn part_of_early_answer_is_not_passed_on(read: usize, size: usize) -> Result<()> {
    let faulty = ScriptedBackend::bind_reading(BodyRead::Bytes(read), |req| answer_without_length(200, req)).await?;
    let rig = start(&faulty).await?;
    for (path, status, body) in send_uploads(&rig, &faulty, size).await? {
        let is_whole = status == 200 && body == "done by desk-0";
        assert!(is_whole || status == 502, "{path}: {status} {body:?}");
    }
    Ok(())
}

/// Guards against a whole answer without a length that is taken for a part.
#[test_case(10; "short upload")]
#[test_case(1_000_000; "long upload")]
#[tokio::test]
async fn answer_after_whole_upload_is_passed_on(size: usize) -> Result<()> {
    let sound = ScriptedBackend::bind(|req| answer_without_length(200, req)).await?;
    let rig = start(&sound).await?;
    for (path, status, body) in send_uploads(&rig, &sound, size).await? {
        assert!(status == 200 && (body == PART || body == "done by desk-0"), "{path}: {status} {body:?}");
    }
    Ok(())
}

/// Guards against statuses that HTTP does not define, which callers can't read.
#[test_case(0)]
#[test_case(99)]
#[test_case(600)]
#[test_case(999)]
#[tokio::test]
async fn undefined_status_is_not_passed_on(status: u16) -> Result<()> {
    let faulty = ScriptedBackend::bind(move |req| answer_without_length(status, req)).await?;
    let rig = start(&faulty).await?;
    for (path, status, body) in send_uploads(&rig, &faulty, 10).await? {
        let is_whole = status == 200 && body == "done by desk-0";
        assert!(is_whole || status == 502, "{path}: {status} {body:?}");
    }
    Ok(())
}
