//! The request filters, run against scripted agents and claims.

mod fake;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use serde_json::json;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use eelgrasswell_core::id::Fence;
use eelgrasswell_daemon::{
    controller::shards::{ClaimEnd, ClaimResult},
    filter::choose,
};
use eelgrasswell_manifest::config::WeightedVersion;
use eelgrasswell_proto::v1::{execute_event::Event, resolve_reply::Fate};

use fake::{Harness, Script, data, failed, finished, finished_with_cost, head, head_with_status, refused};

/// Adds a script for the next `Execute` call at this agent.
fn push_script(harness: &Harness, agent: usize, script: Script) {
    harness.agents[agent].execute.lock().unwrap().push_back(script);
}

/// Guards against responses that lack the request id, the model and version, or the cost.
#[tokio::test]
async fn answers_whole_with_cost_header() {
    let harness = Harness::open(1).await;
    push_script(&harness, 0, Script::End(vec![head(), data(0, "hel"), data(3, "lo"), finished(5)]));
    let reply = harness.chat(json!({"model": "small", "messages": []})).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.body, Bytes::from("hello"));
    assert_eq!((reply.header("x-model"), reply.header("x-version")), ("small", "v1"));
    assert_eq!(reply.header("x-cost-micros"), "11");
    let sent = harness.executed().remove(0);
    assert_eq!(reply.header("x-request-id"), sent.request_id);
    assert!(sent.request_id.ends_with(".host-0"));
    assert_eq!(sent.revision, fake::REVISION.0);
}

/// Guards against delayed or duplicate chunks that corrupt a streamed answer (P7).
#[tokio::test]
async fn streams_each_byte_once() {
    let harness = Harness::open(1).await;
    let events = vec![head(), data(0, "data: 1\n\n"), data(0, "data: 1\n\n"), data(5, " 1\n\nrest"), finished(13)];
    push_script(&harness, 0, Script::End(events));
    let reply = harness.chat(json!({"model": "small", "stream": true})).await;
    assert_eq!(reply.body, Bytes::from("data: 1\n\nrest"));
    assert_eq!(reply.trailers.get("x-cost-micros").unwrap(), "11");
}

/// Guards against a truncated answer when the stream breaks or ends early, and against a gap when bytes are missing.
/// The answer must resume at the next byte, without running the request again.
#[test_case(&[]; "stream ends")]
#[test_case(&[data(5, "f"), finished(6)]; "bytes missing")]
#[test_case(&[finished(6)]; "tail missing")]
#[tokio::test]
async fn resumes_broken_stream_at_offset(after: &[Event]) {
    let harness = Harness::open(1).await;
    push_script(&harness, 0, Script::End([&[head(), data(0, "abc")], after].concat()));
    let rest = Script::End(vec![head(), data(3, "def"), finished(6)]);
    harness.agents[0].resume.lock().unwrap().push_back(rest);
    let reply = harness.chat(json!({"model": "small", "stream": true})).await;
    assert_eq!(reply.body, Bytes::from("abcdef"));
    assert_eq!(harness.executed().len(), 1);
    assert_eq!(harness.agents[0].resumed.lock().unwrap()[0].offset, 3);
}

/// Guards against a retained answer that its caller cannot fetch from an offset.
#[tokio::test]
async fn fetches_held_answer_from_offset() {
    let harness = Harness::open(1).await;
    let retained = Script::End(vec![head(), data(2, "llo"), finished(5)]);
    harness.agents[0].resume.lock().unwrap().push_back(retained);
    let reply = harness.get("/v1/answers/0190-x.host-0?offset=2").await;
    assert_eq!(reply.body, Bytes::from("llo"));
    let resumed = harness.agents[0].resumed.lock().unwrap()[0].clone();
    assert_eq!((resumed.offset, resumed.customer.as_str()), (2, "alma"));
}

/// Guards against failing a request that one agent refused although another agent can run it, and against a second run.
#[tokio::test]
async fn retries_refusal_at_other_agent() {
    let harness = Harness::open(2).await;
    harness.set_running(1, 4);
    push_script(&harness, 0, Script::End(vec![refused("overloaded")]));
    push_script(&harness, 1, Script::End(vec![head(), data(0, "ok"), finished(2)]));
    let reply = harness.chat(json!({"model": "small"})).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert!(reply.header("x-request-id").ends_with(".host-1"));
}

