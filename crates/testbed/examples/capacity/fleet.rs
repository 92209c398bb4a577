//! A growing number of routers at rest, and the time of single changes until they are in force.

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
    links::delays,
    stats,
};

/// Time after which shards have been handed to the routers that rank first.
const SETTLE: Duration = Duration::from_secs(25);
/// Time between two changes; enough for slow paths to finish.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_500);
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Routers and failure domains, as `50` (five domains) or `50x15`.
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

/// Measures each size with `agents` agents for each router.
pub async fn measure(sizes: &[Size], agents: usize, seconds: u64, changes: u64) -> Result<Table> {
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
        let cluster = Cluster::start(size.routers, size.domains, agents * size.routers).await?;
        sleep(SETTLE).await;
        let before = cluster.read()?;
        sleep(Duration::from_secs(seconds)).await;
        let after = cluster.read()?;
        let memory = cluster.memory_mb()?;
        let elapsed = (after.at - before.at).as_secs_f64();
        let mut cpu: Vec<f64> =
            after.cpu.iter().zip(&before.cpu).map(|(after, before)| (after - before) / elapsed * 100.0).collect();
        let links = (after.links.received + after.links.sent - before.links.received - before.links.sent) as f64;
        let peers = (after.peers.request_bytes + after.peers.answer_bytes
            - before.peers.request_bytes
            - before.peers.answer_bytes) as f64;
        let mut platform: Vec<f64> = after
            .platform
            .iter()
            .zip(&before.platform)
            .map(|(a, b)| (a.request_bytes + a.answer_bytes - b.request_bytes - b.answer_bytes) as f64 / elapsed)
            .collect();
        let calls = |kind: &str| {
            let count = |calls: &std::collections::BTreeMap<&str, u64>| calls.get(kind).copied().unwrap_or(0);
            decimal((count(&after.calls) - count(&before.calls)) as f64 / elapsed)
        };
        let per_domain = size.routers / size.domains;
        let timed = time_changes(&cluster, changes).await?;
        let (mut routers, mut agents_ms, missing) = timed;
        table.row(&[
            &size.routers,
            &size.domains,
            &cluster.agents.len(),
            &decimal(cpu.iter().sum::<f64>() / cpu.len() as f64),
            &decimal(stats::quantile(&mut cpu, 1.0)),
            &decimal(memory.iter().sum::<f64>() / memory.len() as f64),
            &decimal(memory.iter().copied().fold(0.0, f64::max)),
            &decimal(links / elapsed / size.routers as f64),
            // The counting link sees a half of the exchanges that others start; this router starts as many.
            &decimal(peers / elapsed * 2.0),
            &decimal(stats::quantile(&mut platform, 0.0)),
            &decimal(stats::quantile(&mut platform, 0.5)),
            &decimal(stats::quantile(&mut platform, 1.0)),
            &calls("get"),
            &calls("put"),
            &calls("watch"),
            &calls("hosts"),
            &calls("list"),
            &calls("delete"),
            &(per_domain.min(2) * size.domains),
            &decimal(stats::quantile(&mut routers, 0.5)),
            &decimal(stats::quantile(&mut routers, 0.95)),
            &decimal(stats::quantile(&mut routers, 1.0)),
            &decimal(stats::quantile(&mut agents_ms, 0.5)),
            &decimal(stats::quantile(&mut agents_ms, 0.95)),
            &decimal(stats::quantile(&mut agents_ms, 1.0)),
            &missing,
            &load_average()?,
        ]);
    }
    Ok(table)
}

/// Makes single changes; times in milliseconds until each router and each agent had them, and the
/// number of routers and agents that never had one.
async fn time_changes(cluster: &Cluster, changes: u64) -> Result<(Vec<f64>, Vec<f64>, usize)> {
    cluster.agents.take_adopted();
    let mut made = HashMap::new();
    let mut made_at = HashMap::new();
    for number in 0..changes {
        let (start, clock) = (Instant::now(), SystemTime::now());
        let revision = cluster.change(number).await?;
        made.insert(revision, start);
        made_at.insert(revision, clock.duration_since(UNIX_EPOCH)?.as_secs_f64() % SECONDS_PER_DAY);
        sleep(CHANGE_INTERVAL).await;
    }
    let (agents, mut missing) = delays(&made, &cluster.agents.take_adopted(), cluster.agents.len());
    let mut routers = Vec::new();
    for router in 0..cluster.routers.len() {
        let adoptions = cluster.adoptions(router)?;
        for (revision, start) in &made_at {
            match adoptions.iter().find(|(adopted, _)| adopted >= revision) {
                Some((_, at)) => routers.push((at - start).rem_euclid(SECONDS_PER_DAY) * 1e3),
                None => missing += 1,
            }
        }
    }
    Ok((routers, agents, missing))
}
