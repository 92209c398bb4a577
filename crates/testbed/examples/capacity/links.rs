//! Resource use of one router with a growing number of agents, when idle and under configuration changes.

use std::{collections::HashMap, time::Duration};

use eelgrasswell_testbed::experiment::table::{Table, decimal};
use eyre::Result;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::{
    cluster::{Cluster, load_average},
    stats,
};

/// Time after the start until connections and memory use are stable.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Measures one idle router with each number of agents, `repeats` times for `seconds` each. Prints line fits of its
/// CPU time, memory and link traffic over the number of agents.
pub async fn measure_idle(agent_counts: &[usize], seconds: u64, repeats: u32) -> Result<Table> {
    let mut table = Table::new(&[
        "agents",
        "router_cpu_percent",
        "router_rss_mb",
        "to_agents_bps",
        "to_routers_bps",
        "segments_ps",
        "platform_up_bps",
        "platform_down_bps",
        "agents_cpu_percent",
        "load_average",
    ]);
    let mut points = Vec::new();
    for &agent_count in agent_counts {
        for _ in 0..repeats {
            let cluster = Cluster::start(1, 1, agent_count).await?;
            sleep(SETTLE_TIME).await;
            let before = cluster.read_counters()?;
            sleep(Duration::from_secs(seconds)).await;
            let after = cluster.read_counters()?;
            let elapsed = (after.at - before.at).as_secs_f64();
            let rate = |before: u64, after: u64| (after - before) as f64 / elapsed;
            let cpu_percent = (after.router_cpu[0] - before.router_cpu[0]) / elapsed * 100.0;
            let memory_mb = cluster.memory_mb()?[0];
            let (to_agents, to_routers) =
                (rate(before.links.received, after.links.received), rate(before.links.sent, after.links.sent));
            let segments = rate(before.links.reads + before.links.writes, after.links.reads + after.links.writes);
            table.add_row(&[
                &agent_count,
                &decimal(cpu_percent),
                &decimal(memory_mb),
                &decimal(to_agents),
                &decimal(to_routers),
                &decimal(segments),
                &decimal(rate(before.platform[0].request_bytes, after.platform[0].request_bytes)),
                &decimal(rate(before.platform[0].answer_bytes, after.platform[0].answer_bytes)),
                &decimal((after.own_cpu - before.own_cpu) / elapsed * 100.0),
                &load_average()?,
            ]);
            points.push([agent_count as f64, cpu_percent, memory_mb, to_agents + to_routers]);
        }
    }
    for (i, name) in ["router_cpu_percent", "router_rss_mb", "link_bps"].into_iter().enumerate() {
        println!("{name} against agents: {}", stats::fit_line(points.iter().map(|p| (p[0], p[i + 1]))));
    }
    Ok(table)
}

/// Measures one router with `agents` agents at each rate of changes per second, for `seconds` each.
pub async fn measure_changes(agents: usize, rates: &[u64], seconds: u64) -> Result<Table> {
    let mut table = Table::new(&[
        "agents",
        "rate",
        "made_ps",
        "router_cpu_percent",
        "router_rss_mb",
        "to_agents_bps",
        "to_routers_bps",
        "platform_up_bps",
        "platform_down_bps",
        "p50_ms",
        "p95_ms",
        "max_ms",
        "missing",
        "load_average",
    ]);
    let cluster = Cluster::start(1, 1, agents).await?;
    sleep(SETTLE_TIME).await;
    let mut number = 0;
    for &rate in rates {
        cluster.agents.take_adoptions();
        let before = cluster.read_counters()?;
        let mut started_at = HashMap::new();
        let mut ticks = interval(Duration::from_nanos(1_000_000_000 / rate));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let end = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < end {
            ticks.tick().await;
            let start = std::time::Instant::now();
            started_at.insert(cluster.make_change(number).await?, start);
            number += 1;
        }
        let after = cluster.read_counters()?;
        sleep(Duration::from_secs(3)).await;
        let (mut delays, missing) = adoption_delays(&started_at, &cluster.agents.take_adoptions(), agents);
        let elapsed = (after.at - before.at).as_secs_f64();
        let per_second = |before: u64, after: u64| decimal((after - before) as f64 / elapsed);
        table.add_row(&[
            &agents,
            &rate,
            &decimal(started_at.len() as f64 / elapsed),
            &decimal((after.router_cpu[0] - before.router_cpu[0]) / elapsed * 100.0),
            &decimal(cluster.memory_mb()?[0]),
            &per_second(before.links.received, after.links.received),
            &per_second(before.links.sent, after.links.sent),
            &per_second(before.platform[0].request_bytes, after.platform[0].request_bytes),
            &per_second(before.platform[0].answer_bytes, after.platform[0].answer_bytes),
            &decimal(stats::quantile(&mut delays, 0.5)),
            &decimal(stats::quantile(&mut delays, 0.95)),
            &decimal(stats::quantile(&mut delays, 1.0)),
            &missing,
            &load_average()?,
        ]);
    }
    Ok(table)
}

/// Returns the delays in milliseconds from the start of each change (`started_at`, by revision) until each agent had
/// adopted it or a later one, and the number of pairs of a change and an agent that never adopted it.
pub fn adoption_delays(
    started_at: &HashMap<u64, std::time::Instant>,
    adoptions: &[crate::agents::Adoption],
    agents: usize,
) -> (Vec<f64>, usize) {
    let mut delays = Vec::new();
    let mut missing = 0;
    let mut by_agent: Vec<Vec<_>> = vec![Vec::new(); agents];
    for adoption in adoptions {
        by_agent[adoption.agent].push((adoption.revision, adoption.at));
    }
    for (revision, start) in started_at {
        for adoptions in &by_agent {
            match adoptions.iter().find(|(adopted, _)| adopted >= revision) {
                Some((_, at)) => delays.push(at.saturating_duration_since(*start).as_secs_f64() * 1e3),
                None => missing += 1,
            }
        }
    }
    (delays, missing)
}
