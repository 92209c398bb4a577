//! Choice of an agent among those that a router is linked to.

use rand::{Rng, RngExt};

use crate::{
    hash::HashMap,
    id::{DomainId, HostId, ModelName, VersionName},
    unit::{Millis, Tokens},
};

/// Weight of this router's own outstanding requests in the rank of an agent. They are exact, but
/// other routers' requests are not among them.
const OWN_WEIGHT: f64 = 4.0;
/// Weight of the reported load. With reports that are older than most requests, full weight made 40
/// routers spread the load worse than chance: they all turn to the same agents until the next report.
const REPORT_WEIGHT: f64 = 0.25;
/// Addition to the rank of an agent that has just refused a request.
const REFUSAL_PENALTY: f64 = 4.0;
/// Largest sum of penalties.
const MAX_PENALTY: f64 = 8.0;
/// Time in which a penalty halves. Load reports are up to 2 s old, and agents recover in seconds.
const PENALTY_HALF_LIFE: Millis = Millis(1_000);
/// Occupancy by which an agent that certainly has the prefix cached may exceed the other choice.
/// A popular prefix cannot fill one agent while others have room.
const CACHE_BONUS: f64 = 0.25;
/// Time in which the belief that an agent has a prefix cached halves, since an event that tells of
/// its eviction may be lost.
const CACHE_HALF_LIFE: Millis = Millis(60_000);
/// Prefixes of one generation. Two generations are kept: about 1 MB at three holders each.
const MAX_PREFIXES: usize = 4_096;
/// Agents remembered for one prefix.
const MAX_HOLDERS: usize = 3;
/// Occupancy from which on an agent counts as full, so that cold ones take what they can bear.
const CROWDED: f64 = 1.0;
/// One in this many choices takes cold agents into account. Without any request a cold agent could
/// not show that it has become warm.
const COLD_PROBE: u32 = 50;

/// What a router knows of an agent when it chooses.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// Host of the agent.
    pub id: HostId,
    /// Failure domain of the agent.
    pub domain: DomainId,
    /// Requests of this router that run or wait at the agent.
    pub outstanding: u32,
    /// Last load report; lags by up to one heartbeat.
    pub load: LoadReport,
    /// Loaded versions; empty for a plain service.
    pub loaded: Vec<(ModelName, VersionName)>,
    /// Whether the agent refuses new work because it leaves.
    pub leaving: bool,
}

/// Load of a backend server as its agent reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub queued: u32,
    /// Most requests that may run now.
    pub limit: u32,
    /// Tokens held by running requests.
    pub tokens_held: Tokens,
    /// Most tokens that may be held; zero means no limit.
    pub tokens_limit: Tokens,
    /// Whether the backend server is in its cold start.
    pub cold: bool,
}

/// What a request needs of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// Prompt and possible output.
    pub tokens: Tokens,
    /// Hash of the prompt prefix; 0 when there is none.
    pub prefix: u64,
}

/// What a router remembers of earlier requests: refusals, and prefixes that agents have cached.
#[derive(Debug, Default)]
pub struct SelectionHistory {
    penalties: HashMap<HostId, Penalty>,
    recent: HashMap<u64, Vec<Holder>>,
    older: HashMap<u64, Vec<Holder>>,
}

#[derive(Clone, Copy, Debug)]
struct Penalty {
    amount: f64,
    at: Millis,
}

#[derive(Clone, Debug)]
struct Holder {
    agent: HostId,
    seen_at: Millis,
}

/// Index of the chosen agent, without regard to the request and to earlier ones.
pub fn choose(agents: &[AgentView], rng: &mut impl Rng) -> Option<usize> {
    choose_for(agents, &RequestProfile::default(), &SelectionHistory::default(), Millis::ZERO, rng)
}

/// Index of the chosen agent: the less loaded of two picked at random, or the one that most likely
/// has the prefix cached. Picking the least loaded of all would send every router to the same agent,
/// since load reports lag. Cold agents are chosen only when the warm ones are full or missing, and
/// for a small share of the requests.
pub fn choose_for(
    agents: &[AgentView],
    profile: &RequestProfile,
    history: &SelectionHistory,
    now: Millis,
    rng: &mut impl Rng,
) -> Option<usize> {
    let (cold, warm): (Vec<usize>, Vec<usize>) = (0..agents.len()).partition(|&index| agents[index].load.cold);
    let warm = pick(&warm, agents, profile, history, now, rng);
    let cold = pick(&cold, agents, profile, history, now, rng);
    let (Some(warm), Some(cold)) = (warm, cold) else { return warm.or(cold) };
    let spare = occupancy(&agents[cold], profile) < CROWDED;
    let wanted = occupancy(&agents[warm], profile) >= CROWDED || rng.random_ratio(1, COLD_PROBE);
    Some(if spare && wanted { cold } else { warm })
}

