//! What the filters need of links and shards. It is a trait so that tests drive the filters against
//! agents and claims of their own.

use std::sync::Arc;

use eelgrasswell_core::{
    id::{CustomerId, HostId, Incarnation, RequestId, ServiceName},
    route::AgentView,
};
use futures::future::{BoxFuture, FutureExt};

use crate::controller::{
    links::{AgentLink, Client, Links, Outstanding},
    shards::{ClaimCall, ClaimEnd, ClaimResult, Shards},
};

/// Agents and claims as the filters see them.
pub trait Backends: Send + Sync {
    /// Agents of `service` that this router may send new work to.
    fn candidates(&self, service: &ServiceName) -> Vec<Candidate>;

    /// A client of any known agent, on a connection that has not gone silent; for `Resume` and `Resolve`.
    fn client(&self, agent: &HostId) -> Option<Client>;

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
    pub fn start(&self) -> Option<Outstanding> {
        self.link.as_ref().map(AgentLink::start)
    }
}

/// The links and shards of the router.
pub struct Live {
    /// Links to agents.
    pub links: Links,
    /// Shards with the claims.
    pub shards: Shards,
}

impl Backends for Live {
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
