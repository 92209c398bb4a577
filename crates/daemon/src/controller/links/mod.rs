//! Links to the subset of agents that this router sends requests to.

pub mod push;
mod stream;
mod table;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use eelgrasswell_core::{
    agent_selection::AgentView,
    hash::HashMap,
    id::{DomainId, HostId, Incarnation, ServiceName},
    membership::{self, Node, PlannedLink},
};
use eelgrasswell_manifest::settings::RouterSettings;
use eelgrasswell_proto::v1::agent_client::AgentClient;
use tokio::{
    sync::watch,
    task::{JoinError, JoinHandle},
    time::{MissedTickBehavior, interval},
};
use tonic::{service::interceptor::InterceptedService, transport::Channel};

use self::table::Table;
use super::{bills::Bills, membership::Members};
use crate::{clock::Clock, config::ConfigHandle, credential::AttachCredential, event, platform::HostEntry};

/// Client of an agent that presents the inner credential.
pub type Client = AgentClient<InterceptedService<Channel, AttachCredential>>;

/// Minimum interval between two plans. Planning takes tens of milliseconds with 350 routers and 7,000 agents.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Rank of a link that exists only to provide the minimum number of agents per pool.
const NO_RANK: usize = usize::MAX;

/// Shared handle on the links.
#[derive(Clone)]
pub struct Links {
    inner: Arc<Inner>,
}

struct Inner {
    settings: Arc<RouterSettings>,
    incarnation: Incarnation,
    clock: Clock,
    config: ConfigHandle,
    members: Members,
    bills: Bills,
    table: Table,
}

/// A live link to an agent, described as in the heartbeat that opened it.
pub struct AgentLink {
    /// Host of the agent.
    pub id: HostId,
    /// Failure domain of the agent.
    pub domain: DomainId,
    /// Service of the agent's backend server.
    pub service: ServiceName,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Client for calls to the agent.
    pub client: Client,
    /// Number of requests of this router that the agent has not finished.
    outstanding: AtomicU32,
}

impl Links {
    /// Creates the component without links.
    pub fn open(
        settings: Arc<RouterSettings>,
        incarnation: Incarnation,
        clock: Clock,
        config: ConfigHandle,
        members: Members,
        bills: Bills,
    ) -> Self {
        let table = Table::default();
        Self { inner: Arc::new(Inner { settings, incarnation, clock, config, members, bills, table }) }
    }

    /// Starts the task that opens links, exchanges heartbeats over them and closes them.
    pub fn spawn(&self) {
        tokio::spawn(supervise_links(Arc::clone(&self.inner)));
    }

    /// Live links to the agents of `service`, with the state of each agent as last reported.
    pub fn candidates(&self, service: &ServiceName) -> Vec<(Arc<AgentLink>, AgentView)> {
        self.inner.table.candidates(service, self.inner.clock.now())
    }

    /// The live link to agent `id`, if there is one.
    pub fn link(&self, id: &HostId) -> Option<Arc<AgentLink>> {
        self.inner.table.link(id, self.inner.clock.now())
    }

    /// A receiver that is notified whenever a link is opened or lost or an agent starts to leave.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.table.changes()
    }

    /// A client for any agent in the host list, linked or not. Used for `Resume` and `Resolve`.
    pub fn client(&self, id: &HostId) -> Option<Client> {
        let members = &self.inner.members;
        let address = members.host(id)?.address;
        Some(client_at(members, address))
    }
}

impl AgentLink {
    /// Counts one request of this router as outstanding until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> OutstandingGuard {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
        OutstandingGuard { link: Arc::clone(self) }
    }
}

/// Guard of one outstanding request. Dropping it ends the count.
pub struct OutstandingGuard {
    link: Arc<AgentLink>,
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.link.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
}

fn client_at(members: &Members, address: SocketAddr) -> Client {
    let (channel, credential) = members.channel(address);
    AgentClient::with_interceptor(channel, credential)
}

/// The task that maintains one link. Dropping it aborts the task.
struct LinkTask {
    address: SocketAddr,
    /// Rank of this router among the agent's routers, shared with the task.
    rank: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for LinkTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts and ends links as the membership changes.
async fn supervise_links(inner: Arc<Inner>) {
    let mut tasks: HashMap<HostId, LinkTask> = HashMap::default();
    let mut planned_inputs: Option<(Vec<Node>, u64)> = None;
    let changes = inner.members.changes();
    let mut ticks = interval(PLAN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // A listed router that sends no heartbeat drops out of the linking routers without a change
        // notification, so they are compared as well.
        let inputs = (inner.members.linking_routers(), *changes.borrow());
        if planned_inputs.as_ref() == Some(&inputs) {
            continue;
        }
        let agents = inner.members.agents();
        let Ok(links) = plan_links(&inner, inputs.0.clone(), &agents).await else { continue };
        planned_inputs = Some(inputs);
        end_unplanned(&inner, &mut tasks, &agents, &links);
        for link in links {
            let entry = &agents[link.agent];
            let rank = link.rank.unwrap_or(NO_RANK);
            if entry.leaving {
                inner.table.mark_leaving(&entry.id);
            }
            if let Some(task) = tasks.get(&entry.id) {
                task.rank.store(rank, Ordering::Relaxed);
                continue;
            }
            tasks.insert(entry.id.clone(), spawn_link(&inner, entry.clone(), rank));
        }
    }
}

/// The links that this router should have when `routers` and `agents` are the linking routers and the
/// agents of the host list. Runs on a blocking thread, since planning takes long.
async fn plan_links(inner: &Inner, routers: Vec<Node>, agents: &[HostEntry]) -> Result<Vec<PlannedLink>, JoinError> {
    let own = inner.settings.host.id.clone();
    let agents: Vec<Node> = agents
        .iter()
        .map(|entry| Node { id: entry.id.clone(), domain: entry.domain.clone(), pool: entry.service.clone() })
        .collect();
    let listed_routers = inner.members.listed_routers();
    let plan = tokio::task::spawn_blocking(move || {
        let mut links = membership::plan_links(&own, &routers, &agents);
        membership::limit_links(&mut links, listed_routers, agents.len());
        links
    });
    plan.await
}

/// Ends links that are no longer planned or whose agent has a new address.
fn end_unplanned(inner: &Inner, tasks: &mut HashMap<HostId, LinkTask>, agents: &[HostEntry], links: &[PlannedLink]) {
    let planned: HashMap<&HostId, SocketAddr> =
        links.iter().map(|link| (&agents[link.agent].id, agents[link.agent].address)).collect();
    tasks.retain(|id, task| {
        let is_planned = planned.get(id) == Some(&task.address);
        if !is_planned {
            inner.table.remove(id);
            event!(Debug, "link_ended", agent = id);
        }
        is_planned
    });
}

fn spawn_link(inner: &Arc<Inner>, entry: HostEntry, rank: usize) -> LinkTask {
    let rank = Arc::new(AtomicUsize::new(rank));
    let address = entry.address;
    let task = tokio::spawn(stream::maintain_link(Arc::clone(inner), entry, Arc::clone(&rank)));
    LinkTask { address, rank, task }
}