fn pick(
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
    let rank = |index: usize| rank(&agents[index], profile) + history.penalty(&agents[index].id, now);
    let (first, second) = (among[first], among[second]);
    let chosen = if rank(second) < rank(first) { second } else { first };
    let Some((holder, certainty)) = history.likeliest_holder(among, agents, profile.prefix, now) else {
        return Some(chosen);
    };
    let penalty = history.penalty(&agents[holder].id, now);
    let limit = occupancy(&agents[chosen], profile) + CACHE_BONUS * certainty;
    let prefer_holder = occupancy(&agents[holder], profile) + penalty < limit.min(CROWDED);
    Some(if prefer_holder { holder } else { chosen })
}

/// Rank of an agent by its load; the lower one is chosen.
fn rank(agent: &AgentView, profile: &RequestProfile) -> f64 {
    let load = &agent.load;
    let limit = f64::from(load.limit.max(1));
    let reported = f64::from(load.running.saturating_add(load.queued)) / limit;
    OWN_WEIGHT * f64::from(agent.outstanding) / limit + REPORT_WEIGHT * reported.max(token_share(load, profile))
}

/// Share of the agent's limits in use, as far as is known; 1.0 is full.
fn occupancy(agent: &AgentView, profile: &RequestProfile) -> f64 {
    let load = &agent.load;
    let work = agent.outstanding.max(load.running.saturating_add(load.queued));
    (f64::from(work) / f64::from(load.limit.max(1))).max(token_share(load, profile))
}

/// Share of the token memory in use once the agent runs the request as well.
fn token_share(load: &LoadReport, profile: &RequestProfile) -> f64 {
    match load.tokens_limit {
        Tokens::ZERO => 0.0,
        limit => (load.tokens_held + profile.tokens).0 as f64 / limit.0 as f64,
    }
}

impl SelectionHistory {
    /// Notes that an agent refused a request.
    pub fn record_refusal(&mut self, agent: &HostId, now: Millis) {
        let amount = (self.penalty(agent, now) + REFUSAL_PENALTY).min(MAX_PENALTY);
        self.penalties.insert(agent.clone(), Penalty { amount, at: now });
        let forgotten = REFUSAL_PENALTY / 64.0;
        self.penalties.retain(|_, penalty| penalty.left(now) > forgotten);
    }

    /// Notes that an agent has a prefix cached: it has answered a request with it, or has said so.
    pub fn record_cached(&mut self, agent: &HostId, prefix: u64, now: Millis) {
        if prefix == 0 {
            return;
        }
        if self.recent.len() >= MAX_PREFIXES && !self.recent.contains_key(&prefix) {
            self.older = std::mem::take(&mut self.recent);
        }
        let known = self.older.remove(&prefix).unwrap_or_default();
        let holders = self.recent.entry(prefix).or_insert(known);
        holders.retain(|holder| holder.agent != *agent);
        holders.truncate(MAX_HOLDERS - 1);
        holders.insert(0, Holder { agent: agent.clone(), seen_at: now });
    }

    /// Notes that an agent has dropped a prefix from its cache. Such events come late: one that is
    /// older than the last answer is corrected by the next answer.
    pub fn record_evicted(&mut self, agent: &HostId, prefix: u64) {
        for generation in [&mut self.recent, &mut self.older] {
            if let Some(holders) = generation.get_mut(&prefix) {
                holders.retain(|holder| holder.agent != *agent);
            }
        }
    }

    fn penalty(&self, agent: &HostId, now: Millis) -> f64 {
        self.penalties.get(agent).map_or(0.0, |penalty| penalty.left(now))
    }

    fn holders(&self, prefix: u64) -> &[Holder] {
        let generations = [&self.recent, &self.older];
        generations.into_iter().find_map(|generation| generation.get(&prefix)).map_or(&[], Vec::as_slice)
    }

    /// The agent that most likely has the prefix cached, with the probability that it has.
    fn likeliest_holder(
        &self,
        among: &[usize],
        agents: &[AgentView],
        prefix: u64,
        now: Millis,
    ) -> Option<(usize, f64)> {
        let holders = self.holders(prefix).iter();
        let found = holders.filter_map(|holder| {
            let index = among.iter().copied().find(|&index| agents[index].id == holder.agent)?;
            Some((index, decay(holder.seen_at, now, CACHE_HALF_LIFE)))
        });
        found.max_by(|a, b| a.1.total_cmp(&b.1))
    }
}

impl Penalty {
    fn left(&self, now: Millis) -> f64 {
        self.amount * decay(self.at, now, PENALTY_HALF_LIFE)
    }
}

/// What is left of 1 after the time from `since` to `now`.
fn decay(since: Millis, now: Millis, half_life: Millis) -> f64 {
    let age = now.saturating_sub(since);
    (-(age.0 as f64) / half_life.0 as f64).exp2()
}
