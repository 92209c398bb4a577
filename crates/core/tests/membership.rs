//! Link subsets, watcher election and failure detection at the size of the largest deployment.

use std::{collections::BTreeSet, time::Instant};

use eelgrasswell_core::{
    id::{DomainId, HostId, Incarnation, ServiceName},
    membership::{
        AGENTS_PER_POOL, DEAD_AFTER, Heartbeat, Heartbeats, Node, ROUTERS_PER_AGENT, WATCHERS_PER_DOMAIN, is_watcher,
        limit_links, plan_links, pool_agents, rank, routers_of, watcher_count,
    },
    unit::Millis,
};
use rand::{RngExt, SeedableRng, seq::index};
use rand_chacha::ChaCha8Rng;

const ROUTERS: usize = 350;
const AGENTS: usize = 7_000;
const DOMAINS: usize = 15;
const POOLS: usize = 6;

fn nodes(prefix: &str, count: usize, domains: usize, pools: usize) -> Vec<Node> {
    (0..count)
        .map(|i| Node {
            id: format!("{prefix}-{i}").as_str().into(),
            domain: format!("domain-{}", i % domains).as_str().into(),
            // Pools of unequal size: the smallest one has one agent in a thousand.
            pool: if pools == 0 {
                Default::default()
            } else if i % 1000 == 0 {
                "pool-small".into()
            } else {
                format!("pool-{}", i % (pools - 1)).as_str().into()
            },
        })
        .collect()
}

/// Guards against agents that too few routers can reach, and against links that concentrate on few routers or in few
/// failure domains.
#[test]
fn routers_of_spread_over_largest_fleet() {
    let routers = nodes("router", ROUTERS, DOMAINS, 0);
    let agents = nodes("agent", AGENTS, DOMAINS, POOLS);
    let mut per_router = vec![0; ROUTERS];
    for agent in &agents {
        let selected = routers_of(&agent.id, &routers);
        let domains: BTreeSet<&DomainId> = selected.iter().map(|&i| &routers[i].domain).collect();
        assert_eq!((selected.len(), domains.len()), (ROUTERS_PER_AGENT, ROUTERS_PER_AGENT), "routers of {}", agent.id);
        selected.into_iter().for_each(|i| per_router[i] += 1);
    }
    let (min, max) = (per_router.iter().min().unwrap(), per_router.iter().max().unwrap());
    let mean = AGENTS * ROUTERS_PER_AGENT / ROUTERS;
    println!("links by rank per router: {min} to {max}, mean {mean}");
    assert!(*max <= 2 * mean, "one router has {max} links");
}

/// Guards against routers without links to agents of a pool, in particular of a small one.
#[test]
fn pool_agents_cover_all_pools() {
    let agents = nodes("agent", AGENTS, DOMAINS, POOLS);
    let pools: BTreeSet<&ServiceName> = agents.iter().map(|agent| &agent.pool).collect();
    assert_eq!(pools.len(), POOLS);
    for router in nodes("router", ROUTERS, DOMAINS, 0) {
        let selected = pool_agents(&router.id, &agents);
        for pool in &pools {
            let linked = selected.iter().filter(|&&i| agents[i].pool == **pool).count();
            assert_eq!(linked, AGENTS_PER_POOL, "{} and {pool}", router.id);
        }
    }
}

/// Guards against a router whose link plan omits agents that rank it among their routers.
#[test]
fn plan_links_matches_ranks() {
    let routers = nodes("router", ROUTERS, DOMAINS, 0);
    let agents = nodes("agent", AGENTS, DOMAINS, POOLS);
    let own = &routers[42].id;
    let start = Instant::now();
    let plan = plan_links(own, &routers, &agents);
    println!("one plan of {ROUTERS} x {AGENTS}: {} links in {:?}", plan.len(), start.elapsed());
    let planned = |i: usize| plan.iter().find(|link| link.agent == i);
    for (i, agent) in agents.iter().enumerate() {
        let rank = routers_of(&agent.id, &routers).into_iter().position(|i| routers[i].id == *own);
        assert_eq!(planned(i).and_then(|link| link.rank), rank, "rank of {own} for {}", agent.id);
    }
    assert!(pool_agents(own, &agents).into_iter().all(|i| planned(i).is_some()));
}

