//! Tests of gateway processes with servers that write a refusal late, on a connection that has carried an answer before.

use eelgrasswell_testbed::{
    http::Reply,
    site::{Rig, RigPlan, Script, ScriptedBackend, ScriptedRequest, wait_until},
};
use eyre::{Result, ensure};
use hyper::StatusCode;
use serde_json::json;
use test_case::test_case;

const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\n";
const OTHER: &str = "HTTP/1.1 421 Misdirected Request\r\nx-instance-id: another\r\n";
const PAUSE: &str = "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\nretry-after: 30\r\n";
const LEAVING: &str = "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\nserver-leaving: 1\r\n";
const EARLY_LEAVING: &str =
    "HTTP/1.1 103 Early Hints\r\nserver-leaving: 1\r\n\r\nHTTP/1.1 200 OK\r\nx-response-seal: s\r\n";

/// A response with `head` that names no request.
fn response(head: &str) -> String {
    format!("{head}content-length: 4\r\n\r\ntext")
}

fn answer(id: &str) -> String {
    response(&format!("HTTP/1.1 200 OK\r\nx-response-seal: s\r\nx-attempt-id: {id}\r\n"))
}

fn runs(bytes: String) -> Script {
    Script { runs: true, bytes: bytes.into(), ..Script::default() }
}

fn refuses(bytes: String) -> Script {
    Script { bytes: bytes.into(), ..Script::default() }
}

/// Answers the first request on a connection completely. When the next one has come, runs it and writes `head`.
fn runs_and_refuses_late(req: &ScriptedRequest, head: &str) -> Script {
    runs(if req.number == 0 { answer(&req.id) } else { response(head) })
}

/// Starts one gateway, one sound server and the server `script`.
async fn start(script: impl Fn(&ScriptedRequest) -> Script + Send + Sync + 'static) -> Result<(Rig, ScriptedBackend)> {
    let rig = Rig::start(RigPlan { engines: 1, desks: 1, ..RigPlan::default() }).await?;
    let faulty = ScriptedBackend::bind(script).await?;
    let mut entry = rig.desks[0].store_entry("desk", "v1", "ready");
    entry["address"] = json!(faulty.address.to_string());
    rig.store.put("servers", "faulty", entry);
    wait_until("the server is known", async || rig.gateways[0].log().contains("event=backend_added backend=faulty"))
        .await?;
    Ok((rig, faulty))
}

async fn post(rig: &Rig, path: &str, id: &str) -> Result<Reply> {
    let client = rig.customer("key-a").with("x-attempt-id", id);
    client.post_json(rig.gateways[0].callers, path, &json!({})).await
}

/// Number of times that the request `id` has run at both servers.
fn count_runs(rig: &Rig, faulty: &ScriptedBackend, id: &str) -> usize {
    faulty.count_runs(id) + rig.desks[0].runs().iter().filter(|run| run.id == id).count()
}

/// Guards against a booking that runs twice: a server runs it, but writes a refusal that names no request, and the gateway
/// sends it to a second server. The server must stay in use without a change of the list.
#[test_case(FULL; "refusal")]
#[test_case(OTHER; "another server")]
#[tokio::test]
async fn late_refusal_of_a_booking_that_runs(head: &'static str) -> Result<()> {
    let (rig, faulty) = start(move |req| runs_and_refuses_late(req, head)).await?;
    let (mut sent, mut failed, mut arrivals) = (0, 0, 0);
    wait_until("a booking was refused late and the server got more", async || {
        for _ in 0..10 {
            sent += 1;
            let id = format!("r{sent}");
            let reply = post(&rig, "/book/1", &id).await.expect("the gateway answers");
            assert_eq!(count_runs(&rig, &faulty, &id), 1, "{id} was answered with {}", reply.status);
            assert!([StatusCode::OK, StatusCode::BAD_GATEWAY].contains(&reply.status), "{id}: {}", reply.status);
            failed += usize::from(reply.status == StatusCode::BAD_GATEWAY);
            if failed == 0 {
                arrivals = faulty.arrivals();
            }
        }
        failed > 0 && faulty.arrivals() >= arrivals + 4
    })
    .await?;
    ensure!(rig.gateways[0].log().contains("event=refusal_doubted"), "the refusal is not logged");
    Ok(())
}