/// Guards against failing a request because one agent is down: without a connection the request was not sent, so
/// another agent can run it.
#[tokio::test]
async fn retries_unsent_request_at_other_agent() {
    let harness = Harness::open(1).await;
    harness.set_running(0, 4);
    harness.add_dead_agent("host-dead").await;
    push_script(&harness, 0, Script::End(vec![head(), data(0, "ok"), finished(2)]));
    let reply = harness.chat(json!({"model": "small"})).await;
    assert_eq!((reply.status, reply.body), (StatusCode::OK, Bytes::from("ok")));
}

/// Guards against a graceful shutdown that cuts a running stream or keeps accepting connections (P11).
#[tokio::test]
async fn shutdown_finishes_running_stream() {
    let mut harness = Harness::open(1).await;
    let (tx, rx) = tokio::sync::mpsc::channel(8);
    push_script(&harness, 0, Script::Live(rx));
    tx.send(head()).await.unwrap();
    tx.send(data(0, "one")).await.unwrap();
    let response = harness.send(harness.chat_request(json!({"model": "small", "stream": true}))).await;
    harness.stop.take().unwrap().send(()).unwrap();
    while tokio::net::TcpStream::connect(harness.address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!harness.served.is_finished());
    tx.send(data(3, "two")).await.unwrap();
    tx.send(finished(6)).await.unwrap();
    assert_eq!(response.into_body().collect().await.unwrap().to_bytes(), Bytes::from("onetwo"));
    harness.served.await.unwrap();
}

/// Guards against a wrong status, reason or outcome when a request is refused before it is sent to an agent.
#[test_case("POST", "/v1/chat/completions", "{", 400, "bad_request"; "not json")]
#[test_case("POST", "/v1/chat/completions", r#"{"model":"none"}"#, 404, "not_found"; "unknown model")]
#[test_case("GET", "/elsewhere", "", 404, "not_found"; "unknown path")]
#[test_case("POST", "/services/booking/book", "{}", 400, "key_missing"; "no idempotency key")]
#[test_case("POST", "/services/booking/other", "{}", 404, "not_found"; "unknown route")]
#[tokio::test]
async fn refuses_before_running(method: &str, path: &str, body: &str, status: u16, reason: &str) {
    let harness = Harness::open(1).await;
    let reply = harness.fetch(harness.request(method, path).body(body.to_owned().into()).unwrap()).await;
    let error = &reply.json()["error"];
    assert_eq!((reply.status.as_u16(), &error["reason"]), (status, &json!(reason)));
    assert_eq!(error["outcome"], "not_run");
    assert!(harness.executed().is_empty());
}

/// Guards against request bodies that exhaust memory.
#[tokio::test]
async fn refuses_large_body() {
    let harness = Harness::open(1).await;
    let limit = harness.router.settings.limits.max_body.0 as usize;
    let body = vec![b' '; limit + 1];
    let reply = harness.fetch(harness.request("POST", "/v1/chat/completions").body(body.into()).unwrap()).await;
    assert_eq!((reply.status, &reply.json()["error"]["reason"]), (StatusCode::PAYLOAD_TOO_LARGE, &json!("too_large")));
}

/// Guards against reporting "not run" for a request that may have run, and "unknown" for one that did not run (P8).
#[test_case(vec![failed("backend_error")], "60000", 502, "unknown"; "failed")]
#[test_case(vec![refused("deadline")], "60000", 504, "not_run"; "refused")]
#[test_case(vec![], "500", 504, "unknown"; "no answer in time")]
#[test_case(vec![], "0", 504, "not_run"; "no time to run")]
#[tokio::test]
async fn failure_has_exact_outcome(events: Vec<Event>, deadline: &str, status: u16, outcome: &str) {
    let harness = Harness::open(1).await;
    push_script(&harness, 0, Script::Hang(events));
    let req = harness.request("POST", "/v1/chat/completions").header("x-deadline-ms", deadline);
    let reply = harness.fetch(req.body(json!({"model": "small"}).to_string().into()).unwrap()).await;
    assert_eq!((reply.status.as_u16(), &reply.json()["error"]["outcome"]), (status, &json!(outcome)));
}