/// Guards against fewer than `ROUTERS_PER_AGENT` links when there are fewer failure domains than that.
#[test]
fn routers_of_few_domains() {
    let routers = nodes("router", 24, 4, 0);
    let selected = routers_of(&"agent-1".into(), &routers);
    let mut domains: Vec<&DomainId> = selected.iter().map(|&i| &routers[i].domain).collect();
    assert_eq!(selected.len(), ROUTERS_PER_AGENT);
    assert_eq!(domains[..4].iter().collect::<BTreeSet<_>>().len(), 4, "the first round selects one of each domain");
    domains.sort();
    assert!(domains.chunks(2).all(|pair| pair[0] == pair[1]), "two of each of four domains: {domains:?}");
}

/// Guards against omitted routers when fewer than `ROUTERS_PER_AGENT` exist.
#[test]
fn routers_of_small_fleet() {
    let routers = nodes("router", 3, 3, 0);
    assert_eq!(routers_of(&"agent-1".into(), &routers).len(), 3);
}

/// Guards against a router that links to the whole fleet when it receives no heartbeats of peers, and against a limit
/// that reduces the links in a small fleet or in a region that is cut off.
#[test]
fn limit_links_of_isolated_router() {
    let routers = nodes("router", ROUTERS, DOMAINS, 0);
    let agents = nodes("agent", AGENTS, DOMAINS, POOLS);
    let planned = |live: &[Node], agents: &[Node], listed: usize| {
        let mut links = plan_links(&live[0].id, live, agents);
        let before = links.len();
        limit_links(&mut links, listed, agents.len());
        (before, links.len())
    };
    assert_eq!(planned(&routers[..1], &agents, ROUTERS), (AGENTS, 8 * 160));
    let (before, after) = planned(&routers[..ROUTERS / 6], &agents, ROUTERS);
    println!("links of a router in a region that is cut off: {before}");
    assert_eq!(before, after);
    assert_eq!(planned(&routers[..1], &agents[..13], 1), (13, 13));
    assert_eq!(planned(&routers[..4], &agents[..13], 8), (13, 13));
}

/// Guards against a plan that replaces most links whenever a router or an agent leaves.
#[test]
fn plan_links_stable_when_host_leaves() {
    let routers = nodes("router", ROUTERS, DOMAINS, 0);
    let agents = nodes("agent", AGENTS, DOMAINS, POOLS);
    let ranked = |routers: &[Node]| -> BTreeSet<(HostId, HostId)> {
        let links = agents.iter().flat_map(|agent| {
            routers_of(&agent.id, routers).into_iter().map(|i| (agent.id.clone(), routers[i].id.clone()))
        });
        links.collect()
    };
    let before = ranked(&routers);
    let removed = routers[17].id.clone();
    let after = ranked(&routers.iter().filter(|r| r.id != removed).cloned().collect::<Vec<_>>());
    let moved = before.difference(&after).count();
    let share = moved as f64 / before.len() as f64;
    println!("links moved when 1 of {ROUTERS} routers leaves: {moved} of {}, share {share:.5}", before.len());
    // 1/n of the links are those of the removed router; the second choices of a domain may also change.
    assert!(share < 2.0 / ROUTERS as f64, "moved {share}");

    let own = &routers[3].id;
    let planned = |agents: &[Node]| -> BTreeSet<HostId> {
        plan_links(own, &routers, agents).iter().map(|link| agents[link.agent].id.clone()).collect()
    };
    let before = planned(&agents);
    let removed = before.first().unwrap();
    let after = planned(&agents.iter().filter(|agent| agent.id != *removed).cloned().collect::<Vec<_>>());
    let moved = before.symmetric_difference(&after).count();
    println!("links of one router changed when one of its agents leaves: {moved} of {}", before.len());
    // The link to the removed agent, and one that replaces it in the minimum per pool.
    assert!((1..=2).contains(&moved), "moved {moved} links");
}

