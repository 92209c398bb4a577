//! Rendezvous hashing over hosts, which elects watchers, ranks routers for shards and selects links; and failure
//! detection by heartbeats.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::{
    hash::stable_hash,
    id::{DomainId, HostId, Incarnation, ServiceName},
    unit::Millis,
};

/// Number of routers that link to each agent.
pub const ROUTERS_PER_AGENT: usize = 8;
/// Number of agents of each pool that every router links to, so that small pools are reachable from all routers.
pub const AGENTS_PER_POOL: usize = 3;
/// Maximum number of links of a router, as a multiple of its links when all listed routers are alive. In a region that
/// is cut off from the others and has a sixth of the routers, each router plans six times as many links.
pub const LINK_LIMIT_FACTOR: usize = 8;
/// Number of routers in each failure domain that watch the platform.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Time without a heartbeat after which a router counts as dead. In a simulation with 350 routers and two exchanges
/// a second each, the oldest heartbeat of a live router was 3.9 s old.
pub const DEAD_AFTER: Millis = Millis(8_000);

/// A router or agent, as an input to the selection of watchers and links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Host that the router or agent runs on.
    pub id: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Pool of the agent; empty for routers.
    pub pool: ServiceName,
}

/// A link that a router should keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedLink {
    /// Index of the agent.
    pub agent: usize,
    /// Rank of the router among the agent's routers; none if the link only serves the minimum per pool.
    pub rank: Option<usize>,
}

/// Indices of `ids` by decreasing rendezvous weight for `key`.
pub fn rank(key: &str, ids: &[&HostId]) -> Vec<usize> {
    let key = stable_hash(&[key]);
    let mut ranked: Vec<usize> = (0..ids.len()).collect();
    ranked.sort_by_cached_key(|&i| (Reverse(weight(key, node_hash(ids[i]))), ids[i].clone()));
    ranked
}

/// Whether `own` is among the watchers elected in its failure domain.
pub fn is_watcher(own: &HostId, domain: &DomainId, routers: &[Node]) -> bool {
    let mut ids: Vec<&HostId> = routers.iter().filter(|r| r.domain == *domain).map(|r| &r.id).collect();
    if !ids.contains(&own) {
        ids.push(own);
    }
    rank(WATCH_KEY, &ids).iter().take(WATCHERS_PER_DOMAIN).any(|&i| ids[i] == own)
}

const WATCH_KEY: &str = "watch";

/// Number of watchers elected in all failure domains of `routers`.
pub fn watcher_count(routers: &[Node]) -> usize {
    let mut domains: BTreeMap<&DomainId, usize> = BTreeMap::new();
    for router in routers {
        *domains.entry(&router.domain).or_default() += 1;
    }
    domains.values().map(|&n| n.min(WATCHERS_PER_DOMAIN)).sum()
}

/// The links that `own` should keep, in order of the agents; none if `routers` does not contain `own`.
pub fn plan_links(own: &HostId, routers: &[Node], agents: &[Node]) -> Vec<PlannedLink> {
    let Some(own_index) = routers.iter().position(|r| r.id == *own) else { return Vec::new() };
    let groups = DomainGroups::new(routers);
    let mut links: BTreeMap<usize, PlannedLink> =
        pool_agents(own, agents).into_iter().map(|agent| (agent, PlannedLink { agent, rank: None })).collect();
    for (agent, node) in agents.iter().enumerate() {
        let routers = groups.select(node_hash(&node.id), ROUTERS_PER_AGENT);
        let rank = routers.into_iter().position(|i| i == own_index);
        if rank.is_some() {
            links.insert(agent, PlannedLink { agent, rank });
        }
    }
    links.into_values().collect()
}

