//! Rendezvous hashing over hosts: watchers, ranks for shards, link subsets; and failure detection
//! by heartbeats.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::{
    hash::stable_hash,
    id::{DomainId, HostId, Incarnation, ServiceName},
    unit::Millis,
};

/// Routers that link to each agent.
pub const ROUTERS_PER_AGENT: usize = 8;
/// Agents of each pool that every router links to, so that small pools are reachable from all routers.
pub const AGENTS_PER_POOL: usize = 3;
/// Most links of a router, as a multiple of what it has when all listed routers are alive. A region
/// with a sixth of the routers that is cut off from the others plans six times as many.
pub const LINK_LIMIT_FACTOR: usize = 8;
/// Routers of each failure domain that watch the platform.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Time without a heartbeat after which a router counts as dead. With 350 routers and two exchanges
/// a second each, the oldest heartbeat of a live router was 3.9 s in a simulation.
pub const DEAD_AFTER: Millis = Millis(8_000);

/// A router or agent as the subsets see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// The host.
    pub id: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its pool; empty for routers.
    pub pool: ServiceName,
}

/// A link that a router should keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedLink {
    /// Index of the agent.
    pub agent: usize,
    /// Place of the router among the agent's routers; none when the link only serves the minimum per pool.
    pub rank: Option<usize>,
}

/// Indices of `ids` in falling order of rendezvous weight for `key`.
pub fn rank(key: &str, ids: &[&HostId]) -> Vec<usize> {
    let key = stable_hash(&[key]);
    let mut ranked: Vec<usize> = (0..ids.len()).collect();
    ranked.sort_by_cached_key(|&i| (Reverse(weight(key, node_hash(ids[i]))), ids[i].clone()));
    ranked
}

/// Whether `own` is among the watchers that the routers of its failure domain elect.
pub fn is_watcher(own: &HostId, domain: &DomainId, routers: &[Node]) -> bool {
    let mut ids: Vec<&HostId> = routers.iter().filter(|r| r.domain == *domain).map(|r| &r.id).collect();
    if !ids.contains(&own) {
        ids.push(own);
    }
    rank(WATCH_KEY, &ids).iter().take(WATCHERS_PER_DOMAIN).any(|&i| ids[i] == own)
}

const WATCH_KEY: &str = "watch";

/// Number of watchers that `routers` elect in all failure domains.
pub fn watcher_count(routers: &[Node]) -> usize {
    let mut domains: BTreeMap<&DomainId, usize> = BTreeMap::new();
    for router in routers {
        *domains.entry(&router.domain).or_default() += 1;
    }
    domains.values().map(|&n| n.min(WATCHERS_PER_DOMAIN)).sum()
}

/// The links that `own` should keep, in order of the agents. `routers` must contain `own`.
pub fn plan_links(own: &HostId, routers: &[Node], agents: &[Node]) -> Vec<PlannedLink> {
    let Some(own_index) = routers.iter().position(|r| r.id == *own) else { return Vec::new() };
    let groups = Groups::new(routers);
    let mut links: BTreeMap<usize, PlannedLink> =
        pool_agents(own, agents).into_iter().map(|agent| (agent, PlannedLink { agent, rank: None })).collect();
    for (agent, node) in agents.iter().enumerate() {
        let routers = groups.pick(node_hash(&node.id), ROUTERS_PER_AGENT);
        let rank = routers.into_iter().position(|i| i == own_index);
        if rank.is_some() {
            links.insert(agent, PlannedLink { agent, rank });
        }
    }
    links.into_values().collect()
}

/// Keeps the most needed of `links` when a router plans more than `listed_routers` let expect: one
/// that hears of no peers would otherwise link to all agents of the fleet. Links for the minimum per
/// pool come first, then those of the lowest rank.
pub fn limit_links(links: &mut Vec<PlannedLink>, listed_routers: usize, agents: usize) {
    let expected = (agents * ROUTERS_PER_AGENT).div_ceil(listed_routers.max(1));
    links.sort_by_key(|link| (link.rank, link.agent));
    links.truncate(LINK_LIMIT_FACTOR * expected.max(ROUTERS_PER_AGENT));
    links.sort_by_key(|link| link.agent);
}

/// Agents that `own` links to whatever their rank, as indices: the first of each pool.
pub fn pool_agents(own: &HostId, agents: &[Node]) -> Vec<usize> {
    let own = node_hash(own);
    let mut pools: BTreeMap<&ServiceName, Vec<usize>> = BTreeMap::new();
    for (agent, node) in agents.iter().enumerate() {
        pools.entry(&node.pool).or_default().push(agent);
    }
    let picks = pools.into_values().flat_map(|members| {
        let nodes: Vec<&Node> = members.iter().map(|&agent| &agents[agent]).collect();
        let picked = Groups::from_refs(&nodes).pick(own, AGENTS_PER_POOL);
        picked.into_iter().map(move |i| members[i]).collect::<Vec<_>>()
    });
    picks.collect()
}