/// Guards against stalled callers that block others: all answers of one agent share a connection.
#[tokio::test]
async fn stalled_callers_do_not_block_others() {
    const CHUNK: usize = fake::WINDOW as usize;
    let harness = Harness::open(1).await;
    let mut stalled = Vec::new();
    let chunk = Bytes::from(vec![b'x'; CHUNK]);
    for _ in 0..60 {
        let mut events = vec![head()];
        events.extend((0..16).map(|n| data((n * CHUNK) as u64, chunk.clone())));
        push_script(&harness, 0, Script::Hang(events));
        stalled.push(harness.send(harness.chat_request(json!({"model": "small", "stream": true}))).await);
    }
    push_script(&harness, 0, Script::End(vec![head(), data(0, chunk), finished(CHUNK as u64)]));
    let reply = harness.chat(json!({"model": "small", "stream": true}));
    let reply = tokio::time::timeout(std::time::Duration::from_secs(20), reply).await;
    assert_eq!(reply.expect("the stalled callers block the answer").body.len(), CHUNK);
}

/// Guards against memory that grows with the number of stalled callers: those above the limit are disconnected, and can
/// fetch the rest of their answers.
#[tokio::test]
async fn stalled_caller_is_disconnected_above_limit() {
    const CHUNK: usize = 16 << 10;
    let harness = Harness::open_with_max_stalled(1, 0).await;
    let (tx, rx) = tokio::sync::mpsc::channel(8);
    push_script(&harness, 0, Script::Live(rx));
    tx.send(head()).await.unwrap();
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut caller = socket.connect(harness.address).await.unwrap();
    let body = json!({"model": "small", "stream": true}).to_string();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: {}\r\n\r\n{body}",
        fake::API_KEY,
        body.len()
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    for n in 0.. {
        let chunk = data(n * CHUNK as u64, vec![0; CHUNK]);
        if tx.send(chunk).await.is_err() {
            break;
        }
    }
    let mut answer = Vec::new();
    // The connection may be reset or closed; in both cases the last chunk is missing.
    let _ = caller.read_to_end(&mut answer).await;
    assert!(answer.starts_with(b"HTTP/1.1 200") && !answer.ends_with(b"\r\n0\r\n\r\n"));
}

/// Guards against returning the failure of a cheap model although a stronger model can answer.
#[test_case(vec![failed("backend_error")]; "failed")]
#[test_case(vec![head_with_status(500), data(0, "no"), finished_with_cost(2, 0)]; "server error")]
#[tokio::test]
async fn escalates_after_failure(events: Vec<Event>) {
    let harness = Harness::open(1).await;
    push_script(&harness, 0, Script::End(events));
    push_script(&harness, 0, Script::End(vec![head(), data(0, "ok"), finished(2)]));
    let reply = harness.chat(json!({"model": "easy"})).await;
    assert_eq!((reply.status, reply.header("x-model")), (StatusCode::OK, "large"));
    let body: serde_json::Value = serde_json::from_slice(&harness.executed()[1].body).unwrap();
    assert_eq!(body["model"], "large");
}

/// Guards against a plain request that loses its path or query, or that carries the API key to the backend server.
#[tokio::test]
async fn passes_plain_request() {
    let harness = Harness::open(1).await;
    push_script(&harness, 0, Script::End(vec![head(), data(0, "room 7"), finished(6)]));
    let reply = harness.get("/services/booking/rooms?free=1").await;
    assert_eq!(reply.body, Bytes::from("room 7"));
    let sent = harness.executed().remove(0);
    assert_eq!((sent.service.as_str(), sent.path.as_str()), ("booking", "/rooms?free=1"));
    assert!(sent.headers.iter().all(|h| h.name != "authorization"));
}

/// Builds a non-idempotent request with an idempotency key.
fn booking_request(harness: &Harness) -> hyper::Request<http_body_util::Full<Bytes>> {
    let req = harness.request("POST", "/services/booking/book").header("idempotency-key", "k1");
    req.body("{}".into()).unwrap()
}

