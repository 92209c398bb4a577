//! Links to the subset of agents that this router serves through.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use eelgrasswell_core::{
    id::{DomainId, HostId, Incarnation, ServiceName},
    route::AgentView,
};
use eelgrasswell_manifest::settings::RouterSettings;
use eelgrasswell_proto::v1::agent_client::AgentClient;
use tonic::{service::interceptor::InterceptedService, transport::Channel};

use super::{bills::Bills, membership::Members};
use crate::{clock::Clock, config::ConfigHandle, credential::Present};

/// Client of an agent.
pub type Client = AgentClient<InterceptedService<Channel, Present>>;

/// Shared handle on the links.
#[derive(Clone)]
pub struct Links {
    _settings: Arc<RouterSettings>,
    _incarnation: Incarnation,
    _clock: Clock,
    _config: ConfigHandle,
    _members: Members,
    _bills: Bills,
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
        Self {
            _settings: settings,
            _incarnation: incarnation,
            _clock: clock,
            _config: config,
            _members: members,
            _bills: bills,
        }
    }

    /// Starts dialling and heartbeats.
    pub fn spawn(&self) {}

    /// Live links to the agents of `service`, with what is known of each.
    pub fn candidates(&self, _service: &ServiceName) -> Vec<(Arc<AgentLink>, AgentView)> {
        Vec::new()
    }

    /// The live link to the agent at `id`, if there is one.
    pub fn link(&self, _id: &HostId) -> Option<Arc<AgentLink>> {
        None
    }

    /// A client of any agent in the host list, linked or not; for `Resume` and `Resolve`.
    pub fn client(&self, _id: &HostId) -> Option<Client> {
        None
    }
}

impl AgentLink {
    /// Counts a request of this router as outstanding until the guard is dropped.
    pub fn start(self: &Arc<Self>) -> Outstanding {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
        Outstanding { link: Arc::clone(self) }
    }
}

/// Counts one outstanding request while it lives.
pub struct Outstanding {
    link: Arc<AgentLink>,
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.link.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
}