/// Limits `links` to `LINK_LIMIT_FACTOR` times the number expected with `listed_routers` alive. Without this limit, a
/// router that receives no heartbeats of peers would link to all agents of the fleet. Links for the minimum per pool
/// are kept first, then those of the lowest rank.
pub fn limit_links(links: &mut Vec<PlannedLink>, listed_routers: usize, agents: usize) {
    let expected = (agents * ROUTERS_PER_AGENT).div_ceil(listed_routers.max(1));
    links.sort_by_key(|link| (link.rank, link.agent));
    links.truncate(LINK_LIMIT_FACTOR * expected.max(ROUTERS_PER_AGENT));
    links.sort_by_key(|link| link.agent);
}

/// Indices of the agents that `own` links to regardless of its rank among their routers: the first
/// `AGENTS_PER_POOL` of each pool.
pub fn pool_agents(own: &HostId, agents: &[Node]) -> Vec<usize> {
    let own = node_hash(own);
    let mut pools: BTreeMap<&ServiceName, Vec<usize>> = BTreeMap::new();
    for (agent, node) in agents.iter().enumerate() {
        pools.entry(&node.pool).or_default().push(agent);
    }
    let selected = pools.into_values().flat_map(|members| {
        let nodes: Vec<&Node> = members.iter().map(|&agent| &agents[agent]).collect();
        let indices = DomainGroups::from_refs(&nodes).select(own, AGENTS_PER_POOL);
        indices.into_iter().map(move |i| members[i]).collect::<Vec<_>>()
    });
    selected.collect()
}

/// Indices of the routers that should link to `agent`, in order of rank.
pub fn routers_of(agent: &HostId, routers: &[Node]) -> Vec<usize> {
    DomainGroups::new(routers).select(node_hash(agent), ROUTERS_PER_AGENT)
}

/// Nodes grouped by failure domain, with their hashes computed once.
struct DomainGroups {
    /// Hash and index of each node, by failure domain.
    domains: Vec<Vec<(u64, usize)>>,
}

impl DomainGroups {
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

    /// Selects up to `count` nodes round-robin over the failure domains and returns their indices: first the node with
    /// the highest weight of each domain, by decreasing weight, then the second of each domain, and so on.
    fn select(&self, key: u64, count: usize) -> Vec<usize> {
        // With many domains a single round suffices, which only needs the best node of each domain.
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

/// Newest heartbeat of each router, received directly or through other routers. `T` is further data on a router.
#[derive(Clone, Debug)]
pub struct Heartbeats<T> {
    newest: BTreeMap<HostId, Heartbeat<T>>,
}

/// The newest heartbeat of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat<T> {
    /// Incarnation that sent the heartbeat.
    pub incarnation: Incarnation,
    /// Time of the heartbeat on this process's clock.
    pub at: Millis,
    /// Whether the incarnation has announced that it is leaving.
    pub leaving: bool,
    /// Further data on the router.
    pub info: T,
}

impl<T> Default for Heartbeats<T> {
    fn default() -> Self {
        Self { newest: BTreeMap::new() }
    }
}

impl<T> Heartbeats<T> {
    /// Records a heartbeat. An older one of the same incarnation only sets `leaving`, which is never reset. Of two
    /// incarnations the one with the newer heartbeat is kept.
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

    /// Removes routers that count as dead at `now`.
    pub fn expire(&mut self, now: Millis) {
        self.newest.retain(|_, beat| beat.is_live(now));
    }

    /// Routers that are alive at `now`, including those that are leaving, in order of id.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = (&HostId, &Heartbeat<T>)> {
        self.newest.iter().filter(move |(_, beat)| beat.is_live(now))
    }

    /// Like `live`, for newer heartbeats of known routers; callers only raise `at`.
    pub fn live_mut(&mut self, now: Millis) -> impl Iterator<Item = (&HostId, &mut Heartbeat<T>)> {
        self.newest.iter_mut().filter(move |(_, beat)| beat.is_live(now))
    }

    /// Newest heartbeat of the router at `id`.
    pub fn get(&self, id: &HostId) -> Option<&Heartbeat<T>> {
        self.newest.get(id)
    }
}

impl<T> Heartbeat<T> {
    fn is_live(&self, now: Millis) -> bool {
        now.saturating_sub(self.at) < DEAD_AFTER
    }
}
