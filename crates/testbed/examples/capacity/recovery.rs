//! Calls and connections in each second after all agents restart, a router dies, and the platform
//! goes down and returns.

use std::time::Duration;

use eelgrasswell_testbed::experiment::table::Table;
use eyre::Result;
use tokio::time::{Instant, sleep, sleep_until};

use crate::cluster::{Cluster, load_average};

/// Time after which shards have been handed to the routers that rank first.
const SETTLE: Duration = Duration::from_secs(25);
/// Failure domains of the cluster.
const DOMAINS: usize = 5;
/// Kinds of platform calls in the table.
const KINDS: [&str; 6] = ["get", "put", "watch", "hosts", "list", "delete"];

/// Runs the events one after another on one cluster.
pub async fn measure(routers: usize, agents: usize) -> Result<Table> {
    let mut table = Table::new(&[
        "event",
        "second",
        "link_connections",
        "to_agents_bytes",
        "to_routers_bytes",
        "get",
        "put",
        "watch",
        "hosts",
        "list",
        "delete",
        "load_average",
    ]);
    let mut cluster = Cluster::start(routers, DOMAINS.min(routers), agents).await?;
    sleep(SETTLE).await;
    follow(&cluster, &mut table, "rest", 5).await?;
    cluster.agents.restart().await?;
    follow(&cluster, &mut table, "agents_restart", 10).await?;
    cluster.routers[routers / 2].process = None;
    follow(&cluster, &mut table, "router_death", 15).await?;
    cluster.platform.fault(|faults| faults.down = true);
    follow(&cluster, &mut table, "platform_down", 20).await?;
    cluster.platform.fault(|faults| faults.down = false);
    follow(&cluster, &mut table, "platform_return", 15).await?;
    Ok(table)
}

/// Adds a row for each of the next seconds.
async fn follow(cluster: &Cluster, table: &mut Table, event: &str, seconds: u32) -> Result<()> {
    let start = Instant::now();
    let mut last = cluster.read()?;
    for second in 1..=seconds {
        sleep_until(start + Duration::from_secs(1) * second).await;
        let now = cluster.read()?;
        let calls = KINDS.map(|kind| {
            let count = |calls: &std::collections::BTreeMap<&str, u64>| calls.get(kind).copied().unwrap_or(0);
            count(&now.calls) - count(&last.calls)
        });
        table.row(&[
            &event,
            &second,
            &(now.links.accepted - last.links.accepted),
            &(now.links.received - last.links.received),
            &(now.links.sent - last.links.sent),
            &calls[0],
            &calls[1],
            &calls[2],
            &calls[3],
            &calls[4],
            &calls[5],
            &load_average()?,
        ]);
        last = now;
    }
    Ok(())
}
