//! Tests of gateway processes with a store that comes back from an older copy and gives out its revisions again.

use std::time::Duration;

use eelgrasswell_testbed::site::{FakeBackend, Rig, RigPlan, config, wait_until};
use eyre::Result;
use hyper::StatusCode;
use serde_json::json;
use test_case::test_case;
use tokio::time::{Instant, sleep, sleep_until};

/// Time after a change of the configuration from which a key that it took out must not work, as in the settings.
const REVOKE: Duration = Duration::from_millis(3_000);
/// Settings with this time.
const REVOKE_SETTINGS: &str = "  revoke_ms: 3000\n";
/// Number of changes that the older copy lacks.
const LOST_CHANGES: u64 = 12;
/// Longest wait of a watch, after which the copies of kinds that have not changed are at the store's revision.
const WATCH_WAIT: Duration = Duration::from_millis(2_200);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(800);
/// Time before each watch of the store. Lists are answered at once, so a change falls between a list and the next watch.
const WATCH_DELAY: Duration = Duration::from_millis(250);
/// Time after the return of the store within which all gateways have called it again.
const RECONNECTED: Duration = Duration::from_millis(2_500);
/// Time within which a change that is not about keys must be in force.
const IN_FORCE: Duration = Duration::from_millis(2_000);
/// Number of requests that show which servers a gateway uses.
const REQUESTS: usize = 20;

/// What is written with the first revisions that are given out again.
#[derive(Clone, Copy, Debug)]
enum Change {
    RevokedKey,
    DrainingServer,
    Evacuation,
    Order,
}

impl Change {
    fn write(self, rig: &Rig, version: u64) {
        match self {
            Self::RevokedKey => {
                let mut config = config(version + 1);
                config["tenants"].as_array_mut().expect("it is a list").truncate(1);
                rig.store.put("config", "main", config);
            }
            Self::DrainingServer => {
                rig.store.put("servers", "desk-0", rig.desks[0].store_entry("desk", "v1", "draining"));
            }
            Self::Evacuation => rig.store.put("evacuations", "south", json!({})),
            Self::Order => {
                rig.store.put("rollouts", "desk", json!({"service": "desk", "target": "v2", "duration_s": 60}));
            }
        }
    }

    /// Whether `gateway` acts as if the change had not been written.
    async fn is_missed(self, rig: &Rig, gateway: usize) -> Result<bool> {
        Ok(match self {
            Self::RevokedKey => count_status(rig, gateway, "key-b", StatusCode::OK).await? > 0,
            Self::DrainingServer | Self::Evacuation => runs_at(rig, gateway, &rig.desks[0]).await? > 0,
            Self::Order => !rig.gateways[gateway].log().contains("event=order_received service=desk target=v2"),
        })
    }
}

/// Number of some requests with `key` at `gateway` that get `status`.
async fn count_status(rig: &Rig, gateway: usize, key: &str, status: StatusCode) -> Result<usize> {
    let client = rig.customer(key).with("x-attempt-id", "read");
    let mut count = 0;
    for _ in 0..REQUESTS {
        count += usize::from(client.get(rig.gateways[gateway].callers, "/read/1").await?.status == status);
    }
    Ok(count)
}

/// Number of some requests at `gateway` that `backend` runs.
async fn runs_at(rig: &Rig, gateway: usize, backend: &FakeBackend) -> Result<usize> {
    let before = backend.runs().len();
    count_status(rig, gateway, "key-a", StatusCode::OK).await?;
    Ok(backend.runs().len() - before)
}

/// Puts configurations in force one after the other, and returns the last version. All copies are at its revision then.
async fn change_configuration(rig: &Rig) -> Result<u64> {
    let mut version = 1;
    for _ in 0..LOST_CHANGES {
        version += 1;
        rig.store.put("config", "main", config(version));
    }
    for gateway in &rig.gateways {
        let adopted = format!("event=config_adopted config={version} ");
        wait_until("the configuration is in force", async || gateway.log().contains(&adopted)).await?;
    }
    sleep(WATCH_WAIT).await;
    Ok(version)
}

/// Guards against a change that is missed because its revision was given out before: a revoked key that goes on working, a
/// server that leaves and still gets requests, an evacuated domain that does, an order that is not carried out (review/12,
/// CONFIG).
#[test_case(Change::RevokedKey; "revoked key")]
#[test_case(Change::DrainingServer; "server that leaves")]
#[test_case(Change::Evacuation; "evacuation")]
#[test_case(Change::Order; "order")]
#[tokio::test]
async fn change_after_drill_is_in_force(change: Change) -> Result<()> {
    let rig = Rig::start_with(RigPlan { gateways: 4, engines: 1, ..RigPlan::default() }, REVOKE_SETTINGS).await?;
    let mut entry = rig.desks[0].store_entry("desk", "v1", "ready");
    entry["zone"] = json!("south");
    rig.store.put("servers", "desk-0", entry);
    let copy = rig.store.copy();
    let version = change_configuration(&rig).await?;

    rig.store.go_away();
    sleep(AWAY).await;
    rig.store.set_faults(|faults| faults.watch_delay = WATCH_DELAY);
    rig.store.come_back(copy);
    rig.store.put("config", "main", config(version));
    change.write(&rig, version);
    let written = Instant::now();
    sleep(RECONNECTED).await;
    // The store passes the revision that it had before.
    for n in 0..2 * LOST_CHANGES {
        rig.store.put("servers", &format!("other-{n}"), rig.engines[0].store_entry("other", "v1", "ready"));
    }
    let limit = if matches!(change, Change::RevokedKey) { REVOKE } else { RECONNECTED + IN_FORCE };
    sleep_until(written + limit).await;
    let mut missed_by = Vec::new();
    for gateway in 0..rig.gateways.len() {
        if change.is_missed(&rig, gateway).await? {
            missed_by.push(gateway);
        }
    }
    assert!(missed_by.is_empty(), "{change:?} missed by {missed_by:?}");
    Ok(())
}
