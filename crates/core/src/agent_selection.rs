//! Selects the agent for a request among those that a router is linked to.

use rand::{Rng, RngExt};

use crate::{
    hash::HashMap,
    id::{DomainId, HostId, ModelName, VersionName},
    unit::{Millis, Tokens},
};

/// Weight of this router's own outstanding requests in the score of an agent. Their number is exact, but does not
/// include the requests of other routers.
const OWN_WEIGHT: f64 = 4.0;
/// Weight of the reported load in the score of an agent. With full weight and reports older than most requests, 40
/// routers distributed the load worse than random selection: they all chose the same agents until the next report.
const REPORT_WEIGHT: f64 = 0.25;
/// Penalty added to the score of an agent that has rejected a request.
const REFUSAL_PENALTY: f64 = 4.0;
/// Maximum sum of the penalties of an agent.
const MAX_PENALTY: f64 = 8.0;
/// Half-life of a penalty. Load reports are up to 2 s old, and agents recover within seconds.
const PENALTY_HALF_LIFE: Millis = Millis(1_000);
/// Occupancy by which an agent that certainly has the prefix cached may exceed the agent selected by load. The limit
/// prevents a popular prefix from filling one agent while others have capacity.
const CACHE_BONUS: f64 = 0.25;
/// Half-life of the probability that an agent has a prefix cached, because the event that reports its eviction may be
/// lost.
const CACHE_HALF_LIFE: Millis = Millis(60_000);
/// Maximum number of prefixes in one generation. The two generations take about 1 MB with three holders per prefix.
const MAX_PREFIXES: usize = 4_096;
/// Maximum number of agents stored for one prefix.
const MAX_HOLDERS: usize = 3;
/// Occupancy from which an agent counts as full. When the warm agent is full, a cold one takes requests up to this
/// occupancy.
const FULL_OCCUPANCY: f64 = 1.0;
/// One in this many selections may use a cold agent, as a probe. Without any request, a cold agent could not show that
/// it has become warm.
const COLD_PROBE_INTERVAL: u32 = 50;

/// A router's view of an agent, on which the selection is based.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// Host of the agent.
    pub id: HostId,
    /// Failure domain of the agent.
    pub domain: DomainId,
    /// Number of this router's requests that run or are queued at the agent.
    pub outstanding: u32,
    /// Last load report, which is up to one heartbeat old.
    pub load: LoadReport,
    /// Loaded versions; empty for a plain service.
    pub loaded: Vec<(ModelName, VersionName)>,
    /// Whether the agent rejects new requests because it is leaving.
    pub leaving: bool,
}

/// Load of a backend server, as reported by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Maximum number of requests that may run now.
    pub limit: u32,
    /// Tokens held by running requests.
    pub tokens_held: Tokens,
    /// Maximum number of tokens that may be held; zero for no limit.
    pub tokens_limit: Tokens,
    /// Whether the backend server is in its cold start.
    pub cold: bool,
}

/// Properties of a request that matter for the selection of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// Tokens of the prompt and of the longest possible output.
    pub tokens: Tokens,
    /// Hash of the prompt prefix; 0 if there is none.
    pub prefix: u64,
}

/// Data from earlier requests: penalties of agents that rejected requests, and the prefixes that agents have cached.
#[derive(Debug, Default)]
pub struct SelectionHistory {
    penalties: HashMap<HostId, Penalty>,
    /// Holders of each prefix, newest first. When this generation is full, it replaces `older`.
    recent: HashMap<u64, Vec<Holder>>,
    older: HashMap<u64, Vec<Holder>>,
}

#[derive(Clone, Copy, Debug)]
struct Penalty {
    amount: f64,
    at: Millis,
}

/// An agent that has a prefix cached.
#[derive(Clone, Debug)]
struct Holder {
    agent: HostId,
    seen_at: Millis,
}

/// Returns the index of the selected agent, regardless of the request and of earlier ones.
pub fn choose(agents: &[AgentView], rng: &mut impl Rng) -> Option<usize> {
    choose_for(agents, &RequestProfile::default(), &SelectionHistory::default(), Millis::ZERO, rng)
}

/// Returns the index of the selected agent: the less loaded of two random ones, or the one that most likely has the
/// prefix cached. Selecting the least loaded of all agents would make every router select the same one, because load
/// reports lag. Cold agents are selected only if the warm ones are full or missing, and for a small share of the
/// requests.
pub fn choose_for(
    agents: &[AgentView],
    profile: &RequestProfile,
    history: &SelectionHistory,
    now: Millis,
    rng: &mut impl Rng,
) -> Option<usize> {
    let (cold, warm): (Vec<usize>, Vec<usize>) = (0..agents.len()).partition(|&index| agents[index].load.cold);
    let warm = choose_among(&warm, agents, profile, history, now, rng);
    let cold = choose_among(&cold, agents, profile, history, now, rng);
    let (Some(warm), Some(cold)) = (warm, cold) else { return warm.or(cold) };
    let cold_has_capacity = occupancy(&agents[cold], profile) < FULL_OCCUPANCY;
    let prefer_cold = occupancy(&agents[warm], profile) >= FULL_OCCUPANCY || rng.random_ratio(1, COLD_PROBE_INTERVAL);
    Some(if cold_has_capacity && prefer_cold { cold } else { warm })
}

