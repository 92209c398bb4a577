//! Links to the subset of agents that this router serves through.

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
    hash::HashMap,
    id::{DomainId, HostId, Incarnation, ServiceName},
    membership::{self, Node, PlannedLink},
    route::AgentView,
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
use crate::{clock::Clock, config::ConfigHandle, credential::Present, event, platform::HostEntry};

/// Client of an agent.
pub type Client = AgentClient<InterceptedService<Channel, Present>>;

/// Least time between two plans. A plan takes tens of milliseconds with 350 routers and 7,000 agents.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Rank of a link that only serves the minimum per pool.
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

/// A live link to an agent, with the last heartbeat's content.
pub struct AgentLink {
    /// Host of the agent.
    pub id: HostId,
    /// Failure domain of the agent.
    pub domain: DomainId,
    /// Service of its backend server.
    pub service: ServiceName,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Client for calls to the agent.
    pub client: Client,
    outstanding: AtomicU32,
}

impl Links {
    /// Starts without links.
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

    /// Starts dialling and heartbeats.
    pub fn spawn(&self) {
        tokio::spawn(supervise(Arc::clone(&self.inner)));
    }

    /// Live links to the agents of `service`, with what is known of each.
    pub fn candidates(&self, service: &ServiceName) -> Vec<(Arc<AgentLink>, AgentView)> {
        self.inner.table.candidates(service, self.inner.clock.now())
    }

    /// The live link to the agent at `id`, if there is one.
    pub fn link(&self, id: &HostId) -> Option<Arc<AgentLink>> {
        self.inner.table.link(id, self.inner.clock.now())
    }

    /// A receiver that sees each link that is opened or lost and each agent that starts to leave.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.table.changes()
    }

    /// A client of any agent in the host list, linked or not; for `Resume` and `Resolve`.
    pub fn client(&self, id: &HostId) -> Option<Client> {
        let members = &self.inner.members;
        let address = members.host(id)?.address;
        Some(client(members, address))
    }
}

impl AgentLink {
    /// Counts a request of this router as outstanding until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> OutstandingGuard {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
        OutstandingGuard { link: Arc::clone(self) }
    }
}

/// Counts one outstanding request while it lives.
pub struct OutstandingGuard {
    link: Arc<AgentLink>,
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.link.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
}

fn client(members: &Members, address: SocketAddr) -> Client {
    let (channel, present) = members.channel(address);
    AgentClient::with_interceptor(channel, present)
}

/// The task that keeps one link.
struct Kept {
    address: SocketAddr,
    rank: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts and ends links as the membership changes.
async fn supervise(inner: Arc<Inner>) {
    let mut kept: HashMap<HostId, Kept> = HashMap::default();
    let mut planned: Option<(Vec<Node>, u64)> = None;
    let changes = inner.members.changes();
    let mut ticks = interval(PLAN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // The linking routers change without a notice when a listed router stays unheard.
        let basis = (inner.members.linking_routers(), *changes.borrow());
        if planned.as_ref() == Some(&basis) {
            continue;
        }
        let agents = inner.members.agents();
        let Ok(links) = plan(&inner, basis.0.clone(), &agents).await else { continue };
        planned = Some(basis);
        retain_planned(&inner, &mut kept, &agents, &links);
        for link in links {
            let entry = &agents[link.agent];
            let rank = link.rank.unwrap_or(NO_RANK);
            if entry.leaving {
                inner.table.note_leaving(&entry.id);
            }
            if let Some(known) = kept.get(&entry.id) {
                known.rank.store(rank, Ordering::Relaxed);
                continue;
            }
            kept.insert(entry.id.clone(), keep(&inner, entry.clone(), rank));
        }
    }
}

async fn plan(inner: &Inner, routers: Vec<Node>, agents: &[HostEntry]) -> Result<Vec<PlannedLink>, JoinError> {
    let own = inner.settings.host.id.clone();
    let agents: Vec<Node> = agents
        .iter()
        .map(|entry| Node { id: entry.id.clone(), domain: entry.domain.clone(), pool: entry.service.clone() })
        .collect();
    let listed = inner.members.listed_routers();
    let plan = tokio::task::spawn_blocking(move || {
        let mut links = membership::plan_links(&own, &routers, &agents);
        membership::limit_links(&mut links, listed, agents.len());
        links
    });
    plan.await
}

/// Ends links that are no longer planned or whose agent has moved.
fn retain_planned(inner: &Inner, kept: &mut HashMap<HostId, Kept>, agents: &[HostEntry], links: &[PlannedLink]) {
    let planned: HashMap<&HostId, SocketAddr> =
        links.iter().map(|link| (&agents[link.agent].id, agents[link.agent].address)).collect();
    kept.retain(|id, link| {
        let keep = planned.get(id) == Some(&link.address);
        if !keep {
            inner.table.remove(id);
            event!(Debug, "link_ended", agent = id);
        }
        keep
    });
}

fn keep(inner: &Arc<Inner>, entry: HostEntry, rank: usize) -> Kept {
    let rank = Arc::new(AtomicUsize::new(rank));
    let address = entry.address;
    let task = tokio::spawn(stream::keep(Arc::clone(inner), entry, Arc::clone(&rank)));
    Kept { address, rank, task }
}
