//! What one customer, or a peer without credentials, can reach over real processes.

use eelgrasswell_testbed::{
    fleet::Fleet,
    http::{HttpClient, Reply, grpc_status},
    plan::{FleetPlan, LABASA_KEY, SAVUSAVU_KEY},
};
use eyre::{Result, ensure};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

/// gRPC status of a call without the credential.
const UNAUTHENTICATED: u32 = 16;

async fn chat(fleet: &Fleet, http: &HttpClient) -> Result<Reply> {
    let body = json!({
        "model": "plan-small", "max_tokens": 5, "messages": [{"role": "user", "content": "secret of savusavu"}],
    });
    http.post_json(fleet.routers[0].callers, "/v1/chat/completions", &body).await
}

async fn book(fleet: &Fleet, http: &HttpClient, key: &str) -> Result<Reply> {
    let http = http.with("idempotency-key", key);
    http.post_json(fleet.routers[1].callers, "/services/loan-records/dispatch", &json!({"dispatch": 1})).await
}

fn ensure_refused(what: &str, reply: &Reply, reason: &str, outcome: &str) -> Result<()> {
    let error = &reply.json()?["error"];
    let refused = error["reason"] == reason && error["outcome"] == outcome && !reply.text().contains("secret");
    ensure!(refused, "{what}: {} {}", reply.status, reply.text());
    Ok(())
}

/// Guards against session ids, request ids and idempotency keys that reach another customer's state, and
/// against session ids that their holder has changed or made.
#[tokio::test]
async fn customers_reach_only_their_own() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::small()).await?;
    let (savusavu, labasa) = (fleet.customer(SAVUSAVU_KEY), fleet.customer(LABASA_KEY));
    let first = chat(&fleet, &savusavu.with("x-session", "new")).await?;
    ensure!(first.status == StatusCode::OK, "{}", first.text());
    let session = first.header("x-session");
    ensure!(chat(&fleet, &savusavu.with("x-session", session)).await?.status == StatusCode::OK, "own session");

    let (signed, code) = session.rsplit_once('.').ok_or_else(|| eyre::eyre!("session id {session}"))?;
    let (_, other_code) = {
        let other = chat(&fleet, &savusavu.with("x-session", "new")).await?;
        let (signed, code) = other.header("x-session").rsplit_once('.').unwrap_or_default();
        (signed.to_owned(), code.to_owned())
    };
    let payload = signed.strip_prefix("v1.").unwrap_or_default();
    let (start, rest) = payload.split_at(payload.len() / 2);
    let altered = format!("{start}{}{}", if rest.starts_with('A') { 'B' } else { 'A' }, &rest[1..]);
    ensure!(altered != payload, "the payload is not altered");
    let forgeries = [
        ("id of another customer", &labasa, session.to_owned()),
        ("altered payload", &savusavu, format!("v1.{altered}.{code}")),
        ("code of another session", &savusavu, format!("{signed}.{other_code}")),
        ("no code", &savusavu, format!("{signed}.")),
        ("other prefix", &savusavu, format!("v2.{payload}.{code}")),
        ("no session id", &savusavu, "savusavu".to_owned()),
    ];
    for (what, customer, forged) in forgeries {
        let reply = chat(&fleet, &customer.with("x-session", &forged)).await?;
        ensure_refused(what, &reply, "session_invalid", "not_run")?;
    }

    let path = format!("/v1/answers/{}?offset=0", first.header("x-request-id"));
    for router in &fleet.routers {
        let own = savusavu.get(router.callers, &path).await?;
        ensure!(own.body == first.body, "the own answer: {}", own.text());
        ensure_refused(
            "answer of another customer",
            &labasa.get(router.callers, &path).await?,
            "answer_gone",
            "unknown",
        )?;
    }

    let booked = book(&fleet, &savusavu, "dispatch-1").await?;
    let replayed = book(&fleet, &savusavu, "dispatch-1").await?;
    let others = book(&fleet, &labasa, "dispatch-1").await?;
    ensure!(replayed.body == booked.body, "a repeated key gets the stored answer: {}", replayed.text());
    ensure!(others.status == StatusCode::OK, "{}", others.text());
    ensure!(
        others.header("x-request-id") != booked.header("x-request-id") && others.body != booked.body,
        "the key of another customer got that customer's answer"
    );
    for (what, http) in [("no API key", fleet.http.clone()), ("operators' credential", fleet.operator())] {
        ensure_refused(what, &chat(&fleet, &http).await?, "unauthenticated", "not_run")?;
    }
    Ok(())
}

/// Guards against endpoints for processes and operators that serve peers without the credential.
#[tokio::test]
async fn endpoints_refuse_peers_without_credential() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::small()).await?;
    let (router, agent) = (&fleet.routers[0], &fleet.agents[0]);
    let wrong = [None, Some("Bearer "), Some("Bearer wrong"), Some("inner-secret"), Some("Bearer operator-secret")];
    let calls = [
        (router.inner, "Peer", ["Sync", "Report"].as_slice()),
        (router.inner, "Shard", &["Claim", "Complete", "RecordBills", "Draw", "ReadBills"]),
        (agent.inner, "Agent", &["Execute", "Resume", "Resolve", "Link", "Order"]),
    ];
    for (address, service, methods) in calls {
        for method in methods {
            let path = format!("/eelgrasswell.v1.{service}/{method}");
            for given in wrong {
                let status = grpc_status(address, &path, given).await?;
                ensure!(status == UNAUTHENTICATED, "{path} with {given:?} gave status {status}");
            }
            let status = grpc_status(address, &path, Some("Bearer inner-secret")).await?;
            ensure!(status != UNAUTHENTICATED, "{path} refused the credential");
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
    let before = fleet.get_operators(0, "/v1/manifest").await?.json()?;
    for (method, path) in commands {
        for given in ["", "Bearer ", "Bearer wrong", "operator-secret", "Bearer inner-secret", "Bearer key-savusavu"] {
            let http = fleet.http.with("authorization", given);
            let reply = http.call(method.clone(), router.operators, path, "{}").await?;
            let reason = reply.json().unwrap_or(Value::Null).to_string();
            ensure!(
                reply.status == StatusCode::UNAUTHORIZED && reason.contains("unauthorized"),
                "{method} {path} with {given:?} gave {} {reason}",
                reply.status
            );
        }
    }
    ensure!(fleet.get_operators(0, "/v1/manifest").await?.json()? == before, "a refused command had an effect");
    Ok(())
}