/// Guards against a number of watches that grows with the fleet: it is two per failure domain at any size.
#[test]
fn is_watcher_count_independent_of_fleet_size() {
    for count in [DOMAINS, 2 * DOMAINS, 150, ROUTERS, 3_500] {
        let routers = nodes("router", count, DOMAINS, 0);
        let elected = routers.iter().filter(|r| is_watcher(&r.id, &r.domain, &routers)).count();
        assert_eq!(elected, DOMAINS * WATCHERS_PER_DOMAIN.min(count / DOMAINS), "with {count} routers");
        assert_eq!(elected, watcher_count(&routers));
    }
}

/// Guards against a router that receives no heartbeats of peers and therefore watches nothing.
#[test]
fn is_watcher_alone() {
    assert!(is_watcher(&"router-1".into(), &"domain-1".into(), &[]));
}

/// Guards against a new ranking of all routers for a shard when one router leaves, which would move all shards.
#[test]
fn rank_keeps_order_of_others() {
    let ids: Vec<HostId> = (0..20).map(|i| format!("router-{i}").as_str().into()).collect();
    let all: Vec<&HostId> = ids.iter().collect();
    let mut before: Vec<&HostId> = rank("shard-3", &all).into_iter().map(|i| all[i]).collect();
    let removed = before.remove(4);
    let rest: Vec<&HostId> = all.into_iter().filter(|id| *id != removed).collect();
    let after: Vec<&HostId> = rank("shard-3", &rest).into_iter().map(|i| rest[i]).collect();
    assert_eq!(before, after);
}

fn beat(incarnation: u64, at: u64) -> Heartbeat<()> {
    Heartbeat { incarnation: Incarnation(incarnation), at: Millis(at), leaving: false, info: () }
}

/// Guards against a dead router that counts as alive because its old heartbeats are still forwarded.
#[test]
fn heartbeats_expire() {
    let id = HostId::from("router-1");
    let mut beats = Heartbeats::default();
    beats.record(&id, beat(1, 5_000));
    beats.record(&id, beat(1, 3_000));
    assert_eq!(beats.live(Millis(5_000) + DEAD_AFTER - Millis(1)).count(), 1);
    assert_eq!(beats.live(Millis(5_000) + DEAD_AFTER).count(), 0);
}

/// Guards against heartbeats of an ended incarnation that hide its replacement, and against late heartbeats that reset
/// the leaving state of a router.
#[test]
fn heartbeats_of_restarted_router() {
    let id = HostId::from("router-1");
    let mut beats = Heartbeats::default();
    beats.record(&id, Heartbeat { leaving: true, ..beat(1, 5_000) });
    beats.record(&id, beat(1, 6_000));
    assert!(beats.get(&id).unwrap().leaving);
    beats.record(&id, beat(2, 7_000));
    beats.record(&id, beat(1, 6_500));
    let newest = beats.get(&id).unwrap();
    assert_eq!((newest.incarnation, newest.leaving), (Incarnation(2), false));
}

/// Guards against live routers that count as dead in a large fleet: with two exchanges a second per router, the oldest
/// heartbeat of any of 350 routers must stay below `DEAD_AFTER`.
#[test]
fn heartbeats_reach_largest_fleet() {
    const SEED: u64 = 7;
    const ROUNDS: u64 = 20;
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    // newest[i][j]: time of j's newest heartbeat that i has received. The rule is that of `Heartbeats::record`.
    let mut newest = vec![vec![1_000u64; ROUTERS]; ROUTERS];
    let mut oldest = 0;
    for round in 1..=ROUNDS {
        let mut exchanges: Vec<(u64, usize, usize)> = Vec::new();
        for i in 0..ROUTERS {
            let at = round * 1_000 + rng.random_range(0..1_000);
            exchanges.extend(index::sample(&mut rng, ROUTERS, 2).into_iter().map(|j| (at, i, j)));
        }
        exchanges.sort_unstable();
        for (now, i, j) in exchanges.into_iter().filter(|(_, i, j)| i != j) {
            newest[i][i] = now;
            newest[j][j] = now;
            let merged: Vec<u64> = newest[i].iter().zip(&newest[j]).map(|(a, b)| *a.max(b)).collect();
            newest[i].clone_from(&merged);
            newest[j] = merged;
            oldest = oldest.max(now - newest[i].iter().min().unwrap());
        }
    }
    println!("oldest heartbeat of a live router among {ROUTERS}: {oldest} ms");
    assert!(Millis(oldest) < DEAD_AFTER);
}