/// Guards against a non-idempotent request that runs without a claim, or whose answer is not stored (P9).
#[tokio::test]
async fn booking_runs_with_claim() {
    let harness = Harness::open(1).await;
    harness.backends.claims.lock().unwrap().push_back(ClaimResult::Granted(Fence(9)));
    push_script(&harness, 0, Script::End(vec![head(), data(0, "booked"), finished(6)]));
    let reply = harness.fetch(booking_request(&harness)).await;
    assert_eq!(reply.body, Bytes::from("booked"));
    let sent = harness.executed().remove(0);
    assert_eq!((sent.claim_fence, sent.idempotent), (9, false));
    let completed = harness.backends.completed.lock().unwrap().remove(0);
    assert_eq!(completed.0.as_str(), sent.request_id);
    assert_eq!(completed.1, ClaimEnd::Done { status: 200, body: Some(Bytes::from("booked")) });
}

/// Guards against a non-idempotent request that is interrupted, or whose answer is not stored, when its caller
/// disconnects, also during a graceful shutdown (P11).
#[tokio::test]
async fn booking_outlives_its_caller() {
    let mut harness = Harness::open(1).await;
    harness.backends.claims.lock().unwrap().push_back(ClaimResult::Granted(Fence(9)));
    let (tx, rx) = tokio::sync::mpsc::channel(8);
    push_script(&harness, 0, Script::Live(rx));
    tokio::select! {
        _ = harness.fetch(booking_request(&harness)) => unreachable!("the agent has not answered"),
        () = wait_until(|| !harness.executed().is_empty()) => {}
    }
    harness.stop.take().unwrap().send(()).unwrap();
    for event in [head(), data(0, "booked"), finished(6)] {
        assert!(!harness.served.is_finished());
        tx.send(event).await.unwrap();
    }
    harness.served.await.unwrap();
    let end = harness.backends.completed.lock().unwrap().remove(0).1;
    assert_eq!(end, ClaimEnd::Done { status: 200, body: Some(Bytes::from("booked")) });
}

/// Guards against a queued request that still runs after its caller has disconnected.
#[tokio::test]
async fn abandoned_request_is_barred() {
    let harness = Harness::open(1).await;
    push_script(&harness, 0, Script::Hang(vec![]));
    harness.agents[0].resolve.lock().unwrap().push_back(Fate::Barred);
    tokio::select! {
        _ = harness.chat(json!({"model": "small"})) => unreachable!("the agent has not answered"),
        () = wait_until(|| !harness.executed().is_empty()) => {}
    }
    wait_until(|| harness.agents[0].resolve.lock().unwrap().is_empty()).await;
}

/// Waits until other tasks have made `condition` true.
async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

/// Guards against a second run of a non-idempotent request that has already run (P9).
#[tokio::test]
async fn booking_replays_stored_answer() {
    let harness = Harness::open(1).await;
    let done = ClaimResult::Done { request_id: "u.host-0".into(), status: 201, body: Some(Bytes::from("booked")) };
    harness.backends.claims.lock().unwrap().push_back(done);
    let reply = harness.fetch(booking_request(&harness)).await;
    assert_eq!((reply.status, reply.body), (StatusCode::CREATED, Bytes::from("booked")));
    assert!(harness.executed().is_empty());
}

/// Guards against a non-idempotent request that stays blocked, or runs twice, after the router of its first attempt has
/// died (P9).
#[test_case(Fate::Barred, 200, 1; "barred attempt is replaced")]
#[test_case(Fate::Running, 409, 0; "running attempt blocks")]
#[test_case(Fate::Unknown, 502, 0; "unknown attempt is not repeated")]
#[tokio::test]
async fn booking_settles_pending_claim(fate: Fate, status: u16, runs: usize) {
    let harness = Harness::open(1).await;
    let pending = ClaimResult::Pending {
        request_id: "u.host-0".into(),
        agent: "host-0".into(),
        agent_incarnation: fake::INCARNATION,
    };
    harness.backends.claims.lock().unwrap().extend([pending, ClaimResult::Granted(Fence(2))]);
    harness.agents[0].resolve.lock().unwrap().push_back(fate);
    push_script(&harness, 0, Script::End(vec![head(), data(0, "booked"), finished(6)]));
    let reply = harness.fetch(booking_request(&harness)).await;
    assert_eq!((reply.status.as_u16(), harness.executed().len()), (status, runs));
    if runs > 0 {
        assert_eq!(harness.backends.claimed.lock().unwrap()[1].barred, Some("u.host-0".into()));
    }
}

