//! Tests of gateway processes with keys that a change of the configuration takes out.

use std::time::Duration;

use eelgrasswell_testbed::{
    http::HttpClient,
    site::{Rig, RigPlan, config, wait_until},
};
use eyre::Result;
use futures::future::join_all;
use hyper::StatusCode;
use serde_json::{Value, json};
use test_case::test_case;
use tokio::time::{Instant, sleep, sleep_until};

/// Time after a change of the configuration from which a key that it took out must not work, as in the settings.
const REVOKE: Duration = Duration::from_millis(3_000);
/// Settings with this time.
const REVOKE_SETTINGS: &str = "  revoke_ms: 3000\n";

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

/// A configuration of about 700 KB, which takes milliseconds to decode, with the keys `key-N` for each N of `keys`.
fn large_config(version: u64, keys: std::ops::Range<usize>) -> Value {
    const ROUTES: usize = 2_600;
    let mut large = config(version);
    let template = large["routes"][2].clone();
    let extra = (0..ROUTES).map(|n| {
        let mut route = template.clone();
        (route["name"], route["path_prefix"]) = (json!(format!("extra-{n}")), json!(format!("/extra/{n}/")));
        route
    });
    large["routes"].as_array_mut().expect("routes are a list").extend(extra);
    let keys: Vec<String> = keys.map(|n| format!("key-{n}")).collect();
    large["tenants"] = json!([{ "name": "customer-a", "api_keys": keys }]);
    large
}

/// Guards against requests with a revoked key that run between the confirmation of a new configuration and the moment at
/// which it is put in force (review/6, CONFIG).
#[tokio::test]
async fn revoked_key_does_not_work_when_the_store_is_back() -> Result<()> {
    const ROUNDS: usize = 3;
    const CLIENTS: usize = 60;
    let rig = Rig::start_with(RigPlan { engines: 1, cores: 2, ..RigPlan::default() }, REVOKE_SETTINGS).await?;
    let is_adopted = |version| rig.gateways[0].log().contains(&format!("event=config_adopted config={version} "));
    rig.store.put("config", "main", large_config(2, 0..ROUNDS));
    wait_until("the large configuration is in force", async || is_adopted(2)).await?;
    for round in 0..ROUNDS {
        let version = 3 + round as u64;
        rig.store.set_faults(|faults| faults.unresponsive = true);
        rig.store.put("config", "main", large_config(version, round + 1..ROUNDS));
        sleep_until(Instant::now() + REVOKE).await;
        let key = format!("key-{round}");
        let clients = (0..CLIENTS).map(|_| async {
            let mut statuses = Vec::new();
            while !is_adopted(version) {
                statuses.push(status(&rig, "/read/1", Some(&key)).await?);
            }
            Ok::<_, eyre::Report>(statuses)
        });
        let heal = async {
            sleep(Duration::from_millis(300)).await;
            rig.store.set_faults(|faults| faults.unresponsive = false);
        };
        let (results, ()) = tokio::join!(join_all(clients), heal);
        for statuses in results {
            let run = statuses?.into_iter().filter(|status| *status == StatusCode::OK).count();
            assert_eq!(run, 0, "requests with {key} ran after it was revoked");
        }
    }
    Ok(())
}