/// Guards against a refusal that is not believed although it is the first response on its connection: a booking that no
/// server has run would fail.
#[test_case(FULL, true; "refusal and close")]
#[test_case(FULL, false; "refusal")]
#[test_case(OTHER, false; "another server")]
#[tokio::test]
async fn refusal_on_a_fresh_connection_is_believed(head: &'static str, closes: bool) -> Result<()> {
    let (rig, faulty) = start(move |_| Script { closes, ..refuses(response(head)) }).await?;
    let mut sent = 0;
    wait_until("some bookings were refused", async || {
        sent += 1;
        let id = format!("r{sent}");
        let reply = post(&rig, "/book/1", &id).await.expect("the gateway answers");
        assert_eq!(reply.status, StatusCode::OK, "{id}");
        assert_eq!(count_runs(&rig, &faulty, &id), 1, "{id}");
        // A 421 takes the server out for some seconds.
        faulty.arrivals() >= if head == OTHER { 2 } else { 8 }
    })
    .await
}

/// Guards against bookings that fail because a server which never names requests refuses them on a connection that has
/// carried answers to reads.
#[tokio::test]
async fn booking_goes_over_a_fresh_connection_if_refusals_name_nothing() -> Result<()> {
    let script =
        |req: &ScriptedRequest| if req.id.starts_with('b') { refuses(response(FULL)) } else { runs(answer(&req.id)) };
    let (rig, faulty) = start(script).await?;
    let mut sent = 0;
    // Bookings only, until the server has refused one: it is not known before that it names nothing.
    wait_until("the server refuses a booking", async || {
        sent += 1;
        post(&rig, "/book/1", &format!("b{sent}")).await.is_ok_and(|reply| reply.status == StatusCode::OK)
            && faulty.arrivals() > 0
    })
    .await?;
    let (before, reads) = (faulty.arrivals(), faulty.runs());
    wait_until("the server gets reads and bookings", async || {
        sent += 1;
        let read = post(&rig, "/read/1", &format!("r{sent}")).await.expect("the gateway answers");
        let booking = post(&rig, "/book/1", &format!("b{sent}")).await.expect("the gateway answers");
        assert_eq!((read.status, booking.status), (StatusCode::OK, StatusCode::OK), "r{sent}, b{sent}");
        let new_reads = faulty.runs() - reads;
        new_reads >= 6 && faulty.arrivals() - before - new_reads >= 4
    })
    .await
}

/// Guards against a read that fails because a refusal could not be attributed, although another server can answer it.
#[tokio::test]
async fn late_refusal_of_a_read_costs_a_repeat() -> Result<()> {
    let (rig, faulty) = start(|req| runs_and_refuses_late(req, FULL)).await?;
    let mut sent = 0;
    wait_until("some reads were refused late", async || {
        sent += 1;
        let reply = post(&rig, "/read/1", &format!("r{sent}")).await.expect("the gateway answers");
        assert_eq!(reply.status, StatusCode::OK);
        rig.gateways[0].log().matches("event=refusal_doubted").count() >= 2
    })
    .await?;
    ensure!(faulty.runs() >= 4, "the server got {} reads", faulty.runs());
    Ok(())
}

/// Guards against a server that is held back by a pause or a shutdown in a late response, which it may have announced to
/// another request or not at all.
#[test_case(PAUSE, "event=backend_paused"; "pause")]
#[test_case(LEAVING, "event=backend_leaving"; "shutdown")]
#[test_case(EARLY_LEAVING, "event=backend_leaving"; "shutdown in an interim response")]
#[tokio::test]
async fn late_announcement_does_not_count(head: &'static str, event: &str) -> Result<()> {
    let (rig, faulty) = start(move |req| runs_and_refuses_late(req, head)).await?;
    let mut sent = 0;
    wait_until("the server goes on getting requests", async || {
        sent += 1;
        let reply = post(&rig, "/read/1", &format!("r{sent}")).await.expect("the gateway answers");
        assert_eq!(reply.status, StatusCode::OK);
        let log = rig.gateways[0].log();
        assert!(!log.contains(event), "{event} was logged");
        log.matches("event=announcement_doubted").count() >= 2 && faulty.arrivals() >= 6
    })
    .await
}
