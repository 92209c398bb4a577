//! Choice of an agent among those that a router is linked to.

use rand::{Rng, RngExt};

use crate::{
    id::{DomainId, HostId, ModelName, VersionName},
    unit::Tokens,
};

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

/// Index of the chosen agent: the less loaded of two picked at random. Picking the least loaded of
/// all would send every router to the same agent, since load reports lag.
pub fn choose(agents: &[AgentView], rng: &mut impl Rng) -> Option<usize> {
    let len = agents.len();
    if len < 2 {
        return (len == 1).then_some(0);
    }
    let first = rng.random_range(0..len);
    let second = (first + rng.random_range(1..len)) % len;
    Some(if score(&agents[second]) < score(&agents[first]) { second } else { first })
}

/// Expected occupancy of the agent; 1.0 is its limit.
fn score(agent: &AgentView) -> f64 {
    let load = &agent.load;
    let work = f64::from(agent.outstanding.max(load.running + load.queued));
    work / f64::from(load.limit.max(1))
}
