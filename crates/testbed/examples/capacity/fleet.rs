//! Resource use of a growing number of idle routers, and the time that single configuration changes take to come into
//! force on all routers and agents.

use std::{
    collections::HashMap,
    str::FromStr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use eelgrasswell_testbed::experiment::table::{Table, decimal};
use eyre::Result;
use tokio::time::sleep;

use crate::{
    cluster::{Cluster, load_average},
    links::adoption_delays,
    stats,
};

/// Time after which each shard has been handed over to the router that ranks first for it.
const SETTLE_TIME: Duration = Duration::from_secs(25);
/// Time between two changes, long enough for a change to arrive by the slow paths, too.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_500);
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Number of routers and of failure domains. Parsed from `50` (five domains) or `50x15`.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    routers: usize,
    domains: usize,
}

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (routers, domains) = text.split_once('x').unwrap_or((text, "5"));
        let number = |part: &str| part.parse().map_err(|err| format!("could not parse size {text:?}: {err}"));
        Ok(Self { routers: number(routers)?, domains: number(domains)? })
    }
}

/// Measures a cluster of each size, with `agents_per_router` agents per router. The resource use is measured for
/// `seconds`, and then the delays of `changes` changes.
pub async fn measure(sizes: &[Size], agents_per_router: usize, seconds: u64, changes: u64) -> Result<Table> {
    let mut table = Table::new(&[
        "routers",
        "domains",
        "agents",
        "cpu_mean_percent",
        "cpu_max_percent",
        "rss_mean_mb",
        "rss_max_mb",
        "link_bps",
        "peer_bps",
        "platform_min_bps",
        "platform_p50_bps",
        "platform_max_bps",
        "get_ps",
        "put_ps",
        "watch_ps",
        "hosts_ps",
        "list_ps",
        "delete_ps",
        "waiting_watches",
        "routers_p50_ms",
        "routers_p95_ms",
        "routers_max_ms",
        "agents_p50_ms",
        "agents_p95_ms",
        "agents_max_ms",
        "missing",
        "load_average",
    ]);
    for size in sizes {
        let cluster = Cluster::start(size.routers, size.domains, agents_per_router * size.routers).await?;
        sleep(SETTLE_TIME).await;
        let before = cluster.read_counters()?;
        sleep(Duration::from_secs(seconds)).await;
        let after = cluster.read_counters()?;
        let memory_mb = cluster.memory_mb()?;
        let elapsed = (after.at - before.at).as_secs_f64();
        let mut cpu_percent: Vec<f64> = after
            .router_cpu
            .iter()
            .zip(&before.router_cpu)
            .map(|(after, before)| (after - before) / elapsed * 100.0)
            .collect();
        let link_bytes = (after.links.received + after.links.sent - before.links.received - before.links.sent) as f64;
        let peer_bytes = (after.peers.request_bytes + after.peers.answer_bytes
            - before.peers.request_bytes
            - before.peers.answer_bytes) as f64;
        let mut platform_bps: Vec<f64> = after
            .platform
            .iter()
            .zip(&before.platform)
            .map(|(a, b)| (a.request_bytes + a.answer_bytes - b.request_bytes - b.answer_bytes) as f64 / elapsed)
            .collect();
        let calls_per_second = |kind: &str| {
            let count = |calls: &std::collections::BTreeMap<&str, u64>| calls.get(kind).copied().unwrap_or(0);
            decimal((count(&after.calls) - count(&before.calls)) as f64 / elapsed)
        };
        let routers_per_domain = size.routers / size.domains;
        let delays = time_changes(&cluster, changes).await?;
        let (mut router_delays, mut agent_delays, missing) = delays;
        table.add_row(&[
            &size.routers,
            &size.domains,
            &cluster.agents.len(),
            &decimal(cpu_percent.iter().sum::<f64>() / cpu_percent.len() as f64),
            &decimal(stats::quantile(&mut cpu_percent, 1.0)),
            &decimal(memory_mb.iter().sum::<f64>() / memory_mb.len() as f64),
            &decimal(memory_mb.iter().copied().fold(0.0, f64::max)),
            &decimal(link_bytes / elapsed / size.routers as f64),
            // The counting link sees half of the exchanges that other routers start with this router. This router
            // starts as many itself.
            &decimal(peer_bytes / elapsed * 2.0),
            &decimal(stats::quantile(&mut platform_bps, 0.0)),
            &decimal(stats::quantile(&mut platform_bps, 0.5)),
            &decimal(stats::quantile(&mut platform_bps, 1.0)),
            &calls_per_second("get"),
            &calls_per_second("put"),
            &calls_per_second("watch"),
            &calls_per_second("hosts"),
            &calls_per_second("list"),
            &calls_per_second("delete"),
            &(routers_per_domain.min(2) * size.domains),
            &decimal(stats::quantile(&mut router_delays, 0.5)),
            &decimal(stats::quantile(&mut router_delays, 0.95)),
            &decimal(stats::quantile(&mut router_delays, 1.0)),
            &decimal(stats::quantile(&mut agent_delays, 0.5)),
            &decimal(stats::quantile(&mut agent_delays, 0.95)),
            &decimal(stats::quantile(&mut agent_delays, 1.0)),
            &missing,
            &load_average()?,
        ]);
    }
    Ok(table)
}

/// Makes single changes. Returns the delays in milliseconds from the start of each change until each router had
/// adopted it, the same for agents, and the number of pairs of a change and a router or agent that never adopted it.
async fn time_changes(cluster: &Cluster, changes: u64) -> Result<(Vec<f64>, Vec<f64>, usize)> {
    cluster.agents.take_adoptions();
    let mut started_at = HashMap::new();
    // The same times as seconds of the day, to compare them with the times in the routers' logs.
    let mut started_at_clock = HashMap::new();
    for number in 0..changes {
        let (start, clock) = (Instant::now(), SystemTime::now());
        let revision = cluster.make_change(number).await?;
        started_at.insert(revision, start);
        started_at_clock.insert(revision, clock.duration_since(UNIX_EPOCH)?.as_secs_f64() % SECONDS_PER_DAY);
        sleep(CHANGE_INTERVAL).await;
    }
    let (agent_delays, mut missing) =
        adoption_delays(&started_at, &cluster.agents.take_adoptions(), cluster.agents.len());
    let mut router_delays = Vec::new();
    for router in 0..cluster.routers.len() {
        let adoptions = cluster.router_adoptions(router)?;
        for (revision, start) in &started_at_clock {
            match adoptions.iter().find(|(adopted, _)| adopted >= revision) {
                Some((_, at)) => router_delays.push((at - start).rem_euclid(SECONDS_PER_DAY) * 1e3),
                None => missing += 1,
            }
        }
    }
    Ok((router_delays, agent_delays, missing))
}
