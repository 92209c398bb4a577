//! Checks with real processes that customers reach only their own data, and that endpoints reject peers without
//! credentials.

use eelgrasswell_testbed::{
    fleet::Fleet,
    http::{HttpClient, Reply, grpc_status},
    plan::{FleetPlan, LABASA_KEY, SAVUSAVU_KEY},
};
use eyre::{Result, ensure};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

/// gRPC status code `UNAUTHENTICATED`, for a call without the credential.
const UNAUTHENTICATED: u32 = 16;

async fn chat(fleet: &Fleet, http: &HttpClient) -> Result<Reply> {
    let body = json!({
        "model": "plan-small", "max_tokens": 5, "messages": [{"role": "user", "content": "secret of savusavu"}],
    });
    http.post_json(fleet.routers[0].callers, "/v1/chat/completions", &body).await
}

/// Sends a booking with the idempotency key `key`.
async fn book(fleet: &Fleet, http: &HttpClient, key: &str) -> Result<Reply> {
    let http = http.with("idempotency-key", key);
    http.post_json(fleet.routers[1].callers, "/services/loan-records/dispatch", &json!({"dispatch": 1})).await
}

/// Checks that `reply` is an error with this reason and outcome, and contains nothing of the prompt.
fn ensure_refused(description: &str, reply: &Reply, reason: &str, outcome: &str) -> Result<()> {
    let error = &reply.json()?["error"];
    let refused = error["reason"] == reason && error["outcome"] == outcome && !reply.text().contains("secret");
    ensure!(refused, "{description}: {} {}", reply.status, reply.text());
    Ok(())
}

/// Guards against access to another customer's data by its session id, request id or idempotency key, and against
/// session ids that the caller has altered or forged.
#[tokio::test]
async fn customers_reach_only_their_own_data() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::small()).await?;
    let (savusavu, labasa) = (fleet.customer(SAVUSAVU_KEY), fleet.customer(LABASA_KEY));
    let first = chat(&fleet, &savusavu.with("x-session", "new")).await?;
    ensure!(first.status == StatusCode::OK, "{}", first.text());
    let session = first.header("x-session");
    ensure!(chat(&fleet, &savusavu.with("x-session", session)).await?.status == StatusCode::OK, "own session");

    // A session id has the form `v1.PAYLOAD.CODE`; the code authenticates the rest.
    let (signed, code) = session.rsplit_once('.').ok_or_else(|| eyre::eyre!("malformed session id {session}"))?;
    let (_, other_code) = {
        let other = chat(&fleet, &savusavu.with("x-session", "new")).await?;
        let (signed, code) = other.header("x-session").rsplit_once('.').unwrap_or_default();
        (signed.to_owned(), code.to_owned())
    };
    let payload = signed.strip_prefix("v1.").unwrap_or_default();
    let (start, rest) = payload.split_at(payload.len() / 2);
    let altered = format!("{start}{}{}", if rest.starts_with('A') { 'B' } else { 'A' }, &rest[1..]);
    ensure!(altered != payload, "the payload is not altered");
    let invalid_sessions = [
        ("session id of another customer", &labasa, session.to_owned()),
        ("altered payload", &savusavu, format!("v1.{altered}.{code}")),
        ("code of another session", &savusavu, format!("{signed}.{other_code}")),
        ("missing code", &savusavu, format!("{signed}.")),
        ("wrong prefix", &savusavu, format!("v2.{payload}.{code}")),
        ("text that is no session id", &savusavu, "savusavu".to_owned()),
    ];
    for (description, customer, session) in invalid_sessions {
        let reply = chat(&fleet, &customer.with("x-session", &session)).await?;
        ensure_refused(description, &reply, "session_invalid", "not_run")?;
    }

    let path = format!("/v1/answers/{}?offset=0", first.header("x-request-id"));
    for router in &fleet.routers {
        let own_answer = savusavu.get(router.callers, &path).await?;
        ensure!(own_answer.body == first.body, "the customer's own answer differs: {}", own_answer.text());
        ensure_refused(
            "answer of another customer",
            &labasa.get(router.callers, &path).await?,
            "answer_gone",
            "unknown",
        )?;
    }

    let booked = book(&fleet, &savusavu, "dispatch-1").await?;
    let replayed = book(&fleet, &savusavu, "dispatch-1").await?;
    let by_other_customer = book(&fleet, &labasa, "dispatch-1").await?;
    ensure!(replayed.body == booked.body, "a repeated key did not get the stored answer: {}", replayed.text());
    ensure!(by_other_customer.status == StatusCode::OK, "{}", by_other_customer.text());
    ensure!(
        by_other_customer.header("x-request-id") != booked.header("x-request-id")
            && by_other_customer.body != booked.body,
        "the same key of another customer got the first customer's answer"
    );
    for (description, http) in [("no API key", fleet.http.clone()), ("operators' credential", fleet.operator())] {
        ensure_refused(description, &chat(&fleet, &http).await?, "unauthenticated", "not_run")?;
    }
    Ok(())
}

/// Guards against inner and operators' endpoints that accept calls without the right credential.
#[tokio::test]
async fn endpoints_refuse_peers_without_credential() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::small()).await?;
    let (router, agent) = (&fleet.routers[0], &fleet.agents[0]);
    let wrong_authorizations =
        [None, Some("Bearer "), Some("Bearer wrong"), Some("inner-secret"), Some("Bearer operator-secret")];
    let calls = [
        (router.inner, "Peer", ["Sync", "Report"].as_slice()),
        (router.inner, "Shard", &["Claim", "Complete", "RecordBills", "Draw", "ReadBills"]),
        (agent.inner, "Agent", &["Execute", "Resume", "Resolve", "Link", "Order"]),
    ];
    for (address, service, methods) in calls {
        for method in methods {
            let path = format!("/eelgrasswell.v1.{service}/{method}");
            for authorization in wrong_authorizations {
                let status = grpc_status(address, &path, authorization).await?;
                ensure!(status == UNAUTHENTICATED, "{path} with authorization {authorization:?} got status {status}");
            }
            let status = grpc_status(address, &path, Some("Bearer inner-secret")).await?;
            ensure!(status != UNAUTHENTICATED, "{path} refused the right credential");
        }
    }
    let commands = [
        (Method::GET, "/v1/manifest"),
        (Method::PUT, "/v1/manifest?expected=1"),
        (Method::GET, "/v1/status"),
        (Method::GET, "/v1/hosts"),
        (Method::GET, "/v1/bills/savusavu"),
        (Method::POST, "/v1/domains/ba/out"),
        (Method::POST, "/v1/hosts/agent-0/drain"),
        (Method::POST, "/v1/rollouts/plan-small/v2/start"),
    ];
    let manifest_before = fleet.get_operators(0, "/v1/manifest").await?.json()?;
    for (method, path) in commands {
        for authorization in
            ["", "Bearer ", "Bearer wrong", "operator-secret", "Bearer inner-secret", "Bearer key-savusavu"]
        {
            let http = fleet.http.with("authorization", authorization);
            let reply = http.call(method.clone(), router.operators, path, "{}").await?;
            let body = reply.json().unwrap_or(Value::Null).to_string();
            ensure!(
                reply.status == StatusCode::UNAUTHORIZED && body.contains("unauthorized"),
                "{method} {path} with authorization {authorization:?} got {} {body}",
                reply.status
            );
        }
    }
    let manifest_after = fleet.get_operators(0, "/v1/manifest").await?.json()?;
    ensure!(manifest_after == manifest_before, "a refused command changed the manifest");
    Ok(())
}
