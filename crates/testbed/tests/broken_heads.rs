//! Tests of gateway processes with servers that break off in the head of an answer, or send a head without an end.

use eelgrasswell_testbed::site::{Rig, RigPlan, Script, ScriptedBackend, ScriptedRequest, wait_until};
use eyre::{Result, ensure};
use hyper::StatusCode;
use serde_json::json;
use test_case::test_case;

/// Size of a head that has no end, in bytes.
const ENDLESS_HEAD: usize = 64 << 20;
/// Memory that the gateway may need more while it receives such heads, in megabytes.
const MAX_GROWTH_MB: f64 = 16.0;

/// The head of a whole answer with a body, cut after `length` bytes.
fn cut_head(req: &ScriptedRequest, length: usize) -> Script {
    let head =
        format!("HTTP/1.1 200 OK\r\nx-response-seal: s\r\nx-attempt-id: {}\r\ncontent-length: 4\r\n\r\n", req.id);
    Script { runs: true, bytes: head.as_bytes()[..length.min(head.len())].to_vec(), closes: true }
}

fn endless_head(_: &ScriptedRequest) -> Script {
    let field = format!("x-filler: {}\r\n", "x".repeat(1_000));
    let bytes = format!("HTTP/1.1 200 OK\r\n{}", field.repeat(ENDLESS_HEAD / field.len()));
    Script { runs: true, bytes: bytes.into(), closes: false }
}

/// A rig whose plain service has one sound server and one with the given script.
async fn start(script: fn(&ScriptedRequest) -> Script) -> Result<(Rig, ScriptedBackend)> {
    let rig = Rig::start(RigPlan { engines: 1, desks: 1, ..RigPlan::default() }).await?;
    let faulty = ScriptedBackend::bind(script).await?;
    let mut entry = rig.desks[0].store_entry("desk", "v1", "ready");
    entry["address"] = json!(faulty.address.to_string());
    rig.store.put("servers", "faulty", entry);
    Ok((rig, faulty))
}

/// Guards against an answer with an empty or short body that is framed as whole, because its server stopped in the head.
#[test_case(|req| cut_head(req, 0); "before the head")]
#[test_case(|req| cut_head(req, 9); "in the status")]
#[test_case(|req| cut_head(req, 17); "after the status line")]
#[test_case(|req| cut_head(req, 37); "after the seal")]
#[test_case(|req| cut_head(req, 45); "in a field")]
#[test_case(|req| cut_head(req, 1_000); "after the head")]
#[tokio::test]
async fn answer_cut_in_head_is_not_passed_on(script: fn(&ScriptedRequest) -> Script) -> Result<()> {
    let (rig, faulty) = start(script).await?;
    let mut sent = 0;
    wait_until("the faulty server has got a booking and a read", async || {
        for path in ["/book/1", "/read/1"] {
            sent += 1;
            let client = rig.customer("key-a").with("x-attempt-id", &format!("r{sent}"));
            let reply = client.post_json(rig.gateways[0].callers, path, &json!({})).await.expect("the gateway answers");
            let is_whole = reply.status == StatusCode::OK && reply.text() == "done by desk-0";
            let is_failure = path == "/book/1" && reply.status == StatusCode::BAD_GATEWAY;
            assert!(is_whole || is_failure, "{path}: {} {:?}", reply.status, reply.text());
        }
        faulty.runs() >= 6
    })
    .await
}

/// Guards against a gateway that keeps a head without an end in memory until it is out of memory.
#[tokio::test]
async fn endless_head_is_given_up() -> Result<()> {
    let (rig, faulty) = start(endless_head).await?;
    let before = rig.gateways[0].process.memory_mb()?;
    let mut sent = 0;
    wait_until("the faulty server has got three requests", async || {
        sent += 1;
        let client = rig.customer("key-a").with("x-attempt-id", &format!("r{sent}"));
        let reply =
            client.post_json(rig.gateways[0].callers, "/book/1", &json!({})).await.expect("the gateway answers");
        assert!([StatusCode::OK, StatusCode::BAD_GATEWAY].contains(&reply.status), "{}", reply.status);
        faulty.runs() >= 3
    })
    .await?;
    let growth = rig.gateways[0].process.memory_mb()? - before;
    ensure!(growth < MAX_GROWTH_MB, "the gateway needs {growth} MB more");
    Ok(())
}
