//! Numbers of calls and connections in each second after a restart of all agents, a router crash, a platform outage and
//! the end of the outage.

use std::time::Duration;

use eelgrasswell_testbed::experiment::table::Table;
use eyre::Result;
use tokio::time::{Instant, sleep, sleep_until};

use crate::cluster::{Cluster, load_average};

/// Time after which each shard has been handed over to the router that ranks first for it.
const SETTLE_TIME: Duration = Duration::from_secs(25);
/// Maximum number of failure domains of the cluster.
const MAX_DOMAINS: usize = 5;
/// Kinds of platform calls, in the order of the table's columns.
const CALL_KINDS: [&str; 6] = ["get", "put", "watch", "hosts", "list", "delete"];

/// Triggers the events one after another in one cluster.
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
    let mut cluster = Cluster::start(routers, MAX_DOMAINS.min(routers), agents).await?;
    sleep(SETTLE_TIME).await;
    measure_each_second(&cluster, &mut table, "rest", 5).await?;
    cluster.agents.restart().await?;
    measure_each_second(&cluster, &mut table, "agents_restart", 10).await?;
    // Dropping the process kills it.
    cluster.routers[routers / 2].process = None;
    measure_each_second(&cluster, &mut table, "router_death", 15).await?;
    cluster.platform.set_faults(|faults| faults.down = true);
    measure_each_second(&cluster, &mut table, "platform_down", 20).await?;
    cluster.platform.set_faults(|faults| faults.down = false);
    measure_each_second(&cluster, &mut table, "platform_return", 15).await?;
    Ok(table)
}

/// Adds a row with the counts of one second for each of the next `seconds`.
async fn measure_each_second(cluster: &Cluster, table: &mut Table, event: &str, seconds: u32) -> Result<()> {
    let start = Instant::now();
    let mut previous = cluster.read_counters()?;
    for second in 1..=seconds {
        sleep_until(start + Duration::from_secs(1) * second).await;
        let current = cluster.read_counters()?;
        let calls = CALL_KINDS.map(|kind| {
            let count = |calls: &std::collections::BTreeMap<&str, u64>| calls.get(kind).copied().unwrap_or(0);
            count(&current.calls) - count(&previous.calls)
        });
        table.add_row(&[
            &event,
            &second,
            &(current.links.accepted - previous.links.accepted),
            &(current.links.received - previous.links.received),
            &(current.links.sent - previous.links.sent),
            &calls[0],
            &calls[1],
            &calls[2],
            &calls[3],
            &calls[4],
            &calls[5],
            &load_average()?,
        ]);
        previous = current;
    }
    Ok(())
}
