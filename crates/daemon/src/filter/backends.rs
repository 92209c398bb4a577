//! Access of the filters to links and shards. A trait, so that tests can run the filters against fake agents and
//! claims.

use std::sync::{Arc, Mutex, PoisonError};

use eelgrasswell_core::{
    agent_selection::AgentView,
    hash::HashMap,
    id::{CustomerId, HostId, Incarnation, RequestId, ServiceName},
    unit::Millis,
};
use futures::future::{BoxFuture, FutureExt};

use crate::{
    clock::Clock,
    controller::{
        links::{AgentLink, Client, Links, OutstandingGuard},
        membership::Members,
        shards::{ClaimCall, ClaimEnd, ClaimResult, Shards},
    },
    router::Router,
};

/// Agents and claims that the filters use.
pub trait Backends: Send + Sync {
    /// Returns the agents of `service` that this router may send new work to.
    fn candidates(&self, service: &ServiceName) -> Vec<Candidate>;

    /// Returns a client for any known agent, to call `Resume` and `Resolve`.
    fn client(&self, agent: &HostId) -> Option<Client>;

    /// Makes the next client of the agent open a new connection, because the current one is unresponsive.
    fn reconnect(&self, agent: &HostId);

    /// Claims a non-idempotent request.
    fn claim<'a>(&'a self, call: &'a ClaimCall) -> BoxFuture<'a, ClaimResult>;

    /// Ends a claim. Returns true if the end is durable.
    fn complete<'a>(
        &'a self,
        customer: &'a CustomerId,
        key: &'a str,
        request_id: &'a RequestId,
        end: ClaimEnd,
    ) -> BoxFuture<'a, bool>;
}

/// An agent that may be chosen.
#[derive(Clone)]
pub struct Candidate {
    /// Load and state of the agent as this router knows them.
    pub view: AgentView,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Client for calls to the agent.
    pub client: Client,
    /// Link to the agent; `None` in tests.
    pub link: Option<Arc<AgentLink>>,
}

impl Candidate {
    /// Counts a request as outstanding at the agent until the returned guard is dropped. Returns `None` without a link.
    pub fn track_outstanding(&self) -> Option<OutstandingGuard> {
        self.link.as_ref().map(AgentLink::track_request)
    }
}

/// Shortest time between two new connections to one agent. All answers on an unresponsive connection time out within
/// about a second of each other, and share the new one.
const RECONNECT_INTERVAL: Millis = Millis(2_000);

/// Backends that use the links and shards of the router.
pub struct RouterBackends {
    links: Links,
    shards: Shards,
    members: Members,
    clock: Clock,
    /// Times of the last reconnects, by agent.
    last_reconnects: Mutex<HashMap<HostId, Millis>>,
}

impl RouterBackends {
    /// Creates backends that share the handles of `router`.
    pub fn new(router: &Router) -> Self {
        Self {
            links: router.links.clone(),
            shards: router.shards.clone(),
            members: router.members.clone(),
            clock: router.clock,
            last_reconnects: Mutex::default(),
        }
    }
}

impl Backends for RouterBackends {
    fn candidates(&self, service: &ServiceName) -> Vec<Candidate> {
        let links = self.links.candidates(service);
        links
            .into_iter()
            .map(|(link, view)| Candidate {
                view,
                incarnation: link.incarnation,
                client: link.client.clone(),
                link: Some(link),
            })
            .collect()
    }

    fn client(&self, agent: &HostId) -> Option<Client> {
        self.links.client(agent)
    }

    fn reconnect(&self, agent: &HostId) {
        let now = self.clock.now();
        let mut last_reconnects = self.last_reconnects.lock().unwrap_or_else(PoisonError::into_inner);
        last_reconnects.retain(|_, at| now.saturating_sub(*at) < RECONNECT_INTERVAL);
        if last_reconnects.contains_key(agent) {
            return;
        }
        last_reconnects.insert(agent.clone(), now);
        if let Some(host) = self.members.host(agent) {
            self.members.reconnect(host.address);
        }
    }

    fn claim<'a>(&'a self, call: &'a ClaimCall) -> BoxFuture<'a, ClaimResult> {
        self.shards.claim(call).boxed()
    }

    fn complete<'a>(
        &'a self,
        customer: &'a CustomerId,
        key: &'a str,
        request_id: &'a RequestId,
        end: ClaimEnd,
    ) -> BoxFuture<'a, bool> {
        self.shards.complete(customer, key, request_id, end).boxed()
    }
}