/// Guards against a claim that stays with an agent that refused the request.
#[tokio::test]
async fn booking_moves_after_refusal() {
    let harness = Harness::open(2).await;
    harness.set_running(1, 4);
    let granted = [ClaimResult::Granted(Fence(1)), ClaimResult::Granted(Fence(2))];
    harness.backends.claims.lock().unwrap().extend(granted);
    push_script(&harness, 0, Script::End(vec![refused("leaving")]));
    harness.agents[0].resolve.lock().unwrap().push_back(Fate::Barred);
    push_script(&harness, 1, Script::End(vec![head(), data(0, "booked"), finished(6)]));
    let reply = harness.fetch(booking_request(&harness)).await;
    assert_eq!(reply.body, Bytes::from("booked"));
    let claimed = harness.backends.claimed.lock().unwrap();
    assert_eq!(claimed[1].barred.as_ref(), Some(&claimed[0].request_id));
    assert_eq!(claimed[1].agent.as_str(), "host-1");
}

/// Guards against a second run of a non-idempotent request whose connection to the agent was lost after sending (P9).
#[test_case(Fate::Running, "unknown", 0; "may have run")]
#[test_case(Fate::Barred, "not_run", 1; "confirmed not run")]
#[tokio::test]
async fn booking_is_not_repeated_after_loss(fate: Fate, outcome: &str, released: usize) {
    let harness = Harness::open(2).await;
    harness.set_running(1, 4);
    harness.backends.claims.lock().unwrap().push_back(ClaimResult::Granted(Fence(1)));
    push_script(&harness, 0, Script::End(vec![]));
    harness.agents[0].resolve.lock().unwrap().push_back(fate);
    let reply = harness.fetch(booking_request(&harness)).await;
    assert_eq!(reply.json()["error"]["outcome"], outcome);
    assert_eq!((harness.executed().len(), harness.backends.completed.lock().unwrap().len()), (1, released));
}

/// Guards against an unresponsive connection that blocks a caller, or that makes the request run again.
#[tokio::test]
async fn unresponsive_connection_is_resumed() {
    let harness = Harness::open(1).await;
    push_script(&harness, 0, Script::Hang(vec![head(), data(0, "abc")]));
    let once = Script::Fail(tonic::Status::unavailable("once"));
    let rest = Script::End(vec![data(0, "abcdef"), finished(6)]);
    harness.agents[0].resume.lock().unwrap().extend([once, rest]);
    let reply = harness.chat(json!({"model": "small", "stream": true})).await;
    assert_eq!((reply.body, harness.executed().len()), (Bytes::from("abcdef"), 1));
}

/// Guards against failing an idempotent request whose agent died before it delivered any byte of the answer.
#[test_case(Script::Fail(tonic::Status::not_found("unknown")); "unknown request")]
#[test_case(Script::End(vec![failed("answer_gone")]); "answer gone")]
#[tokio::test]
async fn idempotent_request_runs_at_other_agent_after_loss(resume: Script) {
    let harness = Harness::open(2).await;
    harness.set_running(1, 4);
    push_script(&harness, 0, Script::End(vec![]));
    harness.agents[0].resume.lock().unwrap().push_back(resume);
    push_script(&harness, 1, Script::End(vec![head(), data(0, "ok"), finished(2)]));
    let reply = harness.chat(json!({"model": "small"})).await;
    assert_eq!(reply.body, Bytes::from("ok"));
    assert_eq!(harness.agents[0].resumed.lock().unwrap().len(), 1);
}

/// Edits a configuration so that version v2 of model `small` is in rollout at full weight.
fn start_rollout(config: &mut serde_json::Value) {
    config["manifest"]["models"]["small"]["rollout"] = json!({"version": "v2"});
    let status = json!({"baseline": "v1", "step": 4, "permille": 1000, "phase": "running"});
    config["rollouts"]["small/v2"] = status;
}

/// Sends a chat request with this session header to an agent that answers it, and returns the reply.
async fn chat_in_session(harness: &Harness, session: &str) -> fake::Reply {
    push_script(harness, 0, Script::End(vec![head(), data(0, "ok"), finished(2)]));
    let req = harness.request("POST", "/v1/chat/completions").header("x-session", session);
    harness.fetch(req.body(json!({"model": "small"}).to_string().into()).unwrap()).await
}

