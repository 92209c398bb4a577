//! Tests of gateway processes with a configuration of nearly the largest size that the store takes.

use std::time::Duration;

use eelgrasswell_testbed::site::{Rig, RigPlan, config, wait_until};
use eyre::Result;
use hyper::StatusCode;
use serde_json::{Value, json};

/// Number of routes that brings the configuration to nearly 1 MB.
const ROUTES: usize = 3_600;
/// Delay of each 16 KiB on a link of about 6 Mbit/s.
const NARROW: Duration = Duration::from_millis(22);

/// A configuration of nearly 1 MB without the key of customer a.
fn large_config(version: u64) -> Value {
    let mut large = config(version);
    let template = large["routes"][2].clone();
    let routes = large["routes"].as_array_mut().expect("routes are a list");
    for n in 0..ROUTES {
        let mut route = template.clone();
        route["name"] = json!(format!("extra-{n}"));
        route["path_prefix"] = json!(format!("/extra/{n}/"));
        routes.push(route);
    }
    large["tenants"] = json!([{"name": "customer-b", "api_keys": ["key-b"]}]);
    large
}

async fn wait_until_in_force(rig: &Rig, gateway: usize) -> Result<()> {
    let callers = rig.gateways[gateway].callers;
    wait_until("the large configuration is in force", async || {
        let old_key = rig.customer("key-a").get(callers, "/read/1").await;
        let new_key = rig.customer("key-b").with("x-attempt-id", "new").get(callers, "/extra/1/").await;
        old_key.is_ok_and(|reply| reply.status == StatusCode::UNAUTHORIZED)
            && new_key.is_ok_and(|reply| reply.status == StatusCode::OK)
    })
    .await
}

/// Guards against a configuration that never comes into force because its transfer takes longer than a call may, so that
/// each call is cut and the next one starts from the first byte.
#[tokio::test]
async fn transfer_over_narrow_link() -> Result<()> {
    let rig = Rig::start(RigPlan { store_delay: Some(NARROW), ..RigPlan::default() }).await?;
    rig.store.put("config", "main", large_config(2));
    wait_until_in_force(&rig, 0).await
}

/// Guards against a gateway that gets a large configuration from nowhere: the store rejects it, and the gateways that it
/// follows leave large objects to the store.
#[tokio::test]
async fn transfer_from_other_gateways() -> Result<()> {
    let rig = Rig::start(RigPlan { gateways: 4, engines: 1, desks: 1, ..RigPlan::default() }).await?;
    rig.store.set_faults(|faults| faults.unresponsive_to = vec![0, 1]);
    rig.store.put("config", "main", large_config(2));
    for gateway in 0..4 {
        wait_until_in_force(&rig, gateway).await?;
    }
    Ok(())
}