/// Selects one of the agents with the indices `among`.
fn choose_among(
    among: &[usize],
    agents: &[AgentView],
    profile: &RequestProfile,
    history: &SelectionHistory,
    now: Millis,
    rng: &mut impl Rng,
) -> Option<usize> {
    if among.len() < 2 {
        return among.first().copied();
    }
    let first = rng.random_range(0..among.len());
    let second = (first + rng.random_range(1..among.len())) % among.len();
    let score = |index: usize| load_score(&agents[index], profile) + history.penalty(&agents[index].id, now);
    let (first, second) = (among[first], among[second]);
    let less_loaded = if score(second) < score(first) { second } else { first };
    let Some((holder, probability)) = history.likeliest_holder(among, agents, profile.prefix, now) else {
        return Some(less_loaded);
    };
    let penalty = history.penalty(&agents[holder].id, now);
    let limit = occupancy(&agents[less_loaded], profile) + CACHE_BONUS * probability;
    let prefer_holder = occupancy(&agents[holder], profile) + penalty < limit.min(FULL_OCCUPANCY);
    Some(if prefer_holder { holder } else { less_loaded })
}

/// Score of an agent by its load. The agent with the lower score is selected.
fn load_score(agent: &AgentView, profile: &RequestProfile) -> f64 {
    let load = &agent.load;
    let limit = f64::from(load.limit.max(1));
    let reported = f64::from(load.running.saturating_add(load.queued)) / limit;
    OWN_WEIGHT * f64::from(agent.outstanding) / limit + REPORT_WEIGHT * reported.max(token_share(load, profile))
}

/// Share of the agent's limits in use, as far as is known to this router; 1.0 is full.
fn occupancy(agent: &AgentView, profile: &RequestProfile) -> f64 {
    let load = &agent.load;
    let requests = agent.outstanding.max(load.running.saturating_add(load.queued));
    (f64::from(requests) / f64::from(load.limit.max(1))).max(token_share(load, profile))
}

/// Share of the token memory in use when the agent also runs the request.
fn token_share(load: &LoadReport, profile: &RequestProfile) -> f64 {
    match load.tokens_limit {
        Tokens::ZERO => 0.0,
        limit => (load.tokens_held + profile.tokens).0 as f64 / limit.0 as f64,
    }
}

impl SelectionHistory {
    /// Records that an agent rejected a request.
    pub fn record_refusal(&mut self, agent: &HostId, now: Millis) {
        let amount = (self.penalty(agent, now) + REFUSAL_PENALTY).min(MAX_PENALTY);
        self.penalties.insert(agent.clone(), Penalty { amount, at: now });
        let negligible = REFUSAL_PENALTY / 64.0;
        self.penalties.retain(|_, penalty| penalty.remaining(now) > negligible);
    }

    /// Records that an agent has a prefix cached, because it answered a request with the prefix or reported it.
    pub fn record_cached(&mut self, agent: &HostId, prefix: u64, now: Millis) {
        if prefix == 0 {
            return;
        }
        if self.recent.len() >= MAX_PREFIXES && !self.recent.contains_key(&prefix) {
            self.older = std::mem::take(&mut self.recent);
        }
        let older_holders = self.older.remove(&prefix).unwrap_or_default();
        let holders = self.recent.entry(prefix).or_insert(older_holders);
        holders.retain(|holder| holder.agent != *agent);
        holders.truncate(MAX_HOLDERS - 1);
        holders.insert(0, Holder { agent: agent.clone(), seen_at: now });
    }

    /// Records that an agent has evicted a prefix from its cache. Such events arrive late. If the agent has answered a
    /// request with the prefix since the eviction, the next answer corrects the record.
    pub fn record_evicted(&mut self, agent: &HostId, prefix: u64) {
        for generation in [&mut self.recent, &mut self.older] {
            if let Some(holders) = generation.get_mut(&prefix) {
                holders.retain(|holder| holder.agent != *agent);
            }
        }
    }

    fn penalty(&self, agent: &HostId, now: Millis) -> f64 {
        self.penalties.get(agent).map_or(0.0, |penalty| penalty.remaining(now))
    }

    fn holders(&self, prefix: u64) -> &[Holder] {
        let generations = [&self.recent, &self.older];
        generations.into_iter().find_map(|generation| generation.get(&prefix)).map_or(&[], Vec::as_slice)
    }

    /// Index of the agent that most likely has the prefix cached, and the probability that it has.
    fn likeliest_holder(
        &self,
        among: &[usize],
        agents: &[AgentView],
        prefix: u64,
        now: Millis,
    ) -> Option<(usize, f64)> {
        let holders = self.holders(prefix).iter();
        let candidates = holders.filter_map(|holder| {
            let index = among.iter().copied().find(|&index| agents[index].id == holder.agent)?;
            Some((index, decay(holder.seen_at, now, CACHE_HALF_LIFE)))
        });
        candidates.max_by(|a, b| a.1.total_cmp(&b.1))
    }
}

impl Penalty {
    fn remaining(&self, now: Millis) -> f64 {
        self.amount * decay(self.at, now, PENALTY_HALF_LIFE)
    }
}

/// Factor from 1 to 0 by which a value has decayed exponentially between `since` and `now`.
fn decay(since: Millis, now: Millis, half_life: Millis) -> f64 {
    let age = now.saturating_sub(since);
    (-(age.0 as f64) / half_life.0 as f64).exp2()
}