/// Guards against a session that changes its version when the rollout weights change (P3).
#[tokio::test]
async fn session_keeps_version() {
    let harness = Harness::open(1).await;
    let first = chat_in_session(&harness, "new").await;
    assert_eq!(first.header("x-version"), "v1");
    harness.reconfigure(start_rollout);
    let pinned = chat_in_session(&harness, first.header("x-session")).await;
    let fresh = chat_in_session(&harness, "new").await;
    assert_eq!((pinned.header("x-version"), fresh.header("x-version")), ("v1", "v2"));
    assert!(harness.executed()[1].pinned);
}

/// Guards against ending a session whose version was closed, and against continuing a session whose version was
/// withdrawn or moving it to another version (P2, P3).
#[test_case("closed", 200, ""; "closed version continues")]
#[test_case("withdrawn", 410, "version_withdrawn"; "withdrawn version is refused")]
#[tokio::test]
async fn session_follows_version_state(state: &str, status: u16, reason: &str) {
    let harness = Harness::open(1).await;
    let first = chat_in_session(&harness, "new").await;
    harness.reconfigure(|config| config["manifest"]["models"]["small"]["versions"]["v1"]["state"] = json!(state));
    let reply = chat_in_session(&harness, first.header("x-session")).await;
    assert_eq!(reply.status.as_u16(), status);
    if !reason.is_empty() {
        let error = &reply.json()["error"];
        assert_eq!((&error["reason"], &error["outcome"]), (&json!(reason), &json!("not_run")));
    }
}

/// Guards against accepting a session id that was issued to another customer, was altered, or is for another model.
#[tokio::test]
async fn session_of_other_customer_is_refused() {
    let harness = Harness::open(1).await;
    let (model, version) = ("small".into(), "v1".into());
    let other = harness.router.sessions.issue(&"berta".into(), &model, &version).unwrap();
    let large = harness.router.sessions.issue(&"alma".into(), &"large".into(), &version).unwrap();
    let own = harness.router.sessions.issue(&"alma".into(), &model, &version).unwrap();
    for session in [other, large, format!("{own}A"), "v1.x".into()] {
        let reply = chat_in_session(&harness, &session).await;
        assert_eq!((reply.status.as_u16(), &reply.json()["error"]["reason"]), (403, &json!("session_invalid")));
    }
    assert!(harness.executed().is_empty());
}

/// Guards against new work for a version in rollout at a router that may have missed the withdrawal of the version
/// because its configuration is stale (P2), and against shares of the versions that differ from the weights.
#[test_case(250, false, 250; "rollout weight")]
#[test_case(250, true, 0; "stale configuration")]
#[test_case(1000, true, 0; "stale configuration at full weight")]
#[test_case(1000, false, 1000; "full weight")]
fn pick_by_weight_shares(permille: u32, stale: bool, expected: u64) {
    let weights = [("v2", permille, true), ("v1", 1000 - permille, false)];
    let weights = weights.map(|(v, permille, in_rollout)| WeightedVersion { version: v.into(), permille, in_rollout });
    let picked = (0..1000).map(|hash| choose::pick_by_weight(&weights, stale, hash).unwrap());
    assert_eq!(picked.filter(|version| version.as_str() == "v2").count() as u64, expected);
}

/// Guards against a second run and a second bill of a request that its agent runs although the router lost the
/// connection (P4).
#[test_case(Fate::Running, 1, "unknown"; "running")]
#[test_case(Fate::Unknown, 1, "unknown"; "ended")]
#[test_case(Fate::Barred, 2, ""; "not run")]
#[tokio::test]
async fn lost_request_follows_its_fate(fate: Fate, runs: usize, outcome: &str) {
    let harness = Harness::open(2).await;
    harness.set_running(1, 4);
    push_script(&harness, 0, Script::End(vec![]));
    harness.agents[0].resolve.lock().unwrap().push_back(fate);
    push_script(&harness, 1, Script::End(vec![head(), data(0, "{}"), finished(2)]));
    let reply = harness.chat(json!({"model": "small"})).await;
    assert_eq!(harness.executed().len(), runs);
    assert_eq!(reply.json()["error"]["outcome"].as_str().unwrap_or_default(), outcome);
}
