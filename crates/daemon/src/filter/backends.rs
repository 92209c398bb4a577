//! What the filters need of links and shards. It is a trait so that tests drive the filters against
//! agents and claims of their own.

use std::sync::{Arc, Mutex, PoisonError};

use eelgrasswell_core::{
    hash::HashMap,
    id::{CustomerId, HostId, Incarnation, RequestId, ServiceName},
    route::AgentView,
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

/// Agents and claims as the filters see them.
pub trait Backends: Send + Sync {
    /// Agents of `service` that this router may send new work to.
    fn candidates(&self, service: &ServiceName) -> Vec<Candidate>;

    /// A client of any known agent; for `Resume` and `Resolve`.
    fn client(&self, agent: &HostId) -> Option<Client>;

    /// Makes the next client of the agent open a new connection, since the present one is silent.
    fn reconnect(&self, agent: &HostId);

    /// Claims a non-idempotent request.
    fn claim<'a>(&'a self, call: &'a ClaimCall) -> BoxFuture<'a, ClaimResult>;

    /// Ends a claim; true once that is durable.
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
    /// What is known of its load.
    pub view: AgentView,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Client for calls to it.
    pub client: Client,
    /// Its link; none in tests.
    pub link: Option<Arc<AgentLink>>,
}

impl Candidate {
    /// Counts a request as outstanding until the guard is dropped.
    pub fn track_outstanding(&self) -> Option<OutstandingGuard> {
        self.link.as_ref().map(AgentLink::track_request)
    }
}

/// Shortest time between two new connections to one agent. All answers on a silent connection find
/// it silent within about a second of each other, and share the new one.
const RECONNECT_INTERVAL: Millis = Millis(2_000);

/// The links and shards of the router.
pub struct RouterBackends {
    links: Links,
    shards: Shards,
    members: Members,
    clock: Clock,
    /// Times of the last new connections.
    last_reconnects: Mutex<HashMap<HostId, Millis>>,
}

impl RouterBackends {
    /// Takes the handles from `router`.
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
