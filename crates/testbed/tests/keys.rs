//! Tests of gateway processes with keys that a change of the configuration takes out.

use eelgrasswell_testbed::{
    http::HttpClient,
    site::{Rig, RigPlan, config, wait_until},
};
use eyre::Result;
use hyper::StatusCode;
use serde_json::{Value, json};
use test_case::test_case;

/// The rig's configuration with `tenants`, and with the route `read` open to callers without a key.
fn config_with(version: u64, tenants: Option<Value>) -> Value {
    let mut config = config(version);
    config["routes"][2]["anonymous"] = json!(true);
    match tenants {
        Some(tenants) => config["tenants"] = tenants,
        None => drop(config.as_object_mut().expect("it is an object").remove("tenants")),
    }
    config
}

async fn start_with(tenants: Option<Value>) -> Result<Rig> {
    let rig = Rig::start(RigPlan { engines: 1, desks: 1, ..RigPlan::default() }).await?;
    rig.store.put("config", "main", config_with(2, tenants));
    wait_until("the configuration is in force", async || {
        rig.gateways[0].log().contains("event=config_adopted config=2")
    })
    .await?;
    Ok(rig)
}

/// Status of a request to `path` with `key`, or without a key.
async fn status(rig: &Rig, path: &str, key: Option<&str>) -> Result<StatusCode> {
    let client = match key {
        Some(key) => rig.customer(key),
        None => HttpClient::without_headers().with("host", "site.example"),
    };
    Ok(client.with("x-attempt-id", "r1").post_json(rig.gateways[0].callers, path, &json!({})).await?.status)
}

/// Guards against a configuration that lets each key in because it lists no customer any more (issue 34).
#[test_case(json!([]); "last customer")]
#[test_case(json!([{ "name": "customer-a", "api_keys": [] }]); "last key of a customer")]
#[tokio::test]
async fn nobody_is_admitted_without_keys(tenants: Value) -> Result<()> {
    let rig = start_with(Some(tenants)).await?;
    for key in [Some("key-a"), Some("key-z"), None] {
        assert_eq!(status(&rig, "/book/1", key).await?, StatusCode::UNAUTHORIZED, "{key:?}");
    }
    assert!(rig.desks[0].runs().is_empty());
    Ok(())
}

/// Guards against a withdrawn or mistyped key that goes unnoticed on an anonymous route, where its requests run without the
/// customer's limits and priority.
#[test_case(json!([]), "key-a"; "last customer taken out")]
#[test_case(json!([{ "name": "customer-a", "api_keys": [] }]), "key-a"; "last key of a customer taken out")]
#[test_case(json!([{ "name": "customer-a", "api_keys": ["key-a"] }]), "key-a2"; "one key withdrawn")]
#[test_case(json!([{ "name": "customer-a", "api_keys": ["key-a"] }]), "key-z"; "unknown key")]
#[tokio::test]
async fn unknown_key_on_anonymous_route(tenants: Value, key: &str) -> Result<()> {
    let rig = start_with(Some(tenants)).await?;
    assert_eq!(status(&rig, "/read/1", Some(key)).await?, StatusCode::UNAUTHORIZED);
    assert!(rig.desks[0].runs().is_empty());
    assert_eq!(status(&rig, "/read/1", None).await?, StatusCode::OK);
    Ok(())
}

/// Guards against a deployment without customers that refuses its callers.
#[tokio::test]
async fn configuration_without_customer_list_is_open() -> Result<()> {
    let rig = start_with(None).await?;
    for key in [Some("key-a"), None] {
        assert_eq!(status(&rig, "/book/1", key).await?, StatusCode::OK, "{key:?}");
    }
    Ok(())
}
