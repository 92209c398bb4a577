//! Tests of gateway processes with servers that write a refusal again.

use eelgrasswell_testbed::site::{Rig, RigPlan, Script, ScriptedBackend, ScriptedRequest, wait_until};
use eyre::Result;
use hyper::StatusCode;
use serde_json::json;
use test_case::test_case;

/// Fields of a refusal that name the request `id`.
fn naming(id: &str) -> String {
    format!("x-attempt-id: {id}\r\n")
}

fn refusal(status: &str, fields: &str) -> String {
    format!("HTTP/1.1 {status}\r\nx-not-executed: 1\r\n{fields}content-length: 4\r\n\r\nfull")
}

fn success(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nx-response-seal: s\r\n{}content-length: 4\r\n\r\ndone", naming(id))
}

/// Refuses the first request on each connection, and runs the others, but writes the first refusal once more before their
/// answers.
fn refuses_again(req: &ScriptedRequest, status: &str, names: bool) -> Script {
    let first = refusal(status, &if names { naming(&req.first_id) } else { String::new() });
    if req.number == 0 {
        return Script { bytes: first.into(), ..Script::default() };
    }
    Script { runs: true, bytes: (first + &success(&req.id)).into(), ..Script::default() }
}

/// Writes each refusal twice at once, and runs every second request on a connection.
fn refuses_twice(req: &ScriptedRequest, names: bool) -> Script {
    let refusal = refusal("503 Service Unavailable", &if names { naming(&req.id) } else { String::new() });
    match req.number % 2 {
        0 => Script { bytes: (refusal.clone() + &refusal).into(), ..Script::default() },
        _ => Script { runs: true, bytes: success(&req.id).into(), ..Script::default() },
    }
}

const FULL: &str = "503 Service Unavailable";
const OTHER: &str = "421 Misdirected Request";

/// Paths of bookings and reads, with the number of servers that one of them may run on.
const BOOK: (&str, usize) = ("/book/1", 1);
const READ: (&str, usize) = ("/read/1", 2);

/// Guards against an earlier refusal on a kept connection that is taken for the response to the next request: a caller is
/// told that the request was not run although it was, or it runs at more servers than it may. `reuses` tells whether the gateway
/// may send a second request on the connection. In the other cases it closes the connection before, or sends bookings over new
/// connections because the server names no requests.
#[test_case(BOOK, |req| refuses_again(req, FULL, false), false; "again without a name")]
#[test_case(READ, |req| refuses_again(req, FULL, false), true; "again without a name, read")]
#[test_case(BOOK, |req| refuses_again(req, FULL, true), true; "again with the name of the first")]
#[test_case(BOOK, |req| refuses_again(req, OTHER, false), false; "another server again")]
#[test_case(BOOK, |req| refuses_twice(req, false), false; "twice without a name")]
#[test_case(BOOK, |req| refuses_twice(req, true), false; "twice with its name")]
#[tokio::test]
async fn earlier_refusal_is_not_believed(
    (path, max_runs): (&str, usize),
    script: fn(&ScriptedRequest) -> Script,
    reuses: bool,
) -> Result<()> {
    let rig = Rig::start(RigPlan { engines: 1, desks: 1, ..RigPlan::default() }).await?;
    let faulty = ScriptedBackend::bind(script).await?;
    let mut entry = rig.desks[0].store_entry("desk", "v1", "ready");
    entry["address"] = json!(faulty.address.to_string());
    rig.store.put("servers", "faulty", entry.clone());
    let mut sent = 0;
    wait_until("the faulty server has got requests", async || {
        // A server that has said that another one is at its address is used again once the list names it anew.
        entry["sequence"] = json!(2 + sent);
        rig.store.put("servers", "faulty", entry.clone());
        for _ in 0..10 {
            sent += 1;
            let id = format!("r{sent}");
            let client = rig.customer("key-a").with("x-attempt-id", &id);
            let reply = client.post_json(rig.gateways[0].callers, path, &json!({})).await;
            let runs = faulty.count_runs(&id) + rig.desks[0].runs().iter().filter(|run| run.id == id).count();
            assert!(runs <= max_runs, "{id} ran {runs} times");
            let status = reply.expect("the gateway answers").status;
            assert!(runs == 0 || status != StatusCode::SERVICE_UNAVAILABLE, "{id} ran and was answered with {status}");
        }
        faulty.arrivals() >= 8 && (faulty.runs() >= 3 || !reuses)
    })
    .await
}