/// Routers that should link to `agent`, as indices in order of rank.
pub fn routers_of(agent: &HostId, routers: &[Node]) -> Vec<usize> {
    Groups::new(routers).pick(node_hash(agent), ROUTERS_PER_AGENT)
}

/// Nodes by failure domain, with their hashes computed once.
struct Groups {
    domains: Vec<Vec<(u64, usize)>>,
}

impl Groups {
    fn new(nodes: &[Node]) -> Self {
        Self::from_refs(&nodes.iter().collect::<Vec<_>>())
    }

    fn from_refs(nodes: &[&Node]) -> Self {
        let mut domains: BTreeMap<&DomainId, Vec<(u64, usize)>> = BTreeMap::new();
        for (i, node) in nodes.iter().enumerate() {
            domains.entry(&node.domain).or_default().push((node_hash(&node.id), i));
        }
        Self { domains: domains.into_values().collect() }
    }

    /// Takes up to `count` nodes round-robin over the failure domains: first the best of each domain
    /// in falling order of weight, then the second best of each, and so on.
    fn pick(&self, key: u64, count: usize) -> Vec<usize> {
        // Rounds that are needed; with many domains one suffices, and only the best of each is sought.
        let supplied = |rounds: usize| self.domains.iter().map(|domain| domain.len().min(rounds)).sum::<usize>();
        let rounds = (1..count).find(|&rounds| supplied(rounds) >= count).unwrap_or(count);
        let mut ranked: Vec<(usize, Reverse<u64>, usize)> = Vec::with_capacity(self.domains.len() * rounds);
        let mut best: Vec<(Reverse<u64>, usize)> = Vec::with_capacity(rounds + 1);
        for domain in &self.domains {
            best.clear();
            for &(hash, i) in domain {
                let entry = (Reverse(weight(key, hash)), i);
                if best.len() == rounds && entry >= best[rounds - 1] {
                    continue;
                }
                let at = best.partition_point(|other| *other < entry);
                best.insert(at, entry);
                best.truncate(rounds);
            }
            ranked.extend(best.iter().enumerate().map(|(round, &(weight, i))| (round, weight, i)));
        }
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, _, i)| i).collect()
    }
}

fn node_hash(id: &HostId) -> u64 {
    stable_hash(&[id.as_str()])
}

/// Rendezvous weight of a pair of hashes. Both are well mixed, so one multiply-xor round suffices.
fn weight(a: u64, b: u64) -> u64 {
    let mut x = a.rotate_left(32) ^ b;
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^ (x >> 32)
}

/// Heartbeats of routers, heard directly or through others. `T` is what is known of a router.
#[derive(Clone, Debug)]
pub struct Heartbeats<T> {
    newest: BTreeMap<HostId, Heartbeat<T>>,
}

/// The newest heartbeat of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat<T> {
    /// Incarnation that sent it.
    pub incarnation: Incarnation,
    /// Time of it on this process's clock.
    pub at: Millis,
    /// Whether the incarnation has announced that it leaves.
    pub leaving: bool,
    /// What else is known.
    pub info: T,
}

impl<T> Default for Heartbeats<T> {
    fn default() -> Self {
        Self { newest: BTreeMap::new() }
    }
}

impl<T> Heartbeats<T> {
    /// Takes in a heartbeat. Older ones of the same incarnation change nothing except that a
    /// leaving incarnation stays leaving; of two incarnations the one heard last counts.
    pub fn record(&mut self, id: &HostId, beat: Heartbeat<T>) {
        let Some(known) = self.newest.get_mut(id) else {
            self.newest.insert(id.clone(), beat);
            return;
        };
        if known.incarnation == beat.incarnation {
            known.leaving |= beat.leaving;
            known.at = known.at.max(beat.at);
        } else if beat.at > known.at {
            *known = beat;
        }
    }

    /// Drops routers that count as dead at `now`.
    pub fn expire(&mut self, now: Millis) {
        self.newest.retain(|_, heard| heard.is_live(now));
    }

    /// Routers that are alive at `now`, leaving ones included, in order of id.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = (&HostId, &Heartbeat<T>)> {
        self.newest.iter().filter(move |(_, heard)| heard.is_live(now))
    }

    /// Like `live`; for heartbeats of routers that are known already, which only raise `at`.
    pub fn live_mut(&mut self, now: Millis) -> impl Iterator<Item = (&HostId, &mut Heartbeat<T>)> {
        self.newest.iter_mut().filter(move |(_, heard)| heard.is_live(now))
    }

    /// What is known of the router at `id`.
    pub fn get(&self, id: &HostId) -> Option<&Heartbeat<T>> {
        self.newest.get(id)
    }
}

impl<T> Heartbeat<T> {
    fn is_live(&self, now: Millis) -> bool {
        now.saturating_sub(self.at) < DEAD_AFTER
    }
}
