//! Tests of gateway processes with an odd entry of another writer in the store.

use eelgrasswell_testbed::site::{FakeBackend, Rig, RigPlan, wait_until};
use eyre::Result;
use hyper::StatusCode;
use serde_json::json;

const GATEWAYS: usize = 2;

/// JSON texts of entries that name no server to use.
fn odd_specs() -> Vec<(&'static str, String)> {
    let nested = |open: &str, close: &str, levels: usize| format!("{}1{}", open.repeat(levels), close.repeat(levels));
    let entry = |address: &str, slots: &str, cold: &str| {
        format!(
            r#"{{"service":"desk","address":"{address}","zone":"north","version":"v1","slots":{slots},"state":"ready",
            "cold_remaining_ms":{cold},"sequence":1,"born":1}}"#
        )
    };
    vec![
        ("nested lists", nested("[", "]", 200)),
        // A gateway that can decode an entry of this depth passes it on inside a list, which is one level deeper.
        ("nested to the parser's limit", nested("[", "]", 125)),
        ("nested objects", nested("{\"a\":", "}", 5_000)),
        ("number out of range", entry("127.0.0.1:1", "8", "1e999")),
        ("number of many digits", entry("127.0.0.1:1", &"9".repeat(400), "0")),
        ("large time", entry("127.0.0.1:1", "8", "1e300")),
        ("lone surrogate", r#"{"service":"\ud800"}"#.to_owned()),
        ("port out of range", entry("127.0.0.1:70000", "8", "0")),
        ("port 0", entry("127.0.0.1:0", "8", "0")),
    ]
}

async fn is_served_by(rig: &Rig, gateway: usize, name: &str) -> bool {
    let client = rig.customer("key-a").with("x-attempt-id", "read");
    let reply = client.get(rig.gateways[gateway].callers, "/read/1").await;
    reply.is_ok_and(|reply| (reply.status, reply.text()) == (StatusCode::OK, format!("done by {name}")))
}

/// Replaces the server `old` by a new one, and waits until all gateways send requests to the new one.
async fn replace(rig: &Rig, old: &str, new: &str) -> Result<FakeBackend> {
    let backend = FakeBackend::bind(new).await?;
    rig.store.put("servers", new, backend.store_entry("desk", "v1", "ready"));
    rig.store.delete("servers", old);
    for gateway in 0..GATEWAYS {
        wait_until(&format!("gateway {gateway} uses {new}"), async || is_served_by(rig, gateway, new).await).await?;
    }
    Ok(backend)
}

/// Guards against gateways that stop following the list of servers, or end, because of one odd entry: one that was there
/// before they started, one that comes while they watch, and one that replaces a sound entry.
#[tokio::test]
async fn odd_server_entries_do_not_stop_the_list() -> Result<()> {
    let rig = Rig::start_unready(RigPlan { gateways: GATEWAYS, engines: 1, desks: 1, ..RigPlan::default() }).await?;
    for (n, (_, spec)) in odd_specs().iter().enumerate() {
        rig.store.put_raw("servers", &format!("early-{n}"), spec);
    }
    rig.store.put("config", "main", eelgrasswell_testbed::site::config(1));
    for gateway in 0..GATEWAYS {
        wait_until("the first server is used", async || is_served_by(&rig, gateway, "desk-0").await).await?;
    }
    let mut servers = vec![replace(&rig, "desk-0", "next-0").await?];
    for (n, (what, spec)) in odd_specs().iter().enumerate() {
        rig.store.put_raw("servers", &format!("odd-{n}"), spec);
        let current = servers.last().expect("there is a server").id.clone();
        rig.store.put_raw("servers", &current, spec);
        servers.push(replace(&rig, &current, &format!("next-{}", n + 1)).await?);
        for gateway in &rig.gateways {
            assert_eq!(gateway.log().matches("gateway_started").count(), 1, "{what}: a gateway ended");
        }
    }
    assert!(rig.gateways[0].log().contains("object=early-0 "), "the odd entry is not named in the log");
    assert_eq!(rig.gateways[0].log().matches("object=early-0 ").count(), 1, "the odd entry is named more than once");
    Ok(())
}

/// Guards against a configuration, an order or an evacuation that goes out of force because an odd one replaces it.
#[tokio::test]
async fn odd_objects_of_the_operator_leave_the_last_good_ones_in_force() -> Result<()> {
    let rig = Rig::start(RigPlan { gateways: GATEWAYS, engines: 1, desks: 1, ..RigPlan::default() }).await?;
    let new = FakeBackend::bind("desk-new").await?;
    rig.store.put("servers", "desk-new", new.store_entry("desk", "v2", "ready"));
    rig.store.put("rollouts", "desk", json!({"service": "desk", "target": "v2", "duration_s": 5}));
    wait_until("the rollout runs", async || rig.store.status("rollouts", "desk")["state"] == "running").await?;
    for (_, spec) in odd_specs() {
        rig.store.put_raw("config", "main", &spec);
        rig.store.put_raw("rollouts", "desk", &spec);
        rig.store.put_raw("evacuations", "south", &spec);
    }
    // The order goes on: the old server gets no requests in the end.
    wait_until("the rollout completes", async || {
        for gateway in 0..GATEWAYS {
            let client = rig.customer("key-a").with("x-attempt-id", "read");
            let reply = client.get(rig.gateways[gateway].callers, "/read/1").await;
            assert!(reply.is_ok_and(|reply| reply.status == StatusCode::OK), "the configuration went out of force");
        }
        rig.store.status("rollouts", "desk")["state"] == "completed"
    })
    .await?;
    rig.store.put("evacuations", "north", json!([[[1]]]));
    let is_evacuated = async || !is_served_by(&rig, 0, "desk-new").await;
    wait_until("the domain is evacuated", is_evacuated).await
}
